/**
 * Retry budget: each first attempt earns a fraction of a retry. When many backend servers fail at once, retries cannot
 * multiply the load that made them fail.
 */

/** Retry budget shared by all requests of one router. */
export interface RetryBudget {
  /** Records the first attempt of a request, which earns a fraction of a retry. */
  recordFirstAttempt(): void
  /** Takes one retry from the budget; false if none is left. */
  takeRetry(): boolean
}

/** Retries available at the start, so that a router with little traffic can retry at all. */
const INITIAL_BALANCE = 10
/** Largest number of retries that can accumulate. */
const MAX_BALANCE = 100

/** Creates a budget that earns the current retry ratio, in retries, for each first attempt. */
export function createRetryBudget(findRetryRatio: () => number): RetryBudget {
  let balance = INITIAL_BALANCE
  return {
    recordFirstAttempt: () => {
      balance = Math.min(MAX_BALANCE, balance + findRetryRatio())
    },
    takeRetry: () => {
      if (balance < 1) return false
      balance -= 1
      return true
    },
  }
}
