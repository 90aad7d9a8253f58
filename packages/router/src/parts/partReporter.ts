/** Sends evidence about parts of prompts to the control leader at once, since a poll may take up to a second. */
import { PART_REPORT_PATH, type PartCrashBuffer, type PartReportReply } from '@spoolgate/control'
import { createTimeLimit, type HttpClient, type Logger, type TimerService } from '@spoolgate/core'

/** Options of {@link createPartReporter}. */
export interface PartReporterOptions {
  readonly buffer: Pick<PartCrashBuffer, 'takeUrgent' | 'finishUrgent'>
  readonly client: Pick<HttpClient, 'sendJson'>
  readonly timers: TimerService
  readonly logger: Logger
  /** Returns the URL of the leader; undefined while none is known. */
  readonly findLeaderUrl: () => string | undefined
}

/** See {@link createPartReporter}. */
export interface PartReporter {
  /** Sends what is buffered soon; what does not reach the leader goes with the next poll. */
  sendSoon(): void
}

/** Time for which evidence of one crash is gathered, in ms: its calls break off within a few. */
const GATHER_MS = 3
/** Timeout of a report, in ms. */
const REPLY_TIMEOUT_MS = 500

/** Creates a reporter. */
export function createPartReporter(options: PartReporterOptions): PartReporter {
  const { buffer, client, timers, logger, findLeaderUrl } = options
  let isScheduled = false

  const send = async () => {
    const url = findLeaderUrl()
    const urgent = url === undefined ? undefined : buffer.takeUrgent()
    if (!urgent) return
    const timeout = createTimeLimit(timers, REPLY_TIMEOUT_MS)
    let term: number | undefined
    try {
      const reply = await client.sendJson<PartReportReply>({
        method: 'POST',
        url: `${url}${PART_REPORT_PATH}`,
        json: urgent.report,
        signal: timeout.signal,
      })
      term = reply.term
    } catch (cause) {
      logger.warn('part.notReported', { url, reason: String(cause) })
    } finally {
      timeout.close()
      buffer.finishUrgent(urgent, term)
    }
  }
  return {
    sendSoon: () => {
      if (isScheduled) return
      isScheduled = true
      timers.after(GATHER_MS).subscribe(() => {
        isScheduled = false
        void send()
      })
    },
  }
}
