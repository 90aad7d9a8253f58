/**
 * Prefill rates of engines by group, from the tokens that were pending ahead of a request and its own. Rates from its own
 * tokens alone would count the time in an engine's queue as prefill, and the busier the engines, the less they would
 * seem to hold.
 */
import type { TimerService } from '@spoolgate/core'

/** See {@link createPrefillRates}. */
export interface PrefillRates {
  /** Records tokens that an engine prefilled from the send of a request to its first event, and that time in ms. */
  record(group: string, tokens: number, ms: number): void
  /** Prompt tokens that an engine of the group prefills per ms; undefined while there are too few samples. */
  find(group: string): number | undefined
}

/** Time constant of the averages, in ms; covers tens of requests of a busy router. */
const AVERAGING_TIME_MS = 5_000
/** Minimum sum of tokens for an estimate: a few long prompts. */
const MIN_TOKENS = 20_000
/** Minimum number of tokens in a sample; with fewer, engine steps dominate the time to the first event. */
const MIN_SAMPLE_TOKENS = 500

interface GroupSums {
  tokens: number
  ms: number
  at: number
}

/** Creates rates without samples. */
export function createPrefillRates(timers: Pick<TimerService, 'now'>): PrefillRates {
  const groups = new Map<string, GroupSums>()
  return {
    record: (group, tokens, ms) => {
      if (tokens < MIN_SAMPLE_TOKENS || ms <= 0) return
      const now = timers.now()
      const sums = groups.get(group) ?? { tokens: 0, ms: 0, at: now }
      const remaining = Math.exp(-(now - sums.at) / AVERAGING_TIME_MS)
      // Both sums decay alike, so the estimate outlasts a pause; long samples count by their length.
      groups.set(group, {
        tokens: sums.tokens * remaining + tokens,
        ms: sums.ms * remaining + ms,
        at: now,
      })
    },
    find: (group) => {
      const sums = groups.get(group)
      return sums && sums.tokens >= MIN_TOKENS ? sums.tokens / sums.ms : undefined
    },
  }
}
