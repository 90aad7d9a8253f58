/**
 * Waits for what a process needs to start and what may still come: a port that another process holds, settings that are
 * being replaced, a disk that refuses writes. Each attempt that failed is logged with its reason and remedy.
 */
import type { Logger } from './logger.js'
import { waitFor, type TimerService } from './timers.js'

/** Why an attempt failed. */
export interface StartupProblem {
  readonly reason: string
  /** What an operator can do about it. */
  readonly remedy: string
}

/** Options of {@link waitForStartup}. */
export interface StartupWaitOptions<T> {
  /** What the process waits for, for the log. */
  readonly what: string
  /** Tries once. */
  readonly attempt: () => Promise<T> | T
  /** Explains a failure that time or an operator may end; undefined rejects at once with the error itself. */
  readonly findProblem: (cause: unknown) => StartupProblem | undefined
  readonly logger: Pick<Logger, 'warn' | 'info'>
  readonly timers: TimerService
  /**
   * Time after which the last error is thrown, in ms.
   * @default Infinity
   */
  readonly patienceMs?: number
  /**
   * Ends the wait.
   * @default never
   */
  readonly signal?: AbortSignal
}

const MIN_DELAY_MS = 50
const MAX_DELAY_MS = 1_000
const DELAY_FACTOR = 2

/**
 * Retries with exponential backoff until an attempt succeeds.
 * @throws the error of an attempt that no retry can end, or of the last one, or the reason of `signal`.
 */
export async function waitForStartup<T>(options: StartupWaitOptions<T>): Promise<T> {
  const { what, attempt, findProblem, logger, timers, patienceMs = Infinity, signal } = options
  const startedAt = timers.now()
  const measureMs = () => Math.round(timers.now() - startedAt)
  for (let delayMs = MIN_DELAY_MS; ; delayMs = Math.min(MAX_DELAY_MS, delayMs * DELAY_FACTOR)) {
    try {
      const result = await attempt()
      if (delayMs > MIN_DELAY_MS) logger.info('start.resumed', { what, ms: measureMs() })
      return result
    } catch (cause) {
      const problem = findProblem(cause)
      if (problem === undefined || measureMs() + delayMs > patienceMs) throw cause
      logger.warn('start.waiting', { what, ...problem, ms: measureMs(), nextMs: delayMs })
    }
    await waitFor(timers, delayMs, signal)
    signal?.throwIfAborted()
  }
}
