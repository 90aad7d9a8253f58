import { buildServerIdentity, type RegisteredServer } from '@spoolgate/control'
import { createLogger, createManualTimerService, toServerName } from '@spoolgate/core'
import { expect } from 'chai'
import { Subject } from 'rxjs'
import { createRestartDetector, watchStall } from '../direct/restartDetector.js'

function buildServer(name: string, startedAt: number | undefined, address: string) {
  return { ...buildServerIdentity(toServerName(name), startedAt), address } as RegisteredServer
}

describe('backend servers that start again', () => {
  function watchFleet() {
    const views = new Subject<{ servers: ReadonlyMap<RegisteredServer['id'], RegisteredServer> }>()
    const closed: string[] = []
    const lines: string[] = []
    const restarts = createRestartDetector({
      views,
      agent: { closeIdle: (address) => void closed.push(address) },
      logger: createLogger({ write: (line) => void lines.push(line) }),
    })
    const show = (...servers: RegisteredServer[]) =>
      views.next({ servers: new Map(servers.map((server) => [server.id, server])) })
    return { restarts, show, closed, lines }
  }

  it('are reported to the calls of the earlier start, and its connections are closed', () => {
    const { restarts, show, closed, lines } = watchFleet()
    const before = buildServer('i-1', 1_000, 'a:1')
    const other = buildServer('i-2', 1_000, 'a:2')
    show(before, other)
    const ended: string[] = []
    restarts.watch(before.id).subscribe(() => ended.push('before'))
    restarts.watch(other.id).subscribe(() => ended.push('other'))
    show(before, other)
    expect(ended).to.deep.equal([])
    show(buildServer('i-1', 2_000, 'a:9'), other)
    expect(ended).to.deep.equal(['before'])
    expect(closed).to.deep.equal(['a:1'])
    expect(lines).to.have.length(1)
  })

  it('are not those that left, or took over an address', () => {
    const { restarts, show, closed } = watchFleet()
    const before = buildServer('i-1', undefined, 'a:1')
    show(before)
    const ended: string[] = []
    restarts.watch(before.id).subscribe(() => ended.push('before'))
    show(buildServer('i-2', undefined, 'a:1'))
    show()
    expect([...ended, ...closed]).to.deep.equal([])
  })
})

describe('a call to a server that starts again', () => {
  /** Pauses between the parts of a stream, and the wait after the last, in ms. */
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

  // Found by the soak, seed 1: requests that the later start was running already were given up.
  it('goes on while parts of its answer come: the later start may have it', () => {
    const { timers, restarted, events, sendParts } = startCall()
    restarted.next()
    sendParts(10)
    expect(events).to.deep.equal(['restarted'])
    timers.advance(LONG_MS)
    expect(events).to.deep.equal(['restarted', 'silent 5000'])
  })

  it('is silent a second after the restart where nothing came since', () => {
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
