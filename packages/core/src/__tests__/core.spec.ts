import { once } from 'node:events'
import { connect } from 'node:net'
import { expect } from 'chai'
import {
  createCallerKeyring,
  createHttpClient,
  createHttpServer,
  createInvariants,
  createLineBudget,
  createManualTimerService,
  createQuietLogger,
  createTimerService,
  formatLogLine,
  hashCallerKey,
  readBody,
  sendJson,
  toBackendServerId,
  type HttpServer,
} from '../index.js'

describe('the budget of log lines', () => {
  it('drops what goes over it and says how many, once there is room', () => {
    const timers = createManualTimerService()
    const lines: string[] = []
    const write = createLineBudget({
      timers,
      linesPerSecond: 2,
      write: (line) => lines.push(line),
      formatDropped: (count) => `dropped ${count}`,
    })
    for (const line of ['a', 'b', 'c', 'd']) write(line)
    expect(lines).to.deep.equal(['a', 'b'])
    timers.advance(1_000)
    write('e')
    expect(lines).to.deep.equal(['a', 'b', 'dropped 2', 'e'])
  })
})

describe('caller keys', () => {
  it('name their owner, and nobody else', () => {
    const keyring = createCallerKeyring([
      { id: 'k1', hash: hashCallerKey('sg-k1-s'), owner: 'team' },
    ])
    expect(keyring.find('sg-k1-s')).to.equal('team')
    expect(keyring.find('sg-k1-s')).to.equal('team')
    for (const key of ['sg-k1-x', 'sg-k2-s', 's', '']) expect(keyring.find(key)).to.equal(undefined)
  })
})

describe('log lines', () => {
  it('are key=value pairs on one line, whatever the values hold', () => {
    const line = formatLogLine('info', 'e', {
      a: 'two words',
      b: 'x\ny',
      c: 1.5,
      d: toBackendServerId('s'),
    })
    expect(line).to.match(/^time=\S+ level=info event=e a="two words" b="x\\ny" c=1.500 d=s$/)
  })
})

describe('invariants', () => {
  it('count, and throw where they are fatal', () => {
    const logger = createQuietLogger()
    const counting = createInvariants({ logger })
    counting.assert('scopeMatches', true)
    counting.assert('scopeMatches', false)
    expect(counting.violations()).to.equal(1)
    const fatal = createInvariants({ logger, fatal: true })
    expect(() => fatal.assert('finalMarkerLast', false)).to.throw(/finalMarkerLast/)
  })
})

describe('manual timers', () => {
  it('run what falls due in order, and stop with the subscription', () => {
    const timers = createManualTimerService()
    const events: string[] = []
    timers.after(30).subscribe(() => events.push('after'))
    const every = timers.every(20).subscribe(() => events.push(`every ${timers.now()}`))
    timers.advance(40)
    every.unsubscribe()
    timers.advance(100)
    expect(events).to.deep.equal(['every 20', 'after', 'every 40'])
  })
})

describe('the HTTP server', () => {
  let server: HttpServer
  const client = createHttpClient({ key: 'right' })
  const limits = { maxBytes: 1_000, timeoutMs: 100 }

  before(async () => {
    server = await createHttpServer({
      host: '127.0.0.1',
      port: 0,
      logger: createQuietLogger(),
      timers: createTimerService(),
      routes: [
        {
          method: 'GET',
          path: '/keyed/:name',
          key: 'right',
          handler: ({ response, params }) => sendJson(response, 200, params),
        },
        {
          method: 'POST',
          path: '/body',
          handler: async ({ request, response }) => {
            sendJson(response, 200, { bytes: (await readBody(request, limits)).length })
          },
        },
      ],
    })
  })
  after(async () => {
    client.close()
    await server.close(0)
  })

  it('gives nothing to a process without the key', async () => {
    const get = (key?: string) =>
      createHttpClient({ key }).send({ method: 'GET', url: `${server.url}/keyed/a` })
    for (const [key, status] of [
      ['right', 200],
      ['wrong', 401],
      [undefined, 401],
    ] as const) {
      const message = await get(key)
      message.resume()
      expect(message.statusCode).to.equal(status)
    }
  })

  it('refuses bodies that are too large or too slow, with typed errors', async () => {
    const large = client.sendJson({
      method: 'POST',
      url: `${server.url}/body`,
      json: 'x'.repeat(2_000),
    })
    expect(await large.catch((error) => error.kind)).to.equal('oversizeBody')
    const slow = await new Promise<string>((resolve) => {
      const socket = connect(server.port, '127.0.0.1')
      socket.write('POST /body HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc')
      socket.on('data', (data) => {
        resolve(data.toString())
        socket.destroy()
      })
    })
    expect(slow).to.match(/408.*bodyTimeout/s)
  })
})

describe('an HTTP server that stops', () => {
  it('ends a kept connection after its last answer, and takes nothing more from it', async () => {
    const begun: string[] = []
    const answers = new Map<string, () => void>()
    const server = await createHttpServer({
      host: '127.0.0.1',
      port: 0,
      logger: createQuietLogger(),
      timers: createTimerService(),
      routes: [
        {
          method: 'GET',
          path: '/:name',
          handler: ({ response, params: { name } }) => {
            begun.push(name)
            answers.set(name, () => sendJson(response, 200, { name }))
          },
        },
      ],
    })
    const open = (name: string) => {
      const socket = connect({ port: server.port, host: '127.0.0.1', allowHalfOpen: true })
      socket.write(formatGet(name))
      return socket
    }
    const formatGet = (name: string) => `GET /${name} HTTP/1.1\r\nhost: a\r\n\r\n`
    const waitForBegun = async (count: number) => {
      while (begun.length < count) await new Promise((resolve) => setImmediate(resolve))
    }
    const other = open('other')
    await waitForBegun(1)
    const kept = open('kept')
    await waitForBegun(2)
    const closing = server.close(10_000)
    answers.get('kept')?.()
    await once(kept, 'data')
    kept.end(formatGet('late'))
    let isClosed = false
    kept.once('close', () => (isClosed = true))
    while (!isClosed && begun.length < 3) await new Promise((resolve) => setImmediate(resolve))
    expect(begun).to.deep.equal(['other', 'kept'])
    other.resume()
    answers.get('other')?.()
    await once(other, 'end')
    other.end()
    expect((await closing).abandoned).to.equal(0)
  })

  it('waits for no answer whose connection is gone, the second of two on it neither', async () => {
    let begun = 0
    const server = await createHttpServer({
      host: '127.0.0.1',
      port: 0,
      logger: createQuietLogger(),
      timers: createTimerService(),
      routes: [{ method: 'GET', path: '/:name', handler: () => void (begun += 1) }],
    })
    const caller = connect(server.port, '127.0.0.1')
    caller.write('GET /a HTTP/1.1\r\nhost: a\r\n\r\nGET /b HTTP/1.1\r\nhost: a\r\n\r\n')
    while (begun < 2) await new Promise((resolve) => setImmediate(resolve))
    caller.destroy()
    // Of two that wait on one connection Node tells only the first that it closed.
    expect((await server.close(2_000)).abandoned).to.equal(0)
  })
})
