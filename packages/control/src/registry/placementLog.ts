/** Bounded log of the latest placements of all routers, by sequence number, from which routers fetch new entries. */
import { MAX_PLACEMENTS_PER_REPLY, type Placement } from './feed.js'

/** See {@link createPlacementLog}. */
export interface PlacementLog {
  add(router: string, placements: readonly Placement[]): void
  /** Lists placements of other routers after a sequence number; only the newest when they exceed one reply. */
  listSince(router: string, seen: number): Placement[]
  /** Sequence number of the last placement. */
  last(): number
  /** Clears the log and restarts numbering, as a new leader must. */
  reset(): void
}

interface Entry {
  readonly router: string
  readonly placement: Placement
}

/** Maximum number of entries: enough for several replies. */
const MAX_ENTRIES = 1_000

/** Creates an empty log. */
export function createPlacementLog(): PlacementLog {
  let entries: Entry[] = []
  /** Number of entries dropped from the front, which is the sequence number before the first one kept. */
  let removedCount = 0
  return {
    add: (router, placements) => {
      for (const placement of placements) entries.push({ router, placement })
      const surplus = entries.length - MAX_ENTRIES
      if (surplus <= 0) return
      entries = entries.slice(surplus)
      removedCount += surplus
    },
    listSince: (router, seen) =>
      entries
        .slice(Math.max(0, seen - removedCount))
        .filter((entry) => entry.router !== router)
        .slice(-MAX_PLACEMENTS_PER_REPLY)
        .map(({ placement }) => placement),
    last: () => removedCount + entries.length,
    reset: () => {
      entries = []
      removedCount = 0
    },
  }
}
