import type { RegisteredServer } from '@spoolgate/control'
import {
  createManualTimerService,
  createQuietLogger,
  toBackendServerId,
  toRequestFingerprint,
  type BackendServerId,
} from '@spoolgate/core'
import { expect } from 'chai'
import { Subject } from 'rxjs'
import { createCrashDetector } from '../direct/crashDetector.js'

const SEND = { request: toRequestFingerprint('c.1'), round: 0, group: 'g', parts: [], sentAt: 0 }
const SERVER = { id: toBackendServerId('s@1'), address: '10.0.0.1:80' }
const settle = () => new Promise((resolve) => setImmediate(resolve))

function createDetector(isAliveInitially: boolean) {
  let isAlive = isAliveInitially
  const timers = createManualTimerService()
  const views = new Subject<{ servers: ReadonlyMap<BackendServerId, RegisteredServer> }>()
  const crashed: BackendServerId[] = []
  let checks = 0
  const detector = createCrashDetector({
    liveness: {
      checkReachable: async () => {
        checks += 1
        return isAlive
      },
    },
    views,
    timers,
    logger: createQuietLogger(),
    onCrash: ({ server }) => crashed.push(server.id),
  })
  const reportServer = (id: string, address: string) => {
    const server = { id: toBackendServerId(id), address } as RegisteredServer
    views.next({ servers: new Map([[server.id, server]]) })
  }
  const crash = () => {
    isAlive = false
  }
  return {
    timers,
    detector,
    crashed,
    reportServer,
    crash,
    checks: () => checks,
  }
}

describe('interrupted sends', () => {
  it('report the crash of a server that accepts no connections, with one check for all sends', async () => {
    const { detector, crashed, checks } = createDetector(false)
    for (let send = 0; send < 3; send += 1) detector.recordInterrupted(SERVER, SEND)
    await settle()
    detector.recordInterrupted(SERVER, SEND)
    expect(crashed).to.deep.equal([SERVER.id, SERVER.id, SERVER.id, SERVER.id])
    expect(checks()).to.equal(1)
  })

  it('report no crash of a server that accepts connections', async () => {
    const { detector, crashed, timers, reportServer } = createDetector(true)
    detector.recordInterrupted(SERVER, SEND)
    await settle()
    reportServer('s@1', SERVER.address)
    expect(crashed).to.deep.equal([])
    timers.advance(10_000)
    reportServer('s@2', SERVER.address)
    expect(crashed).to.deep.equal([])
  })

  it('report the crash of a server that was alive at an earlier interruption', async () => {
    const { detector, crashed, crash } = createDetector(true)
    detector.recordInterrupted(SERVER, SEND)
    await settle()
    crash()
    detector.recordInterrupted(SERVER, SEND)
    await settle()
    expect(crashed).to.deep.equal([SERVER.id])
  })

  it('report the crash of a server that is later reported to have restarted', async () => {
    const { detector, crashed, reportServer } = createDetector(true)
    detector.recordInterrupted(SERVER, SEND)
    await settle()
    reportServer('s@2', SERVER.address)
    expect(crashed).to.deep.equal([SERVER.id])
  })

  it('report no crash of a server that has left the fleet', async () => {
    const { detector, crashed, reportServer } = createDetector(true)
    detector.recordInterrupted(SERVER, SEND)
    await settle()
    reportServer('t@1', '10.0.0.2:80')
    expect(crashed).to.deep.equal([])
  })
})
