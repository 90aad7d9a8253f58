/** Logs when this router learns from control that a backend server leaves or is no longer registered. */
import type { FeedClient, FleetView, RegisteredServer } from '@spoolgate/control'
import type { BackendServerId, Logger, Metrics } from '@spoolgate/core'

/** Options of {@link startDepartureWatch}. */
export interface DepartureWatchOptions {
  readonly feed: Pick<FeedClient, 'changes' | 'viewPosition'>
  readonly logger: Logger
  readonly metrics: Pick<Metrics, 'counter'>
}

type Phases = ReadonlyMap<BackendServerId, RegisteredServer['phase']>

function listPhases({ servers }: Pick<FleetView, 'servers'>): Phases {
  return new Map([...servers.values()].map(({ id, phase }) => [id, phase]))
}

/** Lists the servers that depart between two views, with their phase in the later one; `gone` if it has them no more. */
function listDepartures(before: Phases, after: Phases) {
  const draining = [...after].filter(([id, phase]) => phase !== 'ready' && before.get(id) !== phase)
  const gone = [...before.keys()].filter((id) => !after.has(id)).map((id) => [id, 'gone'] as const)
  return [...draining, ...gone]
}

/** Starts to watch the views of a router; the result stops it. */
export function startDepartureWatch(options: DepartureWatchOptions): { close(): void } {
  const { feed, logger, metrics } = options
  const learned = metrics.counter(
    'departures_learned',
    'Departures of backend servers that this router learned from control, by phase',
  )
  let known: Phases = new Map()
  const recordView = (view: FleetView) => {
    const next = listPhases(view)
    const { term, revision } = feed.viewPosition()
    for (const [server, phase] of listDepartures(known, next)) {
      learned.add(1, { phase })
      logger.info('server.leaving', { server, phase, saidBy: 'control', term, revision })
    }
    known = next
  }
  const subscription = feed.changes.subscribe(recordView)
  return { close: () => subscription.unsubscribe() }
}
