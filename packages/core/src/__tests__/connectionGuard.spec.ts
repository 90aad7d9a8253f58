import { request } from 'node:http'
import { expect } from 'chai'
import {
  createConnectionGuard,
  createHttpServer,
  createLogger,
  createMetrics,
  createTimerService,
  InvariantViolation,
  SpoolgateError,
} from '../index.js'

describe('unexpected errors in listeners of a connection', () => {
  const lines: string[] = []
  const logger = createLogger({ write: (line) => void lines.push(line) })

  beforeEach(() => {
    lines.length = 0
  })

  it('end the connection, with a log line and a count', async () => {
    const metrics = createMetrics('test')
    const guard = createConnectionGuard({ logger, metrics })
    const ended: string[] = []
    const fail = () => {
      throw new RangeError('out of range')
    }
    guard.wrap('test.data', fail, (reason) => ended.push(reason))()
    expect(ended).to.deep.equal(['out of range'])
    expect(lines[0]).to.include('event=connection.failed place=test.data reason="out of range"')
    expect(await metrics.render()).to.match(/connection_failures.*place="test.data".* 1/)
    await metrics.close()
  })

  it('are passed on when an invariant is violated, which must end the process', () => {
    const guard = createConnectionGuard({ logger })
    const violate = () => {
      throw new InvariantViolation('finalMarkerLast', {})
    }
    expect(() => guard.run('test.data', violate, () => {})).to.throw(InvariantViolation)
  })

  // A rejected answer became an unhandled rejection, which ended the process.
  it('do not end a server whose error response cannot be sent', async () => {
    const server = await createHttpServer({
      host: '127.0.0.1',
      port: 0,
      logger,
      timers: createTimerService(),
      routes: [
        {
          method: 'GET',
          path: '/',
          handler: () => {
            throw new SpoolgateError('internal', 'text', { details: 1n })
          },
        },
      ],
    })
    const closed = await new Promise((resolve) => {
      request({ host: '127.0.0.1', port: server.port, agent: false })
        .on('response', () => resolve('answered'))
        .on('error', () => resolve('closed'))
        .end()
    })
    await server.close(0)
    expect(closed).to.equal('closed')
    expect(lines.join()).to.include('place=server.request')
  })
})
