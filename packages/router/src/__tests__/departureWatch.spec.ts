import {
  buildServerIdentity,
  type FleetView,
  type RegisteredServer,
  type ServerPhase,
} from '@spoolgate/control'
import { createLogger, createMetrics, toServerName } from '@spoolgate/core'
import { expect } from 'chai'
import { Subject } from 'rxjs'
import { createBackpressure } from '@spoolgate/routing'
import { startDepartureWatch } from '../direct/departureWatch.js'
import { findDepartureReason } from '../direct/serverAvailability.js'

/** Builds a view of servers that have no start time. */
function buildView(phases: Readonly<Record<string, ServerPhase>>): FleetView {
  const servers = Object.entries(phases).map(([name, phase]) => {
    const identity = buildServerIdentity(toServerName(name), undefined)
    return [identity.id, { ...identity, phase } as RegisteredServer] as const
  })
  return { servers: new Map(servers) } as unknown as FleetView
}

describe('a server that was chosen before', () => {
  it('gets no request once control reports that it departs, or once it said so itself', () => {
    const backpressure = createBackpressure()
    const current = () => buildView({ a: 'ready', b: 'draining', d: 'ready' })
    const { id: said } = buildServerIdentity(toServerName('d'), undefined)
    backpressure.recordLeaving(said, 0)
    const hasReason = (name: string) => {
      const { id } = buildServerIdentity(toServerName(name), undefined)
      return findDepartureReason({ backpressure, feed: { current } }, id, 1) !== undefined
    }
    expect(['a', 'b', 'c', 'd'].filter(hasReason)).to.deep.equal(['b', 'c', 'd'])
  })
})

describe('the watch of departures', () => {
  it('logs once what a router learns from control, with its position in the feed', async () => {
    const lines: string[] = []
    const metrics = createMetrics('router')
    const changes = new Subject<FleetView>()
    let revision = 0
    const watch = startDepartureWatch({
      feed: { changes, viewPosition: () => ({ term: 3, revision }) },
      logger: createLogger({ write: (line) => lines.push(line) }),
      metrics,
    })
    const emit = (phases: Readonly<Record<string, ServerPhase>>) => {
      revision += 1
      changes.next(buildView(phases))
    }
    emit({ a: 'ready', b: 'draining' })
    emit({ a: 'draining', b: 'draining', c: 'ready' })
    emit({ a: 'draining', c: 'ready' })
    const events = lines.map((line) => line.split('event=')[1])
    const common = 'saidBy=control term=3'
    expect(events).to.deep.equal([
      `server.leaving server=b phase=draining ${common} revision=1`,
      `server.leaving server=a phase=draining ${common} revision=2`,
      `server.leaving server=b phase=gone ${common} revision=3`,
    ])
    watch.close()
    await metrics.close()
  })
})
