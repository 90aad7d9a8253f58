/**
 * What comes from outside and cannot be used: rejected by itself, counted, and logged at a bounded
 * rate. Nothing else is thrown away for it.
 */
import { Subject, type Observable } from 'rxjs'
import type { Logger } from './logger.js'
import type { TimerService } from './timers.js'

/** One entry that cannot be used. */
export interface RejectedInput {
  /** Kind of thing it came as, such as `heartbeat`. */
  readonly source: string
  /** Who sent it, or where it was read. */
  readonly from: string
  /** What is wrong with it, without its content. */
  readonly reason: string
}

/** Takes note of such entries; see {@link createRejectedInputs}. */
export interface RejectedInputs {
  record(entry: RejectedInput): void
  /** Emits each entry, for counters. */
  readonly entries: Observable<RejectedInput>
}

/** Options of {@link createRejectedInputs}. */
export interface RejectedInputsOptions {
  readonly logger: Logger
  readonly timers: TimerService
}

/** Minimum interval between two log lines of one source, in ms, so that a persistent source does not fill the log. */
const REPORT_PERIOD_MS = 10_000

interface SourceReport {
  readonly reportedAt: number
  /** Entries since that line. */
  readonly count: number
}

/** Creates a record without entries. */
export function createRejectedInputs({ logger, timers }: RejectedInputsOptions): RejectedInputs {
  const reports = new Map<string, SourceReport>()
  const entries = new Subject<RejectedInput>()
  return {
    entries,
    record: (entry) => {
      const { source } = entry
      entries.next(entry)
      const { reportedAt, count } = reports.get(source) ?? { reportedAt: -Infinity, count: 0 }
      const isDue = timers.now() - reportedAt >= REPORT_PERIOD_MS
      if (isDue) logger.warn('input.rejected', { ...entry, count: count + 1 })
      reports.set(source, {
        reportedAt: isDue ? timers.now() : reportedAt,
        count: isDue ? 0 : count + 1,
      })
    },
  }
}
