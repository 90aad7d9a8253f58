/** Outcomes of one attempt at a backend server, and the relay of its response up to that outcome. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { RegisteredServer } from '@spoolgate/control'
import { isFramed } from '@spoolgate/core'
import {
  readResponseBody,
  relayLongBody,
  sendBufferedResponse,
  type BodyMemory,
  type StreamRelay,
} from './responseRelay.js'
import type { BrokenResponse } from './responseCut.js'
import type { HeaderList, BackoffSignal } from './protocols.js'
import type { CallOutcome } from './serverStats.js'

/** The attempt was abandoned because its server or its connection seems to be dead; the request may have run. */
export interface AbandonedOutcome {
  readonly kind: 'abandoned'
  readonly reason: string
}

/** The server promises that it did not run the request. */
export interface NotRunOutcome {
  readonly kind: 'notRun'
  readonly reason: string
  /** Weights version reported by the server. */
  readonly version: number | undefined
  readonly backoff: BackoffSignal | undefined
}

/** The server ran the request and failed; its own response may be forwarded. */
export interface FailedOutcome {
  readonly kind: 'failed'
  readonly status: number
  readonly reason: string
  readonly forward: () => void
}

/** The whole response was forwarded. */
export interface AnsweredOutcome {
  readonly kind: 'answered'
  readonly status: number
  /** Whether its length or its chunks show where it ends. */
  readonly isFramed: boolean
}

/** How one attempt ended. */
export type AttemptOutcome =
  | AnsweredOutcome
  | AbandonedOutcome
  | NotRunOutcome
  | FailedOutcome
  /** The server received nothing: no connection was established. */
  | { readonly kind: 'notSent'; readonly reason: string }
  /** The weights of the server expired before a byte was sent. */
  | { readonly kind: 'withheld'; readonly reason: string }
  /** The weights of the server expired before its response began; the request may have run. */
  | { readonly kind: 'withdrawn'; readonly reason: string }
  /** No byte was sent: the deadline has passed, the caller has disconnected, or the routing table is too old. */
  | { readonly kind: 'forbidden'; readonly reason: string }
  /** It is unknown whether the request ran, or its stream broke off. */
  | (BrokenResponse & { readonly kind: 'lost' })
  /** A response that was too long to be held broke off while it was relayed. */
  | (BrokenResponse & { readonly kind: 'cut' })

/** What each outcome says about its server. */
export const SERVER_OUTCOMES: Readonly<Record<AttemptOutcome['kind'], CallOutcome>> = {
  answered: 'ok',
  notSent: 'none',
  forbidden: 'none',
  withheld: 'none',
  withdrawn: 'none',
  notRun: 'none',
  failed: 'failed',
  lost: 'failed',
  cut: 'failed',
  abandoned: 'none',
}

/** Outcomes of attempts that no server has started to process. */
export const NOT_STARTED_OUTCOMES: ReadonlySet<AttemptOutcome['kind']> = new Set([
  'notSent',
  'forbidden',
  'withheld',
  'notRun',
])

/** Outcomes of attempts whose connection was lost. */
export const CONNECTION_LOSSES: ReadonlySet<AttemptOutcome['kind']> = new Set([
  'lost',
  'cut',
  'abandoned',
])

/** Statuses that tell callers that the request was not run; forwarded only when the server itself guarantees that. */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])
/** Lowest status of an error response. */
export const MIN_CLIENT_ERROR_STATUS = 400
const MIN_SERVER_ERROR_STATUS = 500
const EVENT_STREAM_TYPE = 'text/event-stream'

const FINISHED: BrokenResponse = { reason: 'the request ended before its response' }

/** Options of {@link relayResponse}. */
export interface RelayResponseOptions {
  readonly message: IncomingMessage
  /** Server that sent the message. */
  readonly server: RegisteredServer
  readonly headers: HeaderList
  readonly response: ServerResponse
  readonly relay: StreamRelay
  readonly memory: BodyMemory
  /** Whether the request has been completed in the meantime. */
  readonly isFinished: () => boolean
}

/** Relays a response to the caller; failures are returned instead. */
export async function relayResponse(options: RelayResponseOptions): Promise<AttemptOutcome> {
  const { message, server, headers, relay, isFinished } = options
  const status = message.statusCode ?? 0
  const isStream = (message.headers['content-type'] ?? '').startsWith(EVENT_STREAM_TYPE)
  if (!isStream || status >= MIN_CLIENT_ERROR_STATUS) return relayBody(options, status)
  const broken = await relay.relay(message, headers, server)
  if (broken) return { kind: 'lost', ...broken }
  if (!isFinished()) relay.finish()
  return { kind: 'answered', status, isFramed: isFramed(message) }
}

/** Relays a response that is not a stream: once it is whole, or as it arrives if it is too long for that. */
async function relayBody(options: RelayResponseOptions, status: number): Promise<AttemptOutcome> {
  const { message, headers, response, memory, isFinished } = options
  const isFailure = status >= MIN_SERVER_ERROR_STATUS || NOT_RUN_STATUSES.has(status)
  if (!isFailure && Number(message.headers['content-length'] ?? 0) > memory.maxBytes) {
    const broken = isFinished() ? FINISHED : await relayLongBody(message, headers, response)
    return broken ? { kind: 'cut', ...broken } : { kind: 'answered', status, isFramed: true }
  }
  const read = await readResponseBody(message, memory)
  if (read.kind === 'broken') return { ...read, kind: 'lost' }
  const forward = () => {
    const allowEviction = () => memory.hold.setEviction(() => response.destroy())
    sendBufferedResponse(response, message, headers, read.body)
    // A response behind another one of its connection waits for that one, not for its caller.
    if (response.socket === null) response.once('socket', allowEviction)
    else allowEviction()
  }
  if (isFailure) return { kind: 'failed', status, reason: `status ${status}`, forward }
  if (!isFinished()) forward()
  return { kind: 'answered', status, isFramed: isFramed(message) }
}
