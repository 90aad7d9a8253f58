/**
 * Budget of retries: each first try earns a fraction of a retry. When many backend servers fail at
 * once, retries cannot multiply the load that made them fail.
 */

/** A budget that the tries of one router share. */
export interface RetryBudget {
  /** Notes a first try. */
  recordFirstAttempt(): void
  /** Takes one retry out of the budget; false when it is spent. */
  takeRetry(): boolean
}

/** Retries that are allowed before any traffic, so that a quiet router can retry at all. */
const MIN_BALANCE = 10
/** Retries that can be saved up. */
const MAX_BALANCE = 100

/** Creates a budget that earns `ratio` retries for each first try. */
export function createRetryBudget(findRatio: () => number): RetryBudget {
  let balance = MIN_BALANCE
  return {
    recordFirstAttempt: () => {
      balance = Math.min(MAX_BALANCE, balance + findRatio())
    },
    takeRetry: () => {
      if (balance < 1) return false
      balance -= 1
      return true
    },
  }
}
