/** The last placements of all routers, numbered, for those that have not received them. */
import { MAX_PLACEMENTS_PER_REPLY, type Placement } from './feed.js'

/** The log; see {@link createPlacementLog}. */
export interface PlacementLog {
  add(router: string, placements: readonly Placement[]): void
  /** Lists what other routers placed after a number; the newest of too many. */
  listSince(router: string, seen: number): Placement[]
  /** Number of the last placement. */
  last(): number
  /** Forgets everything, as a new leader must: its numbers start anew. */
  reset(): void
}

interface Entry {
  readonly router: string
  readonly placement: Placement
}

/** Placements that are kept: several replies' worth. */
const MAX_ENTRIES = 1_000

/** Creates an empty log. */
export function createPlacementLog(): PlacementLog {
  let entries: Entry[] = []
  /** Number of the entry before the first that is kept. */
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
