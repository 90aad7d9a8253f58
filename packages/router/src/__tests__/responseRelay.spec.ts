import { once } from 'node:events'
import {
  createServer as createHttpServer,
  get,
  type Agent,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { PassThrough } from 'node:stream'
import type { RegisteredServer } from '@spoolgate/control'
import {
  createConnectionGuard,
  createKeepAliveAgent,
  createManualTimerService,
  createMemoryBudget,
  createQuietLogger,
  createTimerService,
  joinBody,
} from '@spoolgate/core'
import { expect } from 'chai'
import { relayResponse, type AttemptOutcome } from '../direct/attemptOutcome.js'
import { createStreamRelay, readResponseBody, type StreamRelay } from '../direct/responseRelay.js'

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

const memory = createMemoryBudget({ limitBytes: 1_000_000, timers: createTimerService() })

/** Reads a body; undefined if it is not whole. */
async function readWhole(message: IncomingMessage): Promise<Buffer | undefined> {
  const { maxHoldBytes: maxBytes } = memory
  const read = await readResponseBody(message, { hold: memory.open(), maxBytes })
  return read.kind === 'whole' ? joinBody(read.body) : undefined
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
    const body = await readWhole(await sendGet(server, agent))
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
    expect(await readWhole(message)).to.equal(undefined)
  })

  it('rejects it as truncated also when the reset arrives together with the last bytes', async () => {
    server = await startScriptedServer((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf', () =>
        setImmediate(() => socket.resetAndDestroy()),
      )
    })
    expect(await readWhole(await sendGet(server, agent))).to.equal(undefined)
  })

  it('rejects a response as truncated when bytes are missing', async () => {
    server = await startScriptedServer((socket) => {
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf')
    })
    expect(await readWhole(await sendGet(server, agent))).to.equal(undefined)
  })

  it('does not use a surplus response as the response to the next request', async () => {
    const format = (text: string) => `HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n${text}`
    const first: { socket?: Socket; closed?: Promise<unknown> } = {}
    server = await startScriptedServer((socket) => {
      first.socket ??= socket
      first.closed ??= new Promise((resolve) => socket.once('close', resolve))
      socket.write(format('right'))
    })
    await readWhole(await sendGet(server, agent))
    await new Promise((resolve) => setImmediate(resolve))
    first.socket?.write(format('wrong'))
    await first.closed
    const body = await readWhole(await sendGet(server, agent))
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
      { guard, rejectedInputs, memory },
      {
        response: Object.assign(new PassThrough(), { writeHead }) as unknown as ServerResponse,
        isResumable: true,
        onChunk: () => {},
      },
    )
    expect(await relay.relay(message, [], {} as RegisteredServer)).to.deep.equal({
      reason: 'not a status',
    })
    expect(message.destroyed).to.equal(true)
    expect(relay.hasBegun()).to.equal(false)
    agent.destroy()
    server.close()
  })
})

describe('a response that waits behind another one of its connection', () => {
  it('is not given up for the room that others need', async () => {
    const timers = createManualTimerService()
    const budget = createMemoryBudget({ limitBytes: 1_000, timers })
    const server = await startScriptedServer((socket) =>
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond'),
    )
    const agent = createKeepAliveAgent({ idleMs: 5_000, marginMs: 100 })
    const responses: ServerResponse[] = []
    const front = createHttpServer((_, response) => responses.push(response))
    await new Promise<void>((resolve) => front.listen(0, '127.0.0.1', resolve))
    let received = ''
    const caller = connect((front.address() as AddressInfo).port, '127.0.0.1')
    caller.on('error', () => {})
    caller.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n'.repeat(2))
    while (responses.length < 2) await new Promise((resolve) => setImmediate(resolve))
    const [first, second] = responses
    const hold = budget.open()
    await relayResponse({
      message: await sendGet(server, agent),
      server: {} as RegisteredServer,
      headers: [],
      response: second,
      relay: {} as StreamRelay,
      memory: { hold, maxBytes: budget.maxHoldBytes },
      isFinished: () => false,
    })
    timers.advance(2_000)
    expect(budget.open().resize(2_000)).to.equal(false)
    const closed = once(caller, 'close')
    caller.on('data', (chunk) => (received += chunk.toString()))
    first.end('first')
    await Promise.race([once(second, 'finish'), closed])
    caller.end()
    await closed
    agent.destroy()
    for (const each of [server, front]) each.close()
    expect(received).to.include('first').and.to.include('second')
  })
})

describe('relaying a response that is too long to be held', () => {
  const BODY = 'x'.repeat(600_000)
  /** Relays what a scripted server sends; resolves to the outcome, and to what a caller gets. */
  const relayScript = async (script: ConnectionScript) => {
    const server = await startScriptedServer(script)
    const agent = createKeepAliveAgent({ idleMs: 5_000, marginMs: 100 })
    let outcome: Promise<AttemptOutcome> | undefined
    const relayTo = async (response: ServerResponse) =>
      relayResponse({
        message: await sendGet(server, agent),
        server: {} as RegisteredServer,
        headers: [],
        response,
        relay: {} as StreamRelay,
        memory: { hold: memory.open(), maxBytes: memory.maxHoldBytes },
        isFinished: () => false,
      })
    const front = createHttpServer((_, response) => {
      outcome = relayTo(response)
      void outcome.then(({ kind }) => {
        if (kind !== 'answered') response.destroy()
      })
    })
    await new Promise<void>((resolve) => front.listen(0, '127.0.0.1', resolve))
    const { port } = front.address() as AddressInfo
    const body = await fetch(`http://127.0.0.1:${port}`).then(
      (response) => response.text().catch(() => undefined),
      () => undefined,
    )
    const kind = (await outcome)?.kind
    for (const each of [server, front]) each.close()
    front.closeAllConnections()
    agent.destroy()
    return { kind, isWhole: body === BODY }
  }

  it('passes on one of a known length as it arrives', async () => {
    const head = `HTTP/1.1 200 OK\r\nContent-Length: ${BODY.length}\r\n\r\n`
    const result = await relayScript((socket) => socket.end(head + BODY))
    expect(result).to.deep.equal({ kind: 'answered', isWhole: true })
  })

  it('does not let one of a known length look whole that breaks off', async () => {
    const head = `HTTP/1.1 200 OK\r\nContent-Length: ${BODY.length + 1}\r\n\r\n`
    const result = await relayScript((socket) => socket.end(head + BODY))
    expect(result).to.deep.equal({ kind: 'cut', isWhole: false })
  })

  it('closes the connection of one that does not say how long it is', async () => {
    const head = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n'
    const result = await relayScript((socket) => socket.end(head + BODY))
    expect(result).to.deep.equal({ kind: 'lost', isWhole: false })
  })
})
