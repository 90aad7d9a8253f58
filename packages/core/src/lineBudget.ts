/**
 * A bound on log lines. Under load a process would spend its time on writing them; what goes over the
 * bound is dropped and counted, and the count is written once there is room again.
 */
import type { TimerService } from './timers.js'

/** Options of {@link createLineBudget}. */
export interface LineBudgetOptions {
  readonly timers: TimerService
  /** Lines that may be written in each second. */
  readonly linesPerSecond: number
  /** Writes a line; must not block. */
  readonly write: (line: string) => void
  /** Formats the line that reports how many were dropped. */
  readonly formatDropped: (count: number) => string
}

const SECOND_MS = 1_000

/** Creates a writer of lines that keeps to a budget. */
export function createLineBudget(options: LineBudgetOptions): (line: string) => void {
  const { timers, linesPerSecond, write, formatDropped } = options
  let startedAt = timers.now()
  let written = 0
  let dropped = 0
  const startSecond = (now: number) => {
    startedAt = now
    written = 0
    if (dropped === 0) return
    write(formatDropped(dropped))
    dropped = 0
  }
  return (line) => {
    const now = timers.now()
    if (now - startedAt >= SECOND_MS) startSecond(now)
    if (written >= linesPerSecond) {
      dropped += 1
      return
    }
    written += 1
    write(line)
  }
}
