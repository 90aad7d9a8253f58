/** Places in the rollout: a limited number of engines of a group are out of service for a load at a time. */
import type { BackendServerId } from '@spoolgate/core'
import { Subject, type Observable } from 'rxjs'
import type { RegisteredServer, ServerState } from '../state/serverState.js'

/** Options of {@link createLoadPlaces}. */
export interface LoadPlacesOptions {
  readonly servers: ServerState
  /** Whether an engine is ready and sends heartbeats. */
  readonly isLive: (server: RegisteredServer) => boolean
}

/** See {@link createLoadPlaces}. */
export interface LoadPlaces {
  /** Takes a place, also beyond the limit: a load that runs already counts. */
  take(id: BackendServerId): void
  release(id: BackendServerId): void
  list(): readonly BackendServerId[]
  /** Counts the free places of each group; negative where late orders exceed the limit. */
  countFree(groups: ReadonlySet<string>): Map<string, number>
  /** Emits when a place is taken or released. */
  readonly changes: Observable<void>
}

/** Fraction of a group's live engines that load at a time: more would slow each other, and the rest carry the traffic. */
const LOADING_RATIO = 0.3

/** Creates places that are all free. */
export function createLoadPlaces({ servers, isLive }: LoadPlacesOptions): LoadPlaces {
  const taken = new Set<BackendServerId>()
  const changes = new Subject<void>()
  const increment = (counts: Map<string, number>, group: string) =>
    void counts.set(group, (counts.get(group) ?? 0) + 1)
  return {
    take: (id) => {
      if (taken.has(id)) return
      taken.add(id)
      changes.next()
    },
    release: (id) => {
      if (taken.delete(id)) changes.next()
    },
    list: () => [...taken],
    countFree: (groups) => {
      const live = new Map<string, number>()
      const used = new Map<string, number>()
      for (const server of servers.list()) {
        if (!groups.has(server.group)) continue
        if (isLive(server)) increment(live, server.group)
        if (taken.has(server.id)) increment(used, server.group)
      }
      const countGroup = (group: string) =>
        Math.max(1, Math.round((live.get(group) ?? 0) * LOADING_RATIO)) - (used.get(group) ?? 0)
      return new Map([...groups].map((group) => [group, countGroup(group)]))
    },
    changes,
  }
}
