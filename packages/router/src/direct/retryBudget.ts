/**
 * A router's share of the fleet's retry budget. Within any window the fleet may retry a ratio of the requests for a
 * group plus a fixed slack. Each router uses the ratio of its own requests and an equal share of the slack, so that the
 * sum stays within the budget without coordination.
 */
import type { TimerService } from '@spoolgate/core'

/** Retry budget of the whole fleet. */
export interface RetryBounds {
  /** Retries allowed per request within a window. */
  readonly ratio: number
  /** Retries allowed beyond that, over all routers. */
  readonly slack: number
  readonly windowMs: number
}

/** Options of {@link createRetryBudget}. */
export interface RetryBudgetOptions {
  readonly timers: TimerService
  readonly bounds: RetryBounds
  /** Counts the routers that share the budget. */
  readonly countRouters: () => number
}

/** Share of one router; see {@link createRetryBudget}. */
export interface RetryBudget {
  /** Records the first send of a request to a group. */
  recordFirstSend(group: string): void
  /** Takes one retry from the share; returns false if it is used up. */
  takeRetry(group: string): boolean
}

/** Fraction of its share that a router uses; the rest is a margin for what routers do not know of each other. */
const USABLE_RATIO = 0.7

interface SendTimes {
  firstSends: number[]
  retries: number[]
}

/** Creates a router's share of the budget, of which nothing has been used. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const { timers, bounds } = options
  const groups = new Map<string, SendTimes>()
  const findSendTimes = (group: string): SendTimes => {
    const sendTimes = groups.get(group) ?? { firstSends: [], retries: [] }
    groups.set(group, sendTimes)
    const oldest = timers.now() - bounds.windowMs
    sendTimes.firstSends = sendTimes.firstSends.filter((at) => at > oldest)
    sendTimes.retries = sendTimes.retries.filter((at) => at > oldest)
    return sendTimes
  }
  return {
    recordFirstSend: (group) => {
      const known = groups.get(group)
      if (known) known.firstSends.push(timers.now())
      else findSendTimes(group).firstSends.push(timers.now())
    },
    takeRetry: (group) => {
      const { firstSends, retries } = findSendTimes(group)
      const slack = bounds.slack / Math.max(1, options.countRouters())
      const allowed = USABLE_RATIO * (bounds.ratio * firstSends.length + slack)
      if (retries.length + 1 > allowed) return false
      retries.push(timers.now())
      return true
    },
  }
}
