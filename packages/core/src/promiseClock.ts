/**
 * Time as others may have counted it, for promises that they rely on. The steady clock stands still while a machine is
 * suspended, and the time of day goes on; but that is also set by hand. What the time of day gains on the steady clock
 * is therefore counted as passed, and what it loses is not: a promise may end early, and never late.
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
