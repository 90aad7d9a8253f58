/**
 * Replicated status of weight loads by engine. A leader records the start before it sends the first order to an
 * engine, so that the next leader knows to which engines its predecessor may still be sending orders. The status
 * survives a restart of the engine, because an order in flight reaches whichever incarnation runs when it arrives.
 */
import { removeOldest, type ServerName } from '@spoolgate/core'
import { Subject, type Observable } from 'rxjs'

/** Records that the leader is about to order an engine to load weights. */
export interface BeginWeightLoad {
  readonly kind: 'load.begin'
  readonly server: ServerName
}

/** Records that the leader will send the engine no more orders and that all sent orders were answered. */
export interface EndWeightLoad {
  readonly kind: 'load.end'
  readonly server: ServerName
}

/** Status of the last weight load of an engine. */
export type WeightLoadStatus = 'open' | 'ended'

/** State as stored in a snapshot. */
export type SavedWeightLoads = readonly (readonly [ServerName, WeightLoadStatus])[]

/** Weight loads by engine. */
export interface WeightLoadState {
  /** Finds the status of an engine; undefined when no load is recorded for it. */
  find(server: ServerName): WeightLoadStatus | undefined
  list(): SavedWeightLoads
  /** Emits the engine of each status that is set. */
  readonly changes: Observable<ServerName>
  begin(command: BeginWeightLoad): null
  end(command: EndWeightLoad): null
  save(): SavedWeightLoads
  load(saved: SavedWeightLoads): void
}

/** Engines whose status is kept, most recently updated first: several times the size of a large fleet. */
const MAX_TRACKED_SERVERS = 2_000

/** Creates a state without weight loads. */
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
