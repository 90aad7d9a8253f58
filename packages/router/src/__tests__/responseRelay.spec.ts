import { get, type Agent, type IncomingMessage, type ServerResponse } from 'node:http'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { PassThrough } from 'node:stream'
import type { RegisteredServer } from '@spoolgate/control'
import { createConnectionGuard, createKeepAliveAgent, createQuietLogger } from '@spoolgate/core'
import { expect } from 'chai'
import { createStreamRelay, readResponseBody } from '../direct/responseRelay.js'

type ConnectionScript = (socket: Socket, turn: number) => void

/** Starts a server that runs a script for each request on a connection. */
async function startScriptedServer(script: ConnectionScript): Promise<Server> {
  const server = createServer((socket) => {
    let turn = 0
    socket.on('error', () => {})
    socket.on('data', () => script(socket, (turn += 1)))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return server
}

function sendGet(server: Server, agent: Agent): Promise<IncomingMessage> {
  const { port } = server.address() as AddressInfo
  return new Promise((resolve, reject) => {
    get({ host: '127.0.0.1', port, agent }, resolve).on('error', reject)
  })
}

describe('reading response bodies of backend servers', () => {
  let server: Server
  let agent: Agent

  beforeEach(() => {
    agent = createKeepAliveAgent({ idleMs: 5_000, marginMs: 100 })
  })
  afterEach(() => {
    agent.destroy()
    server.close()
  })

  it('accepts a response without a length as complete when its connection ends', async () => {
    server = await startScriptedServer((socket) => {
      socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it')
    })
    const body = await readResponseBody(await sendGet(server, agent))
    expect(body?.toString()).to.equal('all of it')
  })

  it('rejects a response without a length as truncated when its connection is reset', async () => {
    let reset: () => void = () => {}
    server = await startScriptedServer((socket) => {
      reset = () => socket.resetAndDestroy()
      socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf')
    })
    const message = await sendGet(server, agent)
    message.once('data', () => setImmediate(reset))
    expect(await readResponseBody(message)).to.equal(undefined)
  })

  it('rejects it as truncated also when the reset arrives together with the last bytes', async () => {
    server = await startScriptedServer((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf', () =>
        setImmediate(() => socket.resetAndDestroy()),
      )
    })
    expect(await readResponseBody(await sendGet(server, agent))).to.equal(undefined)
  })

  it('rejects a response as truncated when bytes are missing', async () => {
    server = await startScriptedServer((socket) => {
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf')
    })
    expect(await readResponseBody(await sendGet(server, agent))).to.equal(undefined)
  })

  it('does not use a surplus response as the response to the next request', async () => {
    const format = (text: string) => `HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n${text}`
    const first: { socket?: Socket; closed?: Promise<unknown> } = {}
    server = await startScriptedServer((socket) => {
      first.socket ??= socket
      first.closed ??= new Promise((resolve) => socket.once('close', resolve))
      socket.write(format('right'))
    })
    await readResponseBody(await sendGet(server, agent))
    await new Promise((resolve) => setImmediate(resolve))
    first.socket?.write(format('wrong'))
    await first.closed
    const body = await readResponseBody(await sendGet(server, agent))
    expect(body?.toString()).to.equal('right')
  })
})

describe('relaying a stream whose head cannot be sent', () => {
  // An exception in the listener of the response ended the process.
  it('ends the attempt with the connection of the server, and nothing else', async () => {
    const server = await startScriptedServer((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nid: 1\ndata: x\n\n')
    })
    const agent = createKeepAliveAgent({ idleMs: 5_000, marginMs: 100 })
    const message = await sendGet(server, agent)
    const writeHead = () => {
      throw new RangeError('not a status')
    }
    const rejectedInputs = { record: () => {} }
    const guard = createConnectionGuard({ logger: createQuietLogger() })
    const relay = createStreamRelay(
      { guard, rejectedInputs },
      {
        response: Object.assign(new PassThrough(), { writeHead }) as unknown as ServerResponse,
        isResumable: true,
        onChunk: () => {},
      },
    )
    expect(await relay.relay(message, [], {} as RegisteredServer)).to.equal('not a status')
    expect(message.destroyed).to.equal(true)
    expect(relay.hasBegun()).to.equal(false)
    agent.destroy()
    server.close()
  })
})
