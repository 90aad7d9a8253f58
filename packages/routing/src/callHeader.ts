/** Messages between router and sidecar: HTTP headers that contain JSON, and the server-sent events of a response. */
import type {
  AttemptNumber,
  ConfigVersion,
  Incarnation,
  RequestId,
  TeamId,
  WeightsVersion,
} from '@spoolgate/core'
import type { ReplyHints } from './hints.js'

/** Request header that contains the {@link CallHeader}. */
export const CALL_HEADER = 'x-spoolgate-call'
/** Response header that contains the reply hints. */
export const HINTS_HEADER = 'x-spoolgate-hints'

/** Identifies one dispatch of an unrepeatable request under its claim. */
export interface Dispatch {
  readonly claim: string
  /** Sequence number of the dispatch within the claim, from 1. */
  readonly number: number
  /** The only incarnation of the sidecar that may run it. */
  readonly incarnation: Incarnation
}

/** Metadata of a call that a router sends to a sidecar along with the caller's request body. */
export interface CallHeader {
  readonly request: RequestId
  readonly attempt: AttemptNumber
  readonly team: TeamId
  /** Cache scope; empty for plain services. */
  readonly scope: string
  /** Weights version that must run the call; undefined for plain services. */
  readonly weightsVersion?: WeightsVersion
  readonly configVersion: ConfigVersion
  readonly method: string
  readonly path: string
  readonly contentType: string
  /** 0 is the most urgent. */
  readonly priority: number
  /** Weight of the team in the fair queue. */
  readonly share: number
  /** Time that the caller still waits for the first token, in ms; undefined for no deadline. */
  readonly deadlineMs?: number
  /**
   * Longest expected time to the first token, in ms, at which the router still considers this backend server the best
   * choice; the sidecar declines the call above it. Undefined for no limit.
   */
  readonly acceptMs?: number
  /** Whether the body includes text that an earlier attempt already delivered, from which generation resumes. */
  readonly hasResumeText?: boolean
  readonly dispatch?: Dispatch
}

/** Why a sidecar declined a call. A decline guarantees that the call was not run. */
export type DeclineReason =
  | 'leaving'
  | 'notReady'
  | 'olderConfiguration'
  | 'wrongIncarnation'
  | 'wrongWeights'
  | 'wrongScope'
  | 'queueFull'
  | 'deadlineUnreachable'
  | 'longerThanExpected'
  | 'dispatchBarred'

/** Response body of a declined call, sent with status 409. */
export interface Decline {
  readonly declined: DeclineReason
  /** Time after which a retry may succeed, in ms; undefined when unknown. */
  readonly retryAfterMs?: number
}

/** Event names of the frames of a response; a frame without a name contains an event of the backend server's stream. */
export const FRAME_EVENTS = { head: 'head', body: 'body', end: 'end' } as const

/** First frame of a response: its status and content type. */
export interface HeadFrame {
  readonly status: number
  readonly contentType: string
}

/** Frame with a complete body: `text` if it is valid UTF-8, `base64` otherwise. */
export interface BodyFrame {
  readonly text?: string
  readonly base64?: string
}

/** Last frame of an attempt. */
export interface EndFrame {
  readonly outcome: 'finished' | 'failed'
  /** Why the attempt failed. */
  readonly reason?: string
  /** Whether no byte of the call reached the backend server. */
  readonly notRun?: boolean
  /** Set if the sidecar declined the call when its turn came, with the hints of that moment. */
  readonly declined?: { readonly decline: Decline; readonly hints: ReplyHints }
}

/** State of one dispatch, as the sidecar reports it on request. */
export type DispatchState =
  | { readonly state: 'running' }
  | { readonly state: 'finished' }
  | { readonly state: 'barred' }
  | { readonly state: 'failed'; readonly notRun: boolean }
  | { readonly state: 'otherIncarnation' }

/** Formats one frame as a server-sent event; `data` must not contain a line break. */
export function formatFrame(sequence: number, event: string | undefined, data: string): string {
  if (event === undefined) return `id: ${sequence}\ndata: ${data}\n\n`
  return `id: ${sequence}\nevent: ${event}\ndata: ${data}\n\n`
}
