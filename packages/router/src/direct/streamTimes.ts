/** How long streams took lately, so that a router that stops takes none that would be cut off. */
import type { TimerService } from '@spoolgate/core'

/** Times of streams; see {@link createStreamTimes}. */
export interface StreamTimes {
  /** Notes that a stream begins; what it returns is called at its end, however it ends. */
  begin(): () => void
  /**
   * Longest time that a stream took in the last ten to twenty seconds, or has taken that still runs,
   * in ms; 0 without any stream.
   */
  findLongest(): number
}

/** Time for which the longest stream is remembered at least, in ms: a load changes within seconds. */
const WINDOW_MS = 10_000

/** Creates a record without streams. */
export function createStreamTimes(timers: TimerService): StreamTimes {
  let startedAt = timers.now()
  let longest = 0
  let longestBefore = 0
  /** Streams that run, the oldest first. */
  const running = new Set<{ readonly startedAt: number }>()
  const turn = () => {
    const windows = Math.floor((timers.now() - startedAt) / WINDOW_MS)
    if (windows === 0) return
    startedAt += windows * WINDOW_MS
    longestBefore = windows === 1 ? longest : 0
    longest = 0
  }
  const record = (ms: number) => {
    turn()
    longest = Math.max(longest, ms)
  }
  return {
    begin: () => {
      const stream = { startedAt: timers.now() }
      running.add(stream)
      return () => {
        if (running.delete(stream)) record(timers.now() - stream.startedAt)
      }
    },
    findLongest: () => {
      turn()
      const [oldest] = running
      const age = oldest ? timers.now() - oldest.startedAt : 0
      return Math.max(longest, longestBefore, age)
    },
  }
}
