import { get, type Agent, type IncomingMessage } from 'node:http'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { createKeepAliveAgent } from '@spoolgate/core'
import { expect } from 'chai'
import { readResponseBody } from '../direct/responseRelay.js'

type Script = (socket: Socket, turn: number) => void

/** Starts a server that answers the requests on each connection by a script. */
async function startScripted(script: Script): Promise<Server> {
  const server = createServer((socket) => {
    let turn = 0
    socket.on('error', () => {})
    socket.on('data', () => script(socket, (turn += 1)))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return server
}

function ask(server: Server, agent: Agent): Promise<IncomingMessage> {
  const { port } = server.address() as AddressInfo
  return new Promise((resolve, reject) => {
    get({ host: '127.0.0.1', port, agent }, resolve).on('error', reject)
  })
}

describe('reading the answers of backend servers', () => {
  let server: Server
  let agent: Agent

  beforeEach(() => {
    agent = createKeepAliveAgent({ idleMs: 5_000, marginMs: 100 })
  })
  afterEach(() => {
    agent.destroy()
    server.close()
  })

  it('takes an answer without a length as whole when its connection ends', async () => {
    server = await startScripted((socket) => {
      socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it')
    })
    const body = await readResponseBody(await ask(server, agent))
    expect(body?.toString()).to.equal('all of it')
  })

  it('takes an answer without a length as broken when its connection is reset', async () => {
    let reset: () => void = () => {}
    server = await startScripted((socket) => {
      reset = () => socket.resetAndDestroy()
      socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf')
    })
    const message = await ask(server, agent)
    message.once('data', () => setImmediate(reset))
    expect(await readResponseBody(message)).to.equal(undefined)
  })

  it('takes it as broken also when the reset comes together with the last bytes', async () => {
    server = await startScripted((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf', () =>
        setImmediate(() => socket.resetAndDestroy()),
      )
    })
    expect(await readResponseBody(await ask(server, agent))).to.equal(undefined)
  })

  it('takes an answer as broken when bytes are missing', async () => {
    server = await startScripted((socket) => {
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf')
    })
    expect(await readResponseBody(await ask(server, agent))).to.equal(undefined)
  })

  it('does not take a surplus answer for the answer to the next request', async () => {
    const format = (text: string) => `HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n${text}`
    const first: { socket?: Socket; closed?: Promise<unknown> } = {}
    server = await startScripted((socket) => {
      first.socket ??= socket
      first.closed ??= new Promise((resolve) => socket.once('close', resolve))
      socket.write(format('right'))
    })
    await readResponseBody(await ask(server, agent))
    await new Promise((resolve) => setImmediate(resolve))
    first.socket?.write(format('wrong'))
    await first.closed
    const body = await readResponseBody(await ask(server, agent))
    expect(body?.toString()).to.equal('right')
  })
})
