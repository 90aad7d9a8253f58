import { expect } from 'chai'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { createHttpServer, createQuietLogger, createTimerService } from '../index.js'

const GC_ROUNDS = 5

describe('a server that is closed', () => {
  it('does not keep in memory what it served', async () => {
    setFlagsFromString('--expose-gc')
    const collectGarbage = runInNewContext('gc') as () => void
    const runServer = async () => {
      const onConnection = () => {}
      const server = await createHttpServer({
        host: '127.0.0.1',
        port: 0,
        routes: [],
        logger: createQuietLogger(),
        timers: createTimerService(),
        onConnection,
      })
      await server.close(0)
      return new WeakRef(onConnection)
    }
    const kept = await runServer()
    for (let round = 0; round < GC_ROUNDS; round += 1) {
      await new Promise((resolve) => setImmediate(resolve))
      collectGarbage()
    }
    expect(kept.deref()).to.equal(undefined)
  })
})
