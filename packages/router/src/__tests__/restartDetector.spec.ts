import { buildServerIdentity, type RegisteredServer } from '@spoolgate/control'
import { createLogger, createManualTimerService, toServerName } from '@spoolgate/core'
import { expect } from 'chai'
import { Subject } from 'rxjs'
import { createRestartDetector, watchStall } from '../direct/restartDetector.js'

function buildServer(name: string, startedAt: number | undefined, address: string) {
  return { ...buildServerIdentity(toServerName(name), startedAt), address } as RegisteredServer
}

describe('restarts of backend servers', () => {
  function createDetector() {
    const views = new Subject<{ servers: ReadonlyMap<RegisteredServer['id'], RegisteredServer> }>()
    const closed: string[] = []
    const lines: string[] = []
    const detector = createRestartDetector({
      views,
      agent: { closeIdle: (address) => void closed.push(address) },
      logger: createLogger({ write: (line) => void lines.push(line) }),
    })
    const updateFleet = (...servers: RegisteredServer[]) =>
      views.next({ servers: new Map(servers.map((server) => [server.id, server])) })
    return { detector, updateFleet, closed, lines }
  }

  it('are reported to the calls of the previous incarnation, and its idle connections are closed', () => {
    const { detector, updateFleet, closed, lines } = createDetector()
    const before = buildServer('i-1', 1_000, 'a:1')
    const other = buildServer('i-2', 1_000, 'a:2')
    updateFleet(before, other)
    const ended: string[] = []
    detector.watch(before.id).subscribe(() => ended.push('before'))
    detector.watch(other.id).subscribe(() => ended.push('other'))
    updateFleet(before, other)
    expect(ended).to.deep.equal([])
    updateFleet(buildServer('i-1', 2_000, 'a:9'), other)
    expect(ended).to.deep.equal(['before'])
    expect(closed).to.deep.equal(['a:1'])
    expect(lines).to.have.length(1)
  })

  it('are not reported for servers that left or whose address was taken over', () => {
    const { detector, updateFleet, closed } = createDetector()
    const before = buildServer('i-1', undefined, 'a:1')
    updateFleet(before)
    const ended: string[] = []
    detector.watch(before.id).subscribe(() => ended.push('before'))
    updateFleet(buildServer('i-2', undefined, 'a:1'))
    updateFleet()
    expect([...ended, ...closed]).to.deep.equal([])
  })
})

describe('a call to a restarted server', () => {
  /** Pause between the parts of a stream, and the time without data after the last part, in ms. */
  const PAUSE_MS = 400
  const LONG_MS = 5_000

  function startCall() {
    const timers = createManualTimerService()
    const restarted = new Subject<void>()
    const events: string[] = []
    let lastDataAt = timers.now()
    watchStall({
      restarts: { watch: () => restarted },
      timers,
      server: buildServerIdentity(toServerName('i'), 1).id,
      lastDataAt: () => lastDataAt,
      onRestart: () => events.push('restarted'),
      onStall: () => events.push(`silent ${timers.now()}`),
    })
    const sendParts = (count: number) => {
      for (let part = 0; part < count; part += 1) {
        timers.advance(PAUSE_MS)
        lastDataAt = timers.now()
      }
    }
    return { timers, restarted, events, sendParts }
  }

  // Regression test: calls that already ran on the new incarnation were cancelled.
  it('continues while data arrives, since it may run on the new incarnation', () => {
    const { timers, restarted, events, sendParts } = startCall()
    restarted.next()
    sendParts(10)
    expect(events).to.deep.equal(['restarted'])
    timers.advance(LONG_MS)
    expect(events).to.deep.equal(['restarted', 'silent 5000'])
  })

  it('is stalled one second after the restart if no data has arrived since', () => {
    const { timers, restarted, events, sendParts } = startCall()
    sendParts(2)
    timers.advance(LONG_MS)
    expect(events).to.deep.equal([])
    restarted.next()
    timers.advance(999)
    expect(events).to.deep.equal(['restarted'])
    timers.advance(1)
    expect(events).to.have.length(2)
  })
})
