import { once } from 'node:events'
import { createServer, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { expect } from 'chai'
import {
  createConnectionTracker,
  createMemoryBudget,
  createQuietLogger,
  createTimerService,
  readBody,
  type ConnectionTracker,
} from '../index.js'
import { REQUEST_HEAP_BYTES } from '../requestRoom.js'

const MAX_IN_FLIGHT = 8
const COUNT = 500
const BODY = 'b'.repeat(300)
const REQUESTS: Readonly<Record<string, string>> = {
  'without bodies': 'GET /small HTTP/1.1\r\nHost: h\r\n\r\n',
  'with bodies': `POST /small HTTP/1.1\r\nHost: h\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`,
  'with bodies in chunks': `POST /small HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n12c\r\n${BODY}\r\n0\r\n\r\n`,
}
const LIMITS = { maxBytes: 8 * 1024 * 1024, timeoutMs: 10_000 }

describe('the connections of a server', () => {
  // Connections without requests took all descriptors, and no other caller could connect.
  it('end the one that is idle for the longest time when there are too many', async () => {
    const common = { logger: createQuietLogger(), timers: createTimerService() }
    const tracker = createConnectionTracker({ ...common, maxConnections: 3 })
    const server = createServer()
    tracker.watchServer(server)
    server.on('request', (request, response) => {
      if (!tracker.take(request, response, { onEnd: () => {} })) return
      if (request.url === '/small') response.end('answer')
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const ended: number[] = []
    const open = async (index: number) => {
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
      socket.on('error', () => {})
      socket.once('close', () => ended.push(index))
      const accepted = once(server, 'connection')
      await once(socket, 'connect')
      await accepted
      return socket
    }
    const sockets = [await open(0), await open(1), await open(2)]
    sockets[0].write('GET /open HTTP/1.1\r\nHost: h\r\n\r\n')
    await once(server, 'request')
    sockets[1].write(REQUESTS['without bodies'])
    await once(sockets[1], 'data')
    for (const victim of [2, 1]) {
      const closed = once(sockets[victim], 'close')
      sockets.push(await open(sockets.length))
      sockets.at(-1)?.write('GET /open HTTP/1.1\r\nHost: h\r\n\r\n')
      await Promise.all([closed, once(server, 'request')])
    }
    const refused = await open(5)
    await once(refused, 'close')
    expect(ended).to.deep.equal([2, 1, 5])
    server.close()
    await tracker.close()
    for (const socket of sockets) socket.destroy()
  })
})

describe('the requests of one connection', () => {
  const timers = createTimerService()
  let server: Server
  let tracker: ConnectionTracker
  let caller: Socket
  let received: string
  let open: ServerResponse[]
  let mostOpen: number
  let bodyBytes: number

  const start = async (options: { room?: number } = {}) => {
    const heapLimitBytes = (options.room ?? Infinity) * REQUEST_HEAP_BYTES
    const memory = createMemoryBudget({ limitBytes: 1e9, heapLimitBytes, timers })
    const common = { logger: createQuietLogger(), timers, memory, maxInFlight: MAX_IN_FLIGHT }
    tracker = createConnectionTracker(common)
    server = createServer()
    tracker.watchServer(server)
    server.on('request', async (request, response) => {
      const onEnd = () => void open.splice(open.indexOf(response), 1)
      if (!tracker.take(request, response, { onEnd })) return
      open.push(response)
      mostOpen = Math.max(mostOpen, open.length)
      const { length } = await readBody(request, LIMITS)
      bodyBytes += length
      server.emit('taken')
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    caller = connect((server.address() as AddressInfo).port, '127.0.0.1')
    caller.on('data', (data) => (received += data.toString()))
  }
  beforeEach(() => {
    received = ''
    open = []
    mostOpen = 0
    bodyBytes = 0
  })
  afterEach(async () => {
    caller.destroy()
    server.close()
    await tracker.close()
  })

  const countAnswers = (status: number) => received.split(`HTTP/1.1 ${status} `).length - 1
  const answerAll = () => {
    for (const response of [...open]) if (!response.writableEnded) response.end('answer')
  }
  const waitForAnswers = async (count: number, status = 200) => {
    while (countAnswers(status) < count) await once(caller, 'data')
  }

  for (const [name, text] of Object.entries(REQUESTS))
    it(`are taken a few at a time and all answered: ${name}`, async () => {
      await start()
      server.on('taken', () => setImmediate(answerAll))
      caller.write(text.repeat(COUNT))
      caller.write(text.repeat(COUNT))
      await waitForAnswers(2 * COUNT)
      // One more where the end of a request lies in two reads of the socket.
      expect(mostOpen).to.be.within(2, MAX_IN_FLIGHT + 1)
      expect(bodyBytes).to.equal(text.includes(BODY) ? 2 * COUNT * BODY.length : 0)
    })

  it('are answered in a planned stop, also those that are kept back', async () => {
    await start()
    caller.write(REQUESTS['without bodies'].repeat(3 * MAX_IN_FLIGHT))
    while (open.length < MAX_IN_FLIGHT) await once(server, 'taken')
    tracker.startStop()
    await tracker.closeIdle(server)
    server.on('taken', () => setImmediate(answerAll))
    const ended = once(caller, 'end')
    answerAll()
    await ended
    expect(countAnswers(200)).to.equal(3 * MAX_IN_FLIGHT)
  })

  it('carry a long body whole', async () => {
    await start()
    server.on('taken', answerAll)
    caller.write('POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000000\r\n\r\n')
    caller.write(Buffer.alloc(3_000_000, '\r\n\r\n'))
    await waitForAnswers(1)
    expect(bodyBytes).to.equal(3_000_000)
  })

  it('are refused where there is no room, those that wait behind others first', async () => {
    await start({ room: 4 })
    caller.write(REQUESTS['without bodies'].repeat(MAX_IN_FLIGHT))
    while (open.length < 2) await once(server, 'taken')
    const other = connect((server.address() as AddressInfo).port, '127.0.0.1')
    other.write(REQUESTS['without bodies'])
    while (open.length < 3) await once(server, 'taken')
    other.destroy()
    answerAll()
    await waitForAnswers(MAX_IN_FLIGHT - 2, 503)
    expect(countAnswers(200)).to.equal(2)
    expect(received).to.match(/retry-after: \d/i)
  })
})
