import { expect } from 'chai'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import {
  ConnectionError,
  createHttpClient,
  createHttpServer,
  createQuietLogger,
  createTimerService,
  BODY_LIMITS,
  readBody,
  sendJson,
  type HttpExchange,
} from '../index.js'

describe('connections of the HTTP client', () => {
  /** Starts a server that holds its answers until `release`. */
  const startServer = async () => {
    let opened = 0
    let held: (() => void)[] = []
    const server = await createHttpServer({
      host: '127.0.0.1',
      port: 0,
      logger: createQuietLogger(),
      timers: createTimerService(),
      onConnection: () => (opened += 1),
      routes: [
        {
          method: 'GET',
          path: '/slow',
          handler: async ({ response }: HttpExchange) => {
            await new Promise<void>((resolve) => held.push(resolve))
            sendJson(response, 200, {})
          },
        },
      ],
    })
    const release = () => {
      for (const answer of held) answer()
      held = []
    }
    return { server, release, opened: () => opened, waiting: () => held.length }
  }
  /** Sends a burst of requests, all of which wait for their answers at the same time. */
  const sendBurst = async (
    { server, release, waiting }: Awaited<ReturnType<typeof startServer>>,
    client: ReturnType<typeof createHttpClient>,
    { count, most }: { count: number; most: number },
  ) => {
    let answered = 0
    const url = `${server.url}/slow`
    const send = () => client.sendJson({ method: 'GET', url }).then(() => (answered += 1))
    const sends = Promise.all(Array.from({ length: count }, send))
    while (answered < count) {
      await new Promise((resolve) => setImmediate(resolve))
      if (waiting() >= Math.min(most, count - answered)) release()
    }
    await sends
  }

  it('are kept after a burst of more than 256 requests, so that the next one opens none', async () => {
    const started = await startServer()
    const client = createHttpClient()
    await sendBurst(started, client, { count: 300, most: 300 })
    expect(started.opened()).to.equal(300)
    await sendBurst(started, client, { count: 300, most: 300 })
    expect(started.opened()).to.equal(300)
    client.close()
    await started.server.close(0)
  })

  it('stay within their bound while answers are slow, and further requests wait', async () => {
    const started = await startServer()
    const client = createHttpClient({ maxConnections: 4 })
    await sendBurst(started, client, { count: 40, most: 4 })
    expect(started.opened()).to.equal(4)
    client.close()
    await started.server.close(0)
  })
})

describe('a request of the HTTP client', () => {
  // Node closes such a connection without an error, and the request waited without end.
  for (const fields of ['Connection: upgrade\r\nUpgrade: x\r\n', ''])
    it(`fails when its answer switches protocols${fields === '' ? ' to none' : ''}`, async () => {
      const server = createServer((socket) => {
        socket.on('error', () => {})
        socket.once('data', () => socket.end(`HTTP/1.1 101 Switching\r\n${fields}\r\n`))
      })
      await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
      const client = createHttpClient()
      const { port } = server.address() as AddressInfo
      const outcome = await client
        .send({ method: 'GET', url: `http://127.0.0.1:${port}` })
        .catch((cause: unknown) => cause)
      expect(outcome).to.be.instanceOf(ConnectionError)
      client.close()
      server.close()
    })
})

describe('a kept connection of the HTTP client', () => {
  it('gives nobody an answer that came while none was due', async () => {
    const format = (text: string) => `HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n${text}`
    const first: { socket?: Socket; closed?: Promise<unknown> } = {}
    const server = createServer((socket) => {
      socket.on('error', () => {})
      first.socket ??= socket
      first.closed ??= new Promise((resolve) => socket.once('close', resolve))
      socket.on('data', () => socket.write(format('right')))
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const client = createHttpClient()
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
    const read = async () =>
      String(await readBody(await client.send({ method: 'GET', url }), BODY_LIMITS.call))
    expect(await read()).to.equal('right')
    await new Promise((resolve) => setImmediate(resolve))
    await new Promise<void>((resolve) => first.socket?.write(format('wrong'), () => resolve()))
    await new Promise((resolve) => setImmediate(resolve))
    expect(await read()).to.equal('right')
    client.close()
    server.close()
  })
})
