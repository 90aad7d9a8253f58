/** Final answers for requests that no backend server answered, and when their callers may come back. */
import { SpoolgateError, type RandomSource } from '@spoolgate/core'

/** Seconds after which a caller may try again when every server refused. */
export const MIN_RETRY_AFTER_S = 0.15
/** Upper bound on the Retry-After of a request that cannot be served in time, in ms. */
const MAX_RETRY_AFTER_MS = 1_000
/** Jitter of a Retry-After, as a part of it. */
const RETRY_AFTER_JITTER = 0.25
const MS_PER_S = 1_000

/**
 * Finds when a caller should come back whose answer would not begin while it waits; undefined where
 * it should be served now. What surely cannot be served is refused at once, and leaves the engines to
 * those that can.
 */
export function findRetryAfterSeconds(expectedMs: number, leftMs: number): number | undefined {
  if (expectedMs <= leftMs) return undefined
  const comeBackMs = Math.min(MAX_RETRY_AFTER_MS, expectedMs - leftMs)
  return Math.max(MIN_RETRY_AFTER_S, comeBackMs / MS_PER_S)
}

/**
 * Draws after how many seconds a caller should come back that no server takes for so many ms. All would come back
 * together at the end of a rest otherwise.
 */
export function drawRetryAfterSeconds(retryAfterMs: number, random: RandomSource): number {
  if (retryAfterMs <= 0) return MIN_RETRY_AFTER_S
  const spreadMs = Math.max(MIN_RETRY_AFTER_S * MS_PER_S, retryAfterMs * RETRY_AFTER_JITTER)
  return Math.ceil(retryAfterMs + random.next() * spreadMs) / MS_PER_S
}

/** Creates the answer for a request whose outcome nobody knows. */
export function createOutcomeUnknownError(message: string): SpoolgateError {
  return new SpoolgateError('outcomeUnknown', message)
}

/** Creates the answer for a request that no server takes. */
export function createUnavailableError(
  mayHaveRun: boolean,
  retryAfterSeconds = MIN_RETRY_AFTER_S,
): SpoolgateError {
  if (mayHaveRun) return createOutcomeUnknownError('the backend server broke off')
  const message = 'no backend server takes it now; try again'
  return new SpoolgateError('noBackendServer', message, { retryAfterSeconds })
}

/** Creates the answer for a request under which backend servers ended, and which is refused for so many ms. */
export function createQuarantineError(leftMs: number): SpoolgateError {
  const message =
    'backend servers ended under this request; change it, or have your operator look at them'
  return new SpoolgateError('quarantined', message, {
    retryAfterSeconds: Math.ceil(leftMs / MS_PER_S),
  })
}

/** Creates the answer for a request whose time is over. */
export function createTimeoutError(mayHaveRun: boolean): SpoolgateError {
  if (mayHaveRun) {
    return new SpoolgateError('timedOut', 'no answer in time; it is not known whether it ran')
  }
  return new SpoolgateError('deadlineUnreachable', 'no backend server took it in time; try again', {
    retryAfterSeconds: MIN_RETRY_AFTER_S,
  })
}
