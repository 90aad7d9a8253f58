/**
 * One attempt: sends a call to a sidecar and reads the response, reconnecting when a connection
 * breaks.
 */
import type { IncomingMessage } from 'node:http'
import {
  ConnectionError,
  BODY_LIMITS,
  readErrorAnswer,
  readJson,
  toSpoolgateError,
  waitFor,
  type HttpClient,
  type Invariants,
  type Logger,
  type SpoolgateError,
  type TimerService,
} from '@spoolgate/core'
import {
  CALL_HEADER,
  HINTS_HEADER,
  type CallHeader,
  type Decline,
  type ReplyHints,
} from '@spoolgate/routing'
import {
  createFrameCursor,
  readFrames,
  type ResponseSink,
  type FrameCursor,
} from './frameReader.js'

/** Dependencies of every attempt. */
export interface AttemptDependencies {
  readonly client: HttpClient
  readonly timers: TimerService
  readonly logger: Logger
  readonly invariants: Invariants
}

/** Input of {@link runAttempt}. */
export interface AttemptRequest {
  readonly sidecarUrl: string
  readonly header: CallHeader
  readonly body: Buffer
  readonly sink: ResponseSink
  /** Aborted when the caller disconnects or the first token takes too long. */
  readonly signal: AbortSignal
  /** Called with the hints of the sidecar when it accepts the call. */
  readonly onClaim: (hints: ReplyHints) => void
}

/** Result of an attempt. */
export type AttemptResult =
  | { readonly kind: 'finished' }
  | { readonly kind: 'declined'; readonly decline: Decline; readonly hints: ReplyHints }
  /** The backend server failed; `notRun` if it received no byte of the call. */
  | { readonly kind: 'failed'; readonly reason: string; readonly notRun: boolean }
  /** The sidecar cannot be reached; `notRun` if it received no byte of the call. */
  | { readonly kind: 'lost'; readonly reason: string; readonly notRun: boolean }
  | { readonly kind: 'cancelled' }

/** Consecutive reconnects without a new frame after which the sidecar counts as unreachable. */
const MAX_RESUME_TRIES = 4
const RESUME_DELAY_MS = 50
const RESUME_TIMEOUT_MS = 1_000
const DECLINED_STATUS = 409
const CANCEL_TIMEOUT_MS = 2_000

function parseHints(message: IncomingMessage): ReplyHints {
  return JSON.parse(String(message.headers[HINTS_HEADER])) as ReplyHints
}

function formatCallUrl(sidecarUrl: string, header: CallHeader): string {
  return `${sidecarUrl}/calls/${header.request}/${header.attempt}`
}

/** Frees the engine slot of an abandoned attempt, without waiting; failures are only logged. */
export function cancelAttempt(
  deps: AttemptDependencies,
  sidecarUrl: string,
  header: CallHeader,
): void {
  const url = formatCallUrl(sidecarUrl, header)
  deps.client
    .sendJson({ method: 'DELETE', url, timeoutMs: CANCEL_TIMEOUT_MS })
    .catch(() => deps.logger.debug('attempt.cancelUnanswered', { request: header.request }))
}

function toAttemptResult(cursor: FrameCursor): AttemptResult | undefined {
  const { end } = cursor
  if (!end) return undefined
  if (end.outcome === 'finished') return { kind: 'finished' }
  if (end.declined) return { kind: 'declined', ...end.declined }
  return { kind: 'failed', reason: end.reason ?? 'unknown', notRun: end.notRun ?? false }
}

async function resumeOnce(
  deps: AttemptDependencies,
  request: AttemptRequest,
  cursor: FrameCursor,
): Promise<SpoolgateError | undefined> {
  const message = await deps.client.send({
    method: 'GET',
    url: formatCallUrl(request.sidecarUrl, request.header),
    headers: { 'last-event-id': String(cursor.sequence) },
    signal: request.signal,
    timeoutMs: RESUME_TIMEOUT_MS,
  })
  if ((message.statusCode ?? 0) !== 200) return readErrorAnswer(message)
  await readFrames(message, cursor, request.sink, deps.invariants)
  return undefined
}

/** Resumes reading after a broken connection until the response ends or the reconnects are used up. */
export async function resumeAttempt(
  deps: AttemptDependencies,
  request: AttemptRequest,
  cursor: FrameCursor = createFrameCursor(),
): Promise<AttemptResult> {
  for (let tries = 0; tries < MAX_RESUME_TRIES && !request.signal.aborted; tries += 1) {
    if (tries > 0) await waitFor(deps.timers, RESUME_DELAY_MS * 2 ** tries, request.signal)
    const previousSequence = cursor.sequence
    try {
      const error = await resumeOnce(deps, request, cursor)
      if (error) return { kind: 'lost', reason: error.message, notRun: false }
    } catch (cause) {
      if (!(cause instanceof ConnectionError)) throw cause
    }
    const result = toAttemptResult(cursor)
    if (result) return result
    if (cursor.sequence > previousSequence) tries = 0
  }
  if (request.signal.aborted) return { kind: 'cancelled' }
  return { kind: 'lost', reason: 'sidecar does not respond', notRun: false }
}

async function sendCall(
  deps: AttemptDependencies,
  request: AttemptRequest,
): Promise<IncomingMessage | AttemptResult> {
  const { header, body, sidecarUrl, signal } = request
  try {
    return await deps.client.send({
      method: 'POST',
      url: `${sidecarUrl}/calls`,
      headers: {
        [CALL_HEADER]: JSON.stringify(header),
        'content-type': 'application/octet-stream',
      },
      body,
      signal,
    })
  } catch (cause) {
    if (!(cause instanceof ConnectionError)) throw cause
    if (signal.aborted) return { kind: 'cancelled' }
    return { kind: 'lost', reason: cause.message, notRun: cause.neverSent }
  }
}

/** Reads why a sidecar declined a call; only a decline has its head, so that the call did not start whatever its body. */
async function readDecline(response: IncomingMessage): Promise<AttemptResult> {
  try {
    const decline = (await readJson(response, BODY_LIMITS.message)) as Decline
    return { kind: 'declined', decline, hints: parseHints(response) }
  } catch (cause) {
    return { kind: 'lost', reason: toSpoolgateError(cause).message, notRun: true }
  }
}

/** Runs one attempt to its end; cancels it at the sidecar if the signal aborts. */
export async function runAttempt(
  deps: AttemptDependencies,
  request: AttemptRequest,
): Promise<AttemptResult> {
  const { header, sidecarUrl, signal } = request
  const response = await sendCall(deps, request)
  if ('kind' in response) {
    if (response.kind === 'cancelled') cancelAttempt(deps, sidecarUrl, header)
    return response
  }
  if (response.statusCode === DECLINED_STATUS && HINTS_HEADER in response.headers)
    return readDecline(response)
  if (response.statusCode !== 200) {
    const error = await readErrorAnswer(response)
    return { kind: 'failed', reason: error.message, notRun: error.notRun }
  }
  request.onClaim(parseHints(response))
  const cursor = createFrameCursor()
  await readFrames(response, cursor, request.sink, deps.invariants)
  const result = toAttemptResult(cursor)
  if (result) return result
  if (!signal.aborted) {
    deps.logger.warn('attempt.connectionBroken', { request: header.request, at: cursor.sequence })
    const resumed = await resumeAttempt(deps, request, cursor)
    if (resumed.kind !== 'cancelled') return resumed
  }
  cancelAttempt(deps, sidecarUrl, header)
  return { kind: 'cancelled' }
}
