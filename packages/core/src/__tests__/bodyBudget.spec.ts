import { connect, type Socket } from 'node:net'
import { expect } from 'chai'
import { readBody } from '../httpBody.js'
import { createHttpServer, type HttpServer } from '../httpServer.js'
import { createQuietLogger } from '../logger.js'
import { createMemoryBudget, type MemoryBudget } from '../memoryBudget.js'
import { createTimerService } from '../timers.js'

const LIMIT_BYTES = 1_000_000
const BODY_BYTES = 200_000

describe('bodies at a server with a memory budget', () => {
  let memory: MemoryBudget
  let server: HttpServer
  const sockets: Socket[] = []

  beforeEach(async () => {
    const timers = createTimerService()
    // Holds that stall for a second are evicted, which a busy machine may take between two lines.
    memory = createMemoryBudget({ limitBytes: LIMIT_BYTES, timers: { ...timers, now: () => 0 } })
    server = await createHttpServer({
      host: '127.0.0.1',
      port: 0,
      logger: createQuietLogger(),
      timers,
      memory,
      routes: [
        {
          method: 'POST',
          path: '/',
          handler: async ({ request, response }) => {
            const body = await readBody(request, { maxBytes: BODY_BYTES, timeoutMs: 5_000 })
            response.end(String(body.length))
          },
        },
      ],
    })
  })
  afterEach(async () => {
    for (const socket of sockets.splice(0)) socket.destroy()
    await server.close(0)
  })

  const post = (body: string) => fetch(server.url, { method: 'POST', body })
  /** Sends all of a body but its last byte. */
  const stall = () => {
    const socket = connect(server.port, '127.0.0.1')
    sockets.push(socket)
    socket.on('error', () => {})
    socket.write(`POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`)
    socket.write('x'.repeat(BODY_BYTES - 1))
  }

  it('are refused as not run while there is no room, and small ones are served beside that', async () => {
    for (let count = 0; count < 6; count += 1) stall()
    while (memory.usedBytes() < LIMIT_BYTES / 2)
      await new Promise((resolve) => setTimeout(resolve, 5))
    const refused = await post('x'.repeat(BODY_BYTES))
    expect(refused.status).to.equal(503)
    expect(refused.headers.get('retry-after')).to.equal('1')
    expect(await refused.json()).to.have.nested.property('error.not_run', true)
    const served = await post('small')
    expect(await served.text()).to.equal('5')
    expect(memory.peakBytes()).to.be.at.most(LIMIT_BYTES)
  })

  it('are refused, not reset, where they come in chunks and find no room', async () => {
    while (memory.open().resize(50_000));
    const text = await new Promise<string>((resolve) => {
      const socket = connect(server.port, '127.0.0.1')
      sockets.push(socket)
      socket.write('POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n')
      for (let size = 0; size < BODY_BYTES; size += 10_000)
        socket.write(`2710\r\n${'x'.repeat(10_000)}\r\n`)
      socket.on('data', (data) => resolve(data.toString()))
      socket.on('error', ({ message }) => resolve(message))
    })
    expect(text).to.match(/^HTTP\/1\.1 503 /)
  })

  it('give their room back when their senders leave', async () => {
    for (let count = 0; count < 3; count += 1) stall()
    while (memory.usedBytes() === 0) await new Promise((resolve) => setTimeout(resolve, 5))
    for (const socket of sockets.splice(0)) socket.destroy()
    while (memory.usedBytes() > 0) await new Promise((resolve) => setTimeout(resolve, 5))
    expect((await post('x'.repeat(BODY_BYTES))).status).to.equal(200)
  })
})
