/**
 * One time axis that counts what passed while the machine was suspended. The steady clock stands still then; the clock since
 * boot goes on, but is read slowly and coarsely. So the steady clock is read, and what it missed is added once the other
 * one was looked at.
 */

/** Options of {@link createBootClock}; both in ms, and neither ever steps back. */
export interface BootClockOptions {
  /** Time without suspensions. */
  readonly steadyNow: () => number
  /** Time with suspensions. */
  readonly sinceBoot: () => number
  /** Called with the length of a suspension that was noticed, in ms. */
  readonly onSuspended: (ms: number) => void
}

/** See {@link createBootClock}. */
export interface BootClock {
  /** Time on the axis; a suspension may be missing that nobody has noticed yet. */
  now(): number
  /** Time on the axis, after a look for suspensions. */
  bootNow(): number
}

/** Less than this is not told from how coarse the clock since boot is, in ms; it is counted once it has added up. */
export const LEAST_SUSPENSION_MS = 50

/** Creates a clock that has missed nothing. */
export function createBootClock(options: BootClockOptions): BootClock {
  const { steadyNow, sinceBoot, onSuspended } = options
  let known = sinceBoot() - steadyNow()
  let suspendedMs = 0
  const now = () => steadyNow() + suspendedMs
  return {
    now,
    bootNow: () => {
      const missed = sinceBoot() - steadyNow() - known
      if (missed >= LEAST_SUSPENSION_MS) {
        known += missed
        suspendedMs += missed
        onSuspended(missed)
      }
      return now()
    },
  }
}
