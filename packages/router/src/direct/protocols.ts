/**
 * What the direct path asks of a deployment's way of speaking: how callers' requests are read and
 * answered, and how backend servers are spoken to without a sidecar between.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { RegisteredServer } from '@spoolgate/control'
import type { SpoolgateError, TeamId } from '@spoolgate/core'

/** Header fields in the order in which they are sent. */
export type HeaderList = readonly (readonly [name: string, value: string])[]

/** A part of a prompt as the caller names it. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** What a generation request says of itself. */
export interface PromptInfo {
  readonly model: string
  /** Parts in order; the last belongs to the request itself. */
  readonly parts: readonly PromptPart[]
  readonly promptTokens: number
  /** Most tokens that may be generated. */
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
  /** How long the caller waits, in ms; undefined where it does not say. */
  readonly waitMs: number | undefined
  /** Tokens in and the most that come out, as the caller counts them; undefined where it does not. */
  readonly tokenCount: number | 'unreadable' | undefined
  /** Undefined for requests to plain services. */
  readonly prompt: PromptInfo | undefined
  /** Event after which the caller wants a stream to go on. */
  readonly lastEventId: string | undefined
  /** Fields that are passed on to the backend server. */
  readonly headers: HeaderList
}

/** How callers speak. */
export interface CallerProtocol {
  /**
   * Decodes the head of a request.
   * @throws SpoolgateError `invalidRequest`.
   */
  decodeCall(request: IncomingMessage): DirectCall
  /** Answers that the request is refused, or what became of it. */
  sendRefusal(response: ServerResponse, call: DirectCall | undefined, error: SpoolgateError): void
}

/** Everything that a send to a backend server carries beside the caller's own fields. */
export interface BackendRequest {
  readonly call: DirectCall
  readonly server: RegisteredServer
  readonly team: TeamId | undefined
  readonly bodyBytes: number
  /** Time after which the server may stop working, in ms. */
  readonly leftMs: number
  /** Rank among requests; 0 is the most urgent. */
  readonly priority: number
  /** What cached prompt parts must share; undefined for plain services. */
  readonly cacheScope: string | undefined
  /** Weights version that must serve the request; undefined for plain services. */
  readonly weightsVersion: number | undefined
  /** Address of another server that may hold cached parts of the prompt; undefined for none. */
  readonly fetchFrom: string | undefined
  /** Address of a store that should get the parts once they are read; undefined for none. */
  readonly saveTo: string | undefined
  /** Event after which a broken stream goes on. */
  readonly lastEventId: string | undefined
}

/** What a server that turns a request away says of when it takes some again. */
export type BackoffSignal =
  /** It wants nothing from this router for so many ms. */
  | { readonly kind: 'asked'; readonly ms: number }
  | { readonly kind: 'unreadable'; readonly text: string }

/** Rate limit that a server names in an answer. */
export type LimitSignal =
  /** Requests a second that it takes from all routers together. */
  | { readonly kind: 'named'; readonly perSecond: number }
  | { readonly kind: 'none' }
  | { readonly kind: 'unreadable'; readonly text: string }

/** What the head of a backend server's answer says. */
export interface ResponseHead {
  /** Whether the server promises that it did not run the request. */
  readonly isNotExecuted: boolean
  /** Whether the answer is the server's own and belongs to this request. */
  readonly isAuthentic: boolean
  /** Whether another incarnation answered, or one with other weights. */
  readonly isOtherServer: boolean
  /** Undefined where the server does not ask for rest. */
  readonly backoff: BackoffSignal | undefined
  /** Undefined where the answer shows nothing of a limit. */
  readonly limit: LimitSignal | undefined
  /** Whether the server says that it is about to end. */
  readonly isLeaving: boolean
  /** Weights version of the server; undefined where it does not say. */
  readonly weightsVersion: number | undefined
}

/** How backend servers are spoken to. */
export interface BackendProtocol {
  /** Encodes the header of a send. */
  encodeHeaders(send: BackendRequest): HeaderList
  /** Decodes the head of an answer. */
  decodeHead(message: IncomingMessage, call: DirectCall): ResponseHead
  /** Lists the fields of an answer that are passed on to the caller. */
  listAnswerHeaders(message: IncomingMessage): HeaderList
}
