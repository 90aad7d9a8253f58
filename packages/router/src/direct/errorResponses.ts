/** Error responses for requests that no backend server answered, and their Retry-After. */
import { SpoolgateError, type RandomSource } from '@spoolgate/core'

/** Lower bound on Retry-After, in s; also the default when no end of the unavailability is known. */
export const MIN_RETRY_AFTER_S = 0.15
/** Upper bound on the Retry-After of a request that cannot be served before its deadline, in ms. */
const MAX_RETRY_AFTER_MS = 1_000
/** Jitter added to a Retry-After, as a fraction of it. */
const RETRY_AFTER_JITTER = 0.25
const MS_PER_S = 1_000

/**
 * Returns the Retry-After in seconds for a request whose response would not start before its deadline, or undefined
 * if it should be served now. Rejecting such requests immediately leaves the engines to requests that can be served.
 */
export function findRetryAfterSeconds(expectedMs: number, leftMs: number): number | undefined {
  if (expectedMs <= leftMs) return undefined
  const delayMs = Math.min(MAX_RETRY_AFTER_MS, expectedMs - leftMs)
  return Math.max(MIN_RETRY_AFTER_S, delayMs / MS_PER_S)
}

/**
 * Returns a Retry-After in seconds with random jitter for a request that no server accepts for `retryAfterMs`. Without
 * jitter all callers would retry at once when the backoff of the servers ends.
 */
export function drawRetryAfterSeconds(retryAfterMs: number, random: RandomSource): number {
  if (retryAfterMs <= 0) return MIN_RETRY_AFTER_S
  const jitterMs = Math.max(MIN_RETRY_AFTER_S * MS_PER_S, retryAfterMs * RETRY_AFTER_JITTER)
  return Math.ceil(retryAfterMs + random.next() * jitterMs) / MS_PER_S
}

/** Creates the error response for a request whose outcome is unknown. */
export function createOutcomeUnknownError(message: string): SpoolgateError {
  return new SpoolgateError('outcomeUnknown', message)
}

/** Creates the error response for a request that no server accepts now; the outcome is unknown if it may have run. */
export function createUnavailableError(
  mayHaveRun: boolean,
  retryAfterSeconds = MIN_RETRY_AFTER_S,
): SpoolgateError {
  if (mayHaveRun) return createOutcomeUnknownError('lost the connection to the backend server')
  const message = 'no backend server can accept the request at the moment; try again'
  return new SpoolgateError('noBackendServer', message, { retryAfterSeconds })
}

/** Creates the error response for a request quarantined for `leftMs` because backend servers crashed under it. */
export function createQuarantineError(leftMs: number): SpoolgateError {
  const message =
    'backend servers crashed while running this request; change it, or contact your operator'
  return new SpoolgateError('quarantined', message, {
    retryAfterSeconds: Math.ceil(leftMs / MS_PER_S),
  })
}

/** Creates the error response for a request with a part of its prompt that is quarantined for `leftMs`. */
export function createPartQuarantineError(leftMs: number): SpoolgateError {
  const message =
    'backend servers crashed while running requests that share a part of this prompt; change it, or contact your operator'
  return new SpoolgateError('quarantined', message, {
    retryAfterSeconds: Math.ceil(leftMs / MS_PER_S),
  })
}

/** Creates the error response for a request whose deadline has passed. */
export function createTimeoutError(mayHaveRun: boolean): SpoolgateError {
  if (mayHaveRun) {
    return new SpoolgateError(
      'timedOut',
      'no response before the deadline; the request may have run',
    )
  }
  return new SpoolgateError(
    'deadlineUnreachable',
    'no backend server accepted the request in time; try again',
    {
      retryAfterSeconds: MIN_RETRY_AFTER_S,
    },
  )
}
