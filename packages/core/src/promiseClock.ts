/**
 * Clock for promises on which other processes rely, such as leases. The monotonic clock stops while a machine is suspended
 * and the time of day does not, but the latter may also be set by hand. Time that the time of day gains on the monotonic
 * clock counts as elapsed, and time that it loses does not: a promise may expire early, but never late.
 */

/** Options of {@link createPromiseClock}. */
export interface PromiseClockOptions {
  /** Time without suspensions, in ms; never steps. */
  readonly steadyNow: () => number
  /** Time of day, in ms since the Unix epoch; may step. */
  readonly wallNow: () => number
  /** Called with the time that was missed, in ms, when some was noticed. */
  readonly onMissed: (ms: number) => void
}

/** Gains of the time of day below this are what the two clocks differ by and the wait between the two readings, in ms. */
export const LEAST_MISSED_MS = 20

/** Creates a clock that has missed nothing; it never steps back, and is looked at by being read. */
export function createPromiseClock(options: PromiseClockOptions): () => number {
  const { steadyNow, wallNow, onMissed } = options
  let known = wallNow() - steadyNow()
  let missedMs = 0
  return () => {
    const steady = steadyNow()
    const difference = wallNow() - steady
    const missed = difference - known
    known = difference
    if (missed >= LEAST_MISSED_MS) {
      missedMs += missed
      onMissed(missed)
    }
    return steady + missedMs
  }
}
