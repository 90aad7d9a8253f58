import { connect } from 'node:net'
import { expect } from 'chai'
import { createHttpServer } from '../httpServer.js'
import { createQuietLogger } from '../logger.js'
import { createTimerService } from '../timers.js'

const CALLERS = 20

describe('a planned stop of a server', () => {
  it('does not reset connections that wait to be accepted, and answers the requests on them', async () => {
    const server = await createHttpServer({
      host: '127.0.0.1',
      port: 0,
      logger: createQuietLogger(),
      timers: createTimerService(),
      routes: [
        { method: 'GET', path: '/', handler: ({ response }) => void response.end('served') },
      ],
    })
    const calls = Array.from({ length: CALLERS }, () => {
      const socket = connect(server.port, '127.0.0.1')
      socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n')
      let received = ''
      socket.on('data', (data) => (received += data.toString()))
      return new Promise<string>((resolve) => {
        socket.on('error', ({ message }) => resolve(message))
        socket.on('close', () => resolve(received.split('\r\n\r\n')[1]))
      })
    })
    // The sockets connect in the next tick, so that all of them wait at once.
    await Promise.resolve()
    await server.close(5_000)
    expect(await Promise.all(calls)).to.deep.equal(Array(CALLERS).fill('served'))
  })
})
