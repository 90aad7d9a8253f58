/**
 * The part of the replicated state that says where loads of weights were begun and ended. A leader
 * notes the beginning before its first order to an engine, so that the next leader knows which
 * engines the one before may still be giving orders to. A mark outlives a restart of its engine: an order
 * that is in flight reaches whichever start is there when it arrives.
 */
import { removeOldest, type ServerName } from '@spoolgate/core'
import { Subject, type Observable } from 'rxjs'

/** Notes that a leader is about to order an engine to load weights. */
export interface BeginWeightLoad {
  readonly kind: 'load.begin'
  readonly server: ServerName
}

/** Notes that the leader will send the engine no more orders, and that all were answered. */
export interface EndWeightLoad {
  readonly kind: 'load.end'
  readonly server: ServerName
}

/** How far the last load of an engine has come. */
export type WeightLoadStatus = 'open' | 'ended'

/** State as a snapshot holds it. */
export type SavedWeightLoads = readonly (readonly [ServerName, WeightLoadStatus])[]

/** Loads of weights by engine. */
export interface WeightLoadState {
  /** Finds the mark of an engine; undefined where nobody ever ordered it to load. */
  find(server: ServerName): WeightLoadStatus | undefined
  list(): SavedWeightLoads
  /** Emits the engine of each mark that is set. */
  readonly changes: Observable<ServerName>
  begin(command: BeginWeightLoad): null
  end(command: EndWeightLoad): null
  save(): SavedWeightLoads
  load(saved: SavedWeightLoads): void
}

/** Engines whose marks are kept, the newest: several times those of a large fleet. */
const MAX_TRACKED_SERVERS = 2_000

/** Creates a state without loads. */
export function createWeightLoadState(): WeightLoadState {
  const statuses = new Map<ServerName, WeightLoadStatus>()
  const changes = new Subject<ServerName>()
  const setStatus = (server: ServerName, status: WeightLoadStatus) => {
    statuses.delete(server)
    statuses.set(server, status)
    removeOldest(statuses, MAX_TRACKED_SERVERS)
    changes.next(server)
    return null
  }
  return {
    find: (server) => statuses.get(server),
    list: () => [...statuses],
    changes,
    begin: ({ server }) => setStatus(server, 'open'),
    end: ({ server }) => setStatus(server, 'ended'),
    save: () => [...statuses],
    load: (saved) => {
      statuses.clear()
      for (const [server, mark] of saved) setStatus(server, mark)
    },
  }
}
