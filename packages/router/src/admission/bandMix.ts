/**
 * Mix of the priority bands in the tokens that are pending at engines. Engines prefill more urgent requests first, so a
 * request is delayed only by pending tokens of its own and more urgent bands; reports on the load of other routers do not
 * distinguish bands. By Little's law the mean pending tokens of a band follow from what this router's requests
 * contributed: their tokens, times how long they were pending.
 */
import type { TimerService } from '@spoolgate/core'

/** See {@link createBandMix}. */
export interface BandMix {
  /** Records a request whose tokens were pending for a time, in ms. */
  record(group: string, band: number, tokens: number, ms: number): void
  /** Part of the pending tokens that belongs to a band and more urgent ones; 1 while nothing is known. */
  findRatioUpTo(group: string, band: number): number
}

/** Time constant of the averages, in ms; covers tens of requests of a busy router. */
const AVERAGING_TIME_MS = 5_000
/** Minimum sum for a ratio, in tokens times ms: a few long prompts that were pending for 100 ms. */
const MIN_TOKEN_MS = 2_000_000

/** Creates a mix without samples. */
export function createBandMix(timers: Pick<TimerService, 'now'>): BandMix {
  const groups = new Map<string, { readonly tokenMs: Map<number, number>; at: number }>()
  return {
    record: (group, band, tokens, ms) => {
      const now = timers.now()
      const known = groups.get(group) ?? { tokenMs: new Map<number, number>(), at: now }
      const remaining = Math.exp(-(now - known.at) / AVERAGING_TIME_MS)
      for (const [other, sum] of known.tokenMs) known.tokenMs.set(other, sum * remaining)
      known.tokenMs.set(band, (known.tokenMs.get(band) ?? 0) + tokens * ms)
      known.at = now
      groups.set(group, known)
    },
    findRatioUpTo: (group, band) => {
      let total = 0
      let ahead = 0
      for (const [other, tokenMs] of groups.get(group)?.tokenMs ?? []) {
        total += tokenMs
        if (other <= band) ahead += tokenMs
      }
      return total < MIN_TOKEN_MS ? 1 : ahead / total
    },
  }
}
