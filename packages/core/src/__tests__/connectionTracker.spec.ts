import { once } from 'node:events'
import { createServer, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { expect } from 'chai'
import {
  createConnectionTracker,
  createQuietLogger,
  createTimerService,
  readBody,
  type ConnectionTracker,
} from '../index.js'

const WHOLE = 'GET /whole HTTP/1.1\r\nHost: h\r\n\r\n'
const CHUNKED = 'POST /cut HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
/** What comes behind whole requests, and the status that it is answered with. */
const TAILS: Readonly<Record<string, readonly [bytes: string, status: number]>> = {
  'bytes that are no request': ['\0garbage\r\n\r\n', 400],
  'a head that is too long': [`GET / HTTP/1.1\r\nHost: h\r\nX: ${'x'.repeat(9_000)}`, 431],
  'a head that stops': ['GET / HTTP/1.1\r\nHo', 408],
  'a body with a chunk of no size': [`${CHUNKED}zz\r\n`, 400],
  CONNECT: ['CONNECT h:80 HTTP/1.1\r\nHost: h:80\r\n\r\n', 501],
}

describe('whole requests on a connection that ends', () => {
  let server: Server
  let tracker: ConnectionTracker
  let caller: Socket
  let received: string
  let held: ServerResponse[]

  beforeEach(async () => {
    received = ''
    held = []
    tracker = createConnectionTracker({ logger: createQuietLogger(), timers: createTimerService() })
    server = createServer({
      headersTimeout: 50,
      connectionsCheckingInterval: 20,
      maxHeaderSize: 8_192,
      requestTimeout: 0,
    })
    tracker.watchServer(server)
    server.on('request', (request, response) => {
      if (!tracker.take(request, response, { onEnd: () => {} })) return
      if (request.url === '/whole') held.push(response)
      readBody(request, { maxBytes: 100, timeoutMs: 10_000 }).catch(({ status }) =>
        response.writeHead(status as number).end(),
      )
      server.emit('taken')
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const { port } = server.address() as AddressInfo
    caller = connect({ port, host: '127.0.0.1', allowHalfOpen: true })
    caller.on('data', (chunk) => (received += chunk.toString()))
  })
  afterEach(async () => {
    caller.destroy()
    server.close()
    await tracker.close()
  })

  const listStatuses = () => [...received.matchAll(/HTTP\/1.1 (\d+)/g)].map(([, code]) => +code)

  for (const [name, [bytes, status]] of Object.entries(TAILS)) {
    for (const count of [0, 1, 2]) {
      it(`are answered before what cannot be read: ${count} before ${name}`, async () => {
        let seen: Error | undefined
        server.on('clientError', (cause) => (seen = cause))
        server.on('connect', () => (seen = new Error('connect')))
        caller.write(WHOLE.repeat(count) + bytes)
        while (held.length < count) await once(server, 'taken')
        while (!seen) await new Promise((resolve) => setImmediate(resolve))
        expect(listStatuses()).to.deep.equal(count === 0 ? listStatuses() : [])
        for (const response of held) response.end('answer')
        await once(caller, 'end')
        expect(listStatuses()).to.deep.equal([...held.map(() => 200), status])
        expect(received.split('answer')).to.have.length(count + 1)
      })
    }
  }

  for (const [name, leave] of Object.entries({
    reset: (socket: Socket) => socket.resetAndDestroy(),
    closed: (socket: Socket) => socket.destroy(),
  }))
    it(`are closed, also behind another one, when their connection is ${name}`, async () => {
      caller.write(WHOLE.repeat(2))
      while (held.length < 2) await once(server, 'taken')
      const closes = held.map((response) => once(response, 'close'))
      leave(caller)
      await Promise.all(closes)
      expect(held.map(({ destroyed }) => destroyed)).to.deep.equal([true, true])
    })

  for (const [name, text] of Object.entries({
    'without bodies': WHOLE,
    'with bodies': 'POST /whole HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi',
  }))
    it(`are answered at a planned stop, also those ${name} that are read with one that is refused at once`, async () => {
      tracker.startStop()
      server.on('taken', () => held.at(-1)?.end('answer'))
      const ended = once(caller, 'end')
      caller.write(text.repeat(3))
      await ended
      expect(listStatuses()).to.deep.equal([200, 200, 200])
    })
})
