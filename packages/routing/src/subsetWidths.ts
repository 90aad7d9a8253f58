/**
 * How many backend servers share the outer levels of a prompt. A hot prefix widens as soon as all
 * of its servers are busy for longer than recomputing it elsewhere would take, and narrows slowly.
 */
import type { PrefixHash } from '@spoolgate/core'
import { LRUCache } from 'lru-cache'

/** Widths by the hash of the outer levels. */
export interface SubsetWidths {
  find(outer: PrefixHash): number
  /**
   * Records how busy the least busy server of a subset is.
   * @param shortestQueueMs expected wait at it
   * @param spreadMs time to compute the outer levels once more elsewhere
   */
  record(outer: PrefixHash, shortestQueueMs: number, spreadMs: number, now: number): void
}

interface WidthEntry {
  width: number
  /** When it last changed, or was last busy. */
  changedAt: number
}

const MAX_REMEMBERED = 20_000
const MAX_WIDTH = 64
/** Least time between two widenings, so that one burst is answered by one step, in ms. */
const WIDEN_PERIOD_MS = 250
/** Time without need after which a subset narrows by one, in ms. */
const NARROW_PERIOD_MS = 10_000
/** Marks, as multiples of the time to compute the outer levels elsewhere. */
const HIGH_MARK = 1
const LOW_MARK = 0.25

/** Creates widths that start at one server. */
export function createSubsetWidths(): SubsetWidths {
  const widths = new LRUCache<PrefixHash, WidthEntry>({ max: MAX_REMEMBERED })
  return {
    find: (outer) => widths.get(outer)?.width ?? 1,
    record: (outer, shortestQueueMs, spreadMs, now) => {
      const entry = widths.get(outer) ?? { width: 1, changedAt: -Infinity }
      const isQuiet = now - entry.changedAt > NARROW_PERIOD_MS
      if (shortestQueueMs > spreadMs * HIGH_MARK && now - entry.changedAt > WIDEN_PERIOD_MS) {
        entry.width = Math.min(MAX_WIDTH, entry.width + 1)
        entry.changedAt = now
      } else if (shortestQueueMs > spreadMs * LOW_MARK) {
        entry.changedAt = Math.max(entry.changedAt, now - WIDEN_PERIOD_MS)
      } else if (isQuiet && entry.width > 1) {
        entry.width -= 1
        entry.changedAt = now
      }
      widths.set(outer, entry)
    },
  }
}
