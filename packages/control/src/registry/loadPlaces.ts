/** Places in the rollout: a limited number of engines of a group are out of service for a load at a time. */
import type { BackendServerId } from '@spoolgate/core'
import { Subject, type Observable } from 'rxjs'
import type { RegisteredServer, ServerState } from '../state/serverState.js'

/** Options of {@link createLoadPlaces}. */
export interface LoadPlacesOptions {
  readonly servers: ServerState
  /** Whether an engine is ready and sends heartbeats. */
  readonly isLive: (server: RegisteredServer) => boolean
  /** Whether an engine gets no requests because its weights have expired. */
  readonly isExpired: (id: BackendServerId) => boolean
}

/** What a group can spare for loads. */
export interface FreePlaces {
  /** Loads that may begin; negative where late orders exceed the limit. */
  readonly loads: number
  /** Engines in service that may be taken out of it. */
  readonly inService: number
}

/** See {@link createLoadPlaces}. */
export interface LoadPlaces {
  /** Takes a place, also beyond the limit: a load that runs already counts. */
  take(id: BackendServerId): void
  release(id: BackendServerId): void
  list(): readonly BackendServerId[]
  /** Counts the free places of each group. */
  countFree(groups: ReadonlySet<string>): Map<string, FreePlaces>
  /** Emits when a place is taken or released. */
  readonly changes: Observable<void>
}

/** Fraction of a group's live engines that load at a time: more would slow each other, and the rest carry the traffic. */
const LOADING_RATIO = 0.3

/** Engines of a group by state; all but `taken` count live ones only. */
interface GroupCounts {
  live: number
  taken: number
  expired: number
  inService: number
}

function createCounts(): GroupCounts {
  return { live: 0, taken: 0, expired: 0, inService: 0 }
}

function findFree({ live, taken, expired, inService }: GroupCounts): FreePlaces {
  const limit = Math.max(1, Math.round(live * LOADING_RATIO))
  // The last engine in service stays until another one is back, or until its own weights expire.
  return { loads: limit - taken, inService: expired > 0 ? inService - 1 : inService }
}

/** Creates places that are all free. */
export function createLoadPlaces({ servers, isLive, isExpired }: LoadPlacesOptions): LoadPlaces {
  const taken = new Set<BackendServerId>()
  const changes = new Subject<void>()
  const countServer = (counts: GroupCounts, server: RegisteredServer) => {
    const isTaken = taken.has(server.id)
    if (isTaken) counts.taken += 1
    if (!isLive(server)) return
    counts.live += 1
    if (isExpired(server.id)) counts.expired += 1
    else if (!isTaken) counts.inService += 1
  }
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
      const counts = new Map([...groups].map((group) => [group, createCounts()]))
      for (const server of servers.list()) {
        const group = counts.get(server.group)
        if (group) countServer(group, server)
      }
      return new Map([...counts].map(([name, group]) => [name, findFree(group)]))
    },
    changes,
  }
}
