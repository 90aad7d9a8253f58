/** How one send to a backend server ends, and reading its answer to that end. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { readAnswerBody, sendWholeAnswer, type StreamRelay } from './answerRelay.js'
import type { HeaderList, BackoffSignal } from './protocols.js'
import type { CallOutcome } from './serverStats.js'

/** A send that was given up on because its server seems to be dead; it may have run. */
export interface Abandoned {
  readonly kind: 'abandoned'
  readonly reason: string
}

/** The server promises that it did not run the request. */
export interface NotRun {
  readonly kind: 'notRun'
  readonly reason: string
  /** Weights version that the server named. */
  readonly version: number | undefined
  readonly backoff: BackoffSignal | undefined
}

/** The server ran the request and failed; its own answer may be passed on. */
export interface Failed {
  readonly kind: 'failed'
  readonly status: number
  readonly reason: string
  readonly pass: () => void
}

/** How one send ended. */
export type SendEnd =
  | Abandoned
  | NotRun
  | Failed
  /** The whole answer was passed on. */
  | { readonly kind: 'answered'; readonly status: number }
  /** The server does not know of the request: no connection came up. */
  | { readonly kind: 'notSent'; readonly reason: string }
  /** The time is over, or this router may no longer trust what it holds; no byte was sent. */
  | { readonly kind: 'forbidden'; readonly reason: string }
  /** Nobody knows whether the request ran, or its stream broke off. */
  | { readonly kind: 'lost'; readonly reason: string }

/** What the end of a send says of its server. */
export const CALL_OUTCOMES: Readonly<Record<SendEnd['kind'], CallOutcome>> = {
  answered: 'ok',
  notSent: 'none',
  forbidden: 'none',
  notRun: 'none',
  failed: 'failed',
  lost: 'failed',
  abandoned: 'none',
}

/** Statuses that promise callers that nothing ran; only a server's own promise may use them. */
export const PROMISING_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])
const CLIENT_ERRORS_FROM = 400
const SERVER_ERRORS_FROM = 500
const EVENT_STREAM = 'text/event-stream'

/** Options of {@link relayAnswer}. */
export interface RelayAnswerOptions {
  readonly message: IncomingMessage
  readonly headers: HeaderList
  readonly response: ServerResponse
  readonly relay: StreamRelay
  /** Whether the request had its final answer in the meantime. */
  readonly isOver: () => boolean
}

/** Passes an answer on to the caller; failures are handed back instead. */
export async function relayAnswer(options: RelayAnswerOptions): Promise<SendEnd> {
  const { message, headers, response, relay, isOver } = options
  const status = message.statusCode ?? 0
  const isStream = (message.headers['content-type'] ?? '').startsWith(EVENT_STREAM)
  if (isStream && status < CLIENT_ERRORS_FROM) {
    const end = await relay.relay(message, headers)
    if (end === 'broken') return { kind: 'lost', reason: 'the stream broke off' }
    if (!isOver()) relay.finish()
    return { kind: 'answered', status }
  }
  const body = await readAnswerBody(message)
  if (!body) return { kind: 'lost', reason: 'the answer broke off' }
  const pass = () => sendWholeAnswer(response, status, headers, body)
  if (status >= SERVER_ERRORS_FROM || PROMISING_STATUSES.has(status)) {
    return { kind: 'failed', status, reason: `status ${status}`, pass }
  }
  if (!isOver()) pass()
  return { kind: 'answered', status }
}
