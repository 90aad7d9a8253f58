/** The messages between router and sidecar: HTTP headers with JSON, and the frames of an answer. */
import type {
  AttemptNumber,
  ConfigVersion,
  Incarnation,
  RequestId,
  TeamId,
  WeightsVersion,
} from '@spoolgate/core'

/** Header with the {@link CallHeader} of a request to a sidecar. */
export const CALL_HEADER = 'x-spoolgate-call'
/** Header with the reply hints of an answer. */
export const HINTS_HEADER = 'x-spoolgate-hints'

/** One dispatch of an unrepeatable request, as its claim names it. */
export interface Dispatch {
  readonly claim: string
  /** Number of the dispatch within the claim, from 1. */
  readonly number: number
  /** The only incarnation of the sidecar that may run it. */
  readonly incarnation: Incarnation
}

/** What a router sends to a sidecar about a call, next to the caller's own body. */
export interface CallHeader {
  readonly request: RequestId
  readonly attempt: AttemptNumber
  readonly team: TeamId
  /** Cache scope; empty for plain services. */
  readonly scope: string
  /** Weights that may answer; undefined for plain services. */
  readonly weightsVersion?: WeightsVersion
  readonly configVersion: ConfigVersion
  readonly method: string
  readonly path: string
  readonly contentType: string
  /** 0 is the most urgent. */
  readonly priority: number
  /** Weight of the team in the fair queue. */
  readonly share: number
  /** Milliseconds that the caller still waits for the first token; undefined for no deadline. */
  readonly deadlineMs?: number
  /**
   * Longest expected time to the first token, in ms, for which this backend server is still the
   * best choice as the router sees it; undefined claims at any length.
   */
  readonly acceptMs?: number
  /** Text that an earlier attempt already delivered, to go on from. */
  readonly hasResumeText?: boolean
  readonly dispatch?: Dispatch
}

/** Why a sidecar declined a call. A decline is a promise that the call was not run. */
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

/** Body of a decline, with status 409. */
export interface Decline {
  readonly declined: DeclineReason
  /** Milliseconds after which it may go better; undefined when unknown. */
  readonly retryAfterMs?: number
}

/** Names of the events of an answer's frames; a frame without one carries an event of the stream. */
export const FRAME_EVENTS = { head: 'head', body: 'body', end: 'end' } as const

/** First frame: status and headers of the answer. */
export interface HeadFrame {
  readonly status: number
  readonly contentType: string
}

/** Frame with a whole body; text where it is valid UTF-8, base64 otherwise. */
export interface BodyFrame {
  readonly text?: string
  readonly base64?: string
}

/** Last frame of an attempt. */
export interface EndFrame {
  readonly outcome: 'finished' | 'failed'
  /** Why it failed. */
  readonly reason?: string
  /** True when no byte of the call reached the backend server. */
  readonly notRun?: boolean
}

/** Answer to a question about one dispatch. */
export type DispatchState =
  | { readonly state: 'running' }
  | { readonly state: 'finished' }
  | { readonly state: 'barred' }
  | { readonly state: 'failed'; readonly notRun: boolean }
  | { readonly state: 'otherIncarnation' }

/** Formats one frame; `data` must not hold a line break. */
export function formatFrame(sequence: number, event: string | undefined, data: string): string {
  if (event === undefined) return `id: ${sequence}\ndata: ${data}\n\n`
  return `id: ${sequence}\nevent: ${event}\ndata: ${data}\n\n`
}
