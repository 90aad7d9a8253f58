/** How long streams took lately, so that a router that stops takes none that would be cut off. */
import type { TimerService } from '@spoolgate/core'

/** Times of streams; see {@link createStreamTimes}. */
export interface StreamTimes {
  /** Notes how long a stream took, in ms, however it ended. */
  record(ms: number): void
  /** Longest time of the last ten to twenty seconds, in ms; 0 without any stream. */
  findLongest(): number
}

/** Time for which the longest stream is remembered at least, in ms: a load changes within seconds. */
const WINDOW_MS = 10_000

/** Creates a record without streams. */
export function createStreamTimes(timers: TimerService): StreamTimes {
  let startedAt = timers.now()
  let longest = 0
  let longestBefore = 0
  const turn = () => {
    const windows = Math.floor((timers.now() - startedAt) / WINDOW_MS)
    if (windows === 0) return
    startedAt += windows * WINDOW_MS
    longestBefore = windows === 1 ? longest : 0
    longest = 0
  }
  return {
    record: (ms) => {
      turn()
      longest = Math.max(longest, ms)
    },
    findLongest: () => {
      turn()
      return Math.max(longest, longestBefore)
    },
  }
}
