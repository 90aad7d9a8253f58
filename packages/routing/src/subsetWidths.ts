/**
 * Number of backend servers (the width of the subset) that serve prompts with the same outer levels. The subset of a
 * frequent prefix grows as soon as all of its servers have longer queues than recomputing the prefix on another server
 * would take, and shrinks slowly.
 */
import type { PrefixHash } from '@spoolgate/core'
import { LRUCache } from 'lru-cache'

/** Subset widths by the hash of the outer levels. */
export interface SubsetWidths {
  /** Finds the width of a subset; 1 until load was recorded. */
  find(outerHash: PrefixHash): number
  /**
   * Records the load of the least busy server of a subset, and changes the width if due.
   * @param shortestQueueMs expected wait at that server, in ms
   * @param recomputeMs time to recompute the outer levels on another server, in ms
   */
  record(outerHash: PrefixHash, shortestQueueMs: number, recomputeMs: number, now: number): void
}

interface WidthEntry {
  width: number
  /** Time of the last change of the width, or the last time that load delayed narrowing. */
  changedAt: number
}

const MAX_TRACKED_PREFIXES = 20_000
const MAX_WIDTH = 64
/** Least time between two increases, in ms, so that one burst widens a subset by one step only. */
const MIN_WIDEN_INTERVAL_MS = 250
/** Time without load after which the width decreases by one, in ms. */
const NARROW_AFTER_MS = 10_000
/** Queue above which a subset widens, as a multiple of the time to recompute the outer levels. */
const WIDEN_RATIO = 1
/** Queue above which a subset does not narrow, as a multiple of the same time. */
const BUSY_RATIO = 0.25

/** Creates subset widths, initially one server each. */
export function createSubsetWidths(): SubsetWidths {
  const widths = new LRUCache<PrefixHash, WidthEntry>({ max: MAX_TRACKED_PREFIXES })
  return {
    find: (outerHash) => widths.get(outerHash)?.width ?? 1,
    record: (outerHash, shortestQueueMs, recomputeMs, now) => {
      const entry = widths.get(outerHash) ?? { width: 1, changedAt: -Infinity }
      const isNarrowDue = now - entry.changedAt > NARROW_AFTER_MS
      if (
        shortestQueueMs > recomputeMs * WIDEN_RATIO &&
        now - entry.changedAt > MIN_WIDEN_INTERVAL_MS
      ) {
        entry.width = Math.min(MAX_WIDTH, entry.width + 1)
        entry.changedAt = now
      } else if (shortestQueueMs > recomputeMs * BUSY_RATIO) {
        entry.changedAt = Math.max(entry.changedAt, now - MIN_WIDEN_INTERVAL_MS)
      } else if (isNarrowDue && entry.width > 1) {
        entry.width -= 1
        entry.changedAt = now
      }
      widths.set(outerHash, entry)
    },
  }
}
