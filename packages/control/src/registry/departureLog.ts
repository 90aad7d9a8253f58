/**
 * Logs the acknowledgements of departures: heartbeats that say `draining`, and leave messages. A request that reached a
 * server afterwards is judged by the time of the acknowledgement, whichever instance gave it.
 */
import type { BackendServerId, Logger, Metrics } from '@spoolgate/core'
import { LRUCache } from 'lru-cache'
import {
  buildServerIdentity,
  type DeparturePhase,
  type ServerResult,
} from '../state/serverState.js'
import type {
  FleetOperationName,
  FleetOperationRunner,
  FleetOperations,
} from './fleetOperations.js'

/** Options of {@link createLoggedOperations}. */
export interface LoggedOperationsOptions {
  readonly operations: Pick<FleetOperationRunner, 'run'>
  readonly logger: Logger
  readonly metrics: Pick<Metrics, 'counter'>
}

/** A departure as its server sends it. */
interface Departure {
  readonly id: BackendServerId
  readonly phase: DeparturePhase
  /** Sequence number of the heartbeat; undefined for a leave message. */
  readonly count?: number
}

type FindDeparture<Name extends FleetOperationName> = (
  input: FleetOperations[Name]['input'],
) => Departure | undefined

/** Departures whose acknowledgement was logged: several times the size of a large deployment. */
const MAX_LOGGED = 5_000

/** Finds the departure in the input of an operation, for those that may contain one. */
const DEPARTURES: { readonly [Name in FleetOperationName]?: FindDeparture<Name> } = {
  observeServer: ({ server: { id, phase }, count }) =>
    phase === 'ready' ? undefined : { id, phase, count },
  retireServer: ({ name, startedAt }) => ({
    id: buildServerIdentity(name, startedAt).id,
    phase: 'gone',
  }),
}

/** Wraps the operations of an instance, so that the first acknowledgement of each departure is logged. */
export function createLoggedOperations(
  options: LoggedOperationsOptions,
): Pick<FleetOperationRunner, 'run'> {
  const { operations, logger, metrics } = options
  const departures = metrics.counter(
    'departures_acknowledged',
    'Departures of backend servers that this instance acknowledged, by phase',
  )
  const logged = new LRUCache<string, true>({ max: MAX_LOGGED })
  const recordAcknowledged = ({ id, phase, count }: Departure, result: ServerResult) => {
    const key = `${phase} ${id}`
    if (logged.has(key)) return
    logged.set(key, true)
    departures.add(1, { phase })
    const registered = result.isRegistered === false ? 'no' : result.phase
    logger.info('server.departureAcknowledged', { server: id, phase, count, registered })
  }
  return {
    run: async (name, input) => {
      const result = await operations.run(name, input)
      const findDeparture = DEPARTURES[name] as FindDeparture<typeof name> | undefined
      const departure = findDeparture?.(input)
      if (departure) recordAcknowledged(departure, result as ServerResult)
      return result
    },
  }
}
