/**
 * Protocol adapters of the direct path, which a deployment supplies: decoding and rejecting callers' requests, and
 * talking to backend servers without a sidecar.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { RegisteredServer } from '@spoolgate/control'
import type { SpoolgateError, TeamId } from '@spoolgate/core'

/** Header fields in the order in which they are sent. */
export type HeaderList = readonly (readonly [name: string, value: string])[]

/** A part of a prompt as the caller identifies it. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** Description of a generation request. */
export interface PromptInfo {
  readonly model: string
  /** Parts in order; the last is specific to the request. */
  readonly parts: readonly PromptPart[]
  readonly promptTokens: number
  /** Upper bound on the generated tokens. */
  readonly maxTokens: number
}

/** A caller's request without its body. */
export interface DirectCall {
  readonly id: string
  readonly method: string
  readonly host: string
  /** Path and query as they were sent. */
  readonly target: string
  readonly key: string | undefined
  /** How long the caller waits, in ms; undefined if it does not say. */
  readonly waitMs: number | undefined
  /** Input tokens plus the maximum output tokens as the caller declares them; undefined if it does not. */
  readonly tokenCount: number | 'unreadable' | undefined
  /** Undefined for requests to plain services. */
  readonly prompt: PromptInfo | undefined
  /** ID of the event after which the caller resumes a stream. */
  readonly lastEventId: string | undefined
  /** ID of the request whose response contained the first event of the stream that is resumed. */
  readonly resumes: string | undefined
  /** Header fields that are forwarded to the backend server. */
  readonly headers: HeaderList
}

/** Protocol between callers and the router. */
export interface CallerProtocol {
  /**
   * Decodes the head of a request.
   * @throws SpoolgateError `invalidRequest`.
   */
  decodeCall(request: IncomingMessage): DirectCall
  /** Sends the error response of a request that was refused or failed. */
  sendRefusal(response: ServerResponse, call: DirectCall | undefined, error: SpoolgateError): void
}

/** A request to a backend server, with what the router adds to the caller's own header fields. */
export interface BackendRequest {
  readonly call: DirectCall
  readonly server: RegisteredServer
  readonly team: TeamId | undefined
  readonly bodyBytes: number
  /** Time after which the server may abandon the request, in ms. */
  readonly leftMs: number
  /** Scheduling priority; 0 is the most urgent. */
  readonly priority: number
  /** Scope within which cached prompt parts are shared; undefined for plain services. */
  readonly cacheScope: string | undefined
  /** Weights version that must serve the request; undefined for plain services. */
  readonly weightsVersion: number | undefined
  /** Address of a server or store that may have parts of the prompt cached; undefined for none. */
  readonly fetchFrom: string | undefined
  /** Address of a store to which the shared parts should be saved after prefill; undefined for none. */
  readonly saveTo: string | undefined
  /** ID of the event after which an interrupted stream resumes. */
  readonly lastEventId: string | undefined
}

/** Backoff that a server requests when it rejects a request. */
export type BackoffSignal =
  /** The server asks this router to send no requests for so many ms. */
  | { readonly kind: 'asked'; readonly ms: number }
  | { readonly kind: 'unreadable'; readonly text: string }

/** Rate limit that a server states in a response. */
export type LimitSignal =
  /** Requests per second that the server accepts from all routers together. */
  | { readonly kind: 'named'; readonly perSecond: number }
  | { readonly kind: 'none' }
  | { readonly kind: 'unreadable'; readonly text: string }

/** Signals in the head of a backend server's response. */
export interface ResponseHead {
  /** Whether the server guarantees that it did not run the request. */
  readonly isNotExecuted: boolean
  /** Whether the response provably comes from the server itself and belongs to this request. */
  readonly isAuthentic: boolean
  /** Whether another incarnation of the server responded, or one with other weights. */
  readonly isOtherServer: boolean
  /** Undefined if the server requests no backoff. */
  readonly backoff: BackoffSignal | undefined
  /** Undefined if the response says nothing about a limit. */
  readonly limit: LimitSignal | undefined
  /** Whether the server announces that it is shutting down. */
  readonly isLeaving: boolean
  /** Weights version of the server; undefined if not stated. */
  readonly weightsVersion: number | undefined
}

/** Protocol between the router and backend servers. */
export interface BackendProtocol {
  /** Encodes the header fields of a request. */
  encodeHeaders(request: BackendRequest): HeaderList
  /** Decodes the head of a response. */
  decodeHead(message: IncomingMessage, call: DirectCall): ResponseHead
  /** Lists the header fields of a response that are forwarded to the caller. */
  listAnswerHeaders(message: IncomingMessage): HeaderList
}
