/**
 * A router's share of the fleet's budget of repeated sends. The whole fleet may repeat a ratio of the
 * requests for a group within any window, and some more; each router spends the ratio of its own
 * requests and an equal part of the rest, so that the sum stays under the budget unasked.
 */
import type { TimerService } from '@spoolgate/core'

/** The budget of the whole fleet. */
export interface RetryBounds {
  /** Repeated sends for each request within a window. */
  readonly ratio: number
  /** Repeated sends that are allowed beyond that, over all routers. */
  readonly slack: number
  readonly windowMs: number
}

/** Options of {@link createRetryBudget}. */
export interface RetryBudgetOptions {
  readonly timers: TimerService
  readonly bounds: RetryBounds
  /** Routers that share the budget. */
  readonly countRouters: () => number
}

/** The share; see {@link createRetryBudget}. */
export interface RetryBudget {
  /** Notes the first send of a request to a group. */
  recordFirstSend(group: string): void
  /** Takes one repeated send; false when the share is spent. */
  takeRetry(group: string): boolean
}

/** Part of the budget that routers spend; the rest covers what they do not know of each other. */
const USABLE_RATIO = 0.7

interface Counts {
  firsts: number[]
  repeats: number[]
}

/** Creates a share that is unspent. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const { timers, bounds } = options
  const groups = new Map<string, Counts>()
  const findCounts = (group: string): Counts => {
    const counts = groups.get(group) ?? { firsts: [], repeats: [] }
    groups.set(group, counts)
    const oldest = timers.now() - bounds.windowMs
    counts.firsts = counts.firsts.filter((at) => at > oldest)
    counts.repeats = counts.repeats.filter((at) => at > oldest)
    return counts
  }
  return {
    recordFirstSend: (group) => {
      const known = groups.get(group)
      if (known) known.firsts.push(timers.now())
      else findCounts(group).firsts.push(timers.now())
    },
    takeRetry: (group) => {
      const { firsts, repeats } = findCounts(group)
      const slack = bounds.slack / Math.max(1, options.countRouters())
      const allowed = USABLE_RATIO * (bounds.ratio * firsts.length + slack)
      if (repeats.length + 1 > allowed) return false
      repeats.push(timers.now())
      return true
    },
  }
}
