/** How one send to a backend server ends, and reading its answer to that end. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { readResponseBody, sendBufferedResponse, type StreamRelay } from './responseRelay.js'
import type { HeaderList, BackoffSignal } from './dialects.js'
import type { CallOutcome } from './serverBoard.js'

/** A send that was given up on because its server seems to be dead; it may have run. */
export interface AbandonedOutcome {
  readonly kind: 'abandoned'
  readonly reason: string
}

/** The server promises that it did not run the request. */
export interface NotRunOutcome {
  readonly kind: 'notRun'
  readonly reason: string
  /** Weights version that the server named. */
  readonly version: number | undefined
  readonly backoff: BackoffSignal | undefined
}

/** The server ran the request and failed; its own answer may be passed on. */
export interface FailedOutcome {
  readonly kind: 'failed'
  readonly status: number
  readonly reason: string
  readonly forward: () => void
}

/** How one send ended. */
export type AttemptOutcome =
  | AbandonedOutcome
  | NotRunOutcome
  | FailedOutcome
  /** The whole answer was passed on. */
  | { readonly kind: 'answered'; readonly status: number }
  /** The server does not know of the request: no connection came up. */
  | { readonly kind: 'notSent'; readonly reason: string }
  /** The time is over, or this router may no longer trust what it holds; no byte was sent. */
  | { readonly kind: 'forbidden'; readonly reason: string }
  /** Nobody knows whether the request ran, or its stream broke off. */
  | { readonly kind: 'lost'; readonly reason: string }

/** What the end of a send says of its server. */
export const SERVER_OUTCOMES: Readonly<Record<AttemptOutcome['kind'], CallOutcome>> = {
  answered: 'ok',
  notSent: 'none',
  forbidden: 'none',
  notRun: 'none',
  failed: 'failed',
  lost: 'failed',
  abandoned: 'none',
}

/** Statuses that promise callers that nothing ran; only a server's own promise may use them. */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])
const MIN_CLIENT_ERROR_STATUS = 400
const MIN_SERVER_ERROR_STATUS = 500
const EVENT_STREAM_TYPE = 'text/event-stream'

/** Options of {@link relayResponse}. */
export interface RelayResponseOptions {
  readonly message: IncomingMessage
  readonly headers: HeaderList
  readonly response: ServerResponse
  readonly relay: StreamRelay
  /** Whether the request had its final answer in the meantime. */
  readonly isFinished: () => boolean
}

/** Passes an answer on to the caller; failures are handed back instead. */
export async function relayResponse(options: RelayResponseOptions): Promise<AttemptOutcome> {
  const { message, headers, response, relay, isFinished: isOver } = options
  const status = message.statusCode ?? 0
  const isStream = (message.headers['content-type'] ?? '').startsWith(EVENT_STREAM_TYPE)
  if (isStream && status < MIN_CLIENT_ERROR_STATUS) {
    const bodyResult = await relay.relay(message, headers)
    if (bodyResult === 'broken') return { kind: 'lost', reason: 'the stream broke off' }
    if (!isOver()) relay.finish()
    return { kind: 'answered', status }
  }
  const body = await readResponseBody(message)
  if (!body) return { kind: 'lost', reason: 'the answer broke off' }
  const forward = () => sendBufferedResponse(response, status, headers, body)
  if (status >= MIN_SERVER_ERROR_STATUS || NOT_RUN_STATUSES.has(status)) {
    return { kind: 'failed', status, reason: `status ${status}`, forward: forward }
  }
  if (!isOver()) forward()
  return { kind: 'answered', status }
}
