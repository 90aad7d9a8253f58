/** Follows one dispatch of an unrepeatable request until it is known what became of it. */
import type { BackendServer } from '@spoolgate/config'
import type { ClaimedDispatch } from '@spoolgate/control'
import { toAttemptNumber, waitFor } from '@spoolgate/core'
import type { CallHeader, DispatchState } from '@spoolgate/routing'
import { resumeAttempt, type AttemptRequest, type AttemptResult } from './attempt.js'
import type { CallContext } from './callContext.js'
import type { RelayDependencies } from './relayDependencies.js'
import { createBufferSink, type BufferedResponse } from './sinks.js'

const ASK_TIMEOUT_MS = 1_000
const ASK_TRIES = 5
const ASK_DELAY_MS = 100
/** Times that an answer is read on before the caller should ask again. */
const RESOLVE_TRIES = 3

/** Asks a sidecar what became of a dispatch; undefined when it does not answer. */
async function askAboutDispatch(
  parts: RelayDependencies,
  server: BackendServer,
  dispatch: ClaimedDispatch,
): Promise<DispatchState | undefined> {
  for (let tries = 0; tries < ASK_TRIES; tries += 1) {
    if (tries > 0) await waitFor(parts.timers, ASK_DELAY_MS * 2 ** tries)
    try {
      return await parts.client.sendJson<DispatchState>({
        method: 'POST',
        url: `${server.sidecarUrl}/dispatches`,
        json: dispatch,
        timeoutMs: ASK_TIMEOUT_MS,
      })
    } catch {
      parts.logger.debug('dispatch.unanswered', { claim: dispatch.claim, server: server.id })
    }
  }
  return undefined
}

/** What is known once a dispatch has been followed to its end. */
export type DispatchOutcome =
  | { readonly kind: 'answered'; readonly answer: BufferedResponse }
  /** It did not run and never will; another dispatch may be given. */
  | { readonly kind: 'barred' }
  /** Nobody can tell whether it ran. */
  | { readonly kind: 'unknown' }
  /** The sidecar cannot be asked now; the claim stays as it is. */
  | { readonly kind: 'unreachable' }

/** One dispatch that is being followed. */
export interface DispatchAttempt {
  readonly server: BackendServer
  readonly dispatch: ClaimedDispatch
  readonly sink: ReturnType<typeof createBufferSink>
  readonly request: AttemptRequest
}

/** Prepares to follow a dispatch, as its sender or in another router's place. */
export function buildDispatchAttempt(
  context: CallContext,
  server: BackendServer,
  dispatch: ClaimedDispatch,
  shared: Omit<CallHeader, 'attempt'>,
  parts: RelayDependencies,
): DispatchAttempt {
  const sink = createBufferSink()
  const { claim, number, incarnation } = dispatch
  const header: CallHeader = {
    ...shared,
    request: dispatch.request,
    attempt: toAttemptNumber(number),
    dispatch: { claim, number, incarnation },
  }
  const request: AttemptRequest = {
    sidecarUrl: server.sidecarUrl,
    header,
    body: context.body,
    sink,
    // A caller that leaves does not stop what must not be repeated.
    signal: new AbortController().signal,
    onClaim: (hints) => parts.state.hints.record(hints, parts.timers.now()),
  }
  return { server, dispatch, sink, request }
}

/** Settles a dispatch whose connection broke, by asking the sidecar. */
export async function resolveInterruptedDispatch(
  parts: RelayDependencies,
  followed: DispatchAttempt,
  tries = RESOLVE_TRIES,
): Promise<DispatchOutcome> {
  if (tries === 0) return { kind: 'unreachable' }
  const state = await askAboutDispatch(parts, followed.server, followed.dispatch)
  switch (state?.state) {
    case undefined:
      return { kind: 'unreachable' }
    case 'barred':
      return { kind: 'barred' }
    case 'otherIncarnation':
      return { kind: 'unknown' }
    case 'failed':
      return state.notRun ? { kind: 'barred' } : { kind: 'unknown' }
    default: {
      const sink = createBufferSink()
      const request = { ...followed.request, sink }
      const result = await resumeAttempt(parts, request)
      return resolveAttemptResult(parts, { ...followed, sink, request }, result, tries - 1)
    }
  }
}

/** Works out what an attempt of a dispatch came to. */
export async function resolveAttemptResult(
  parts: RelayDependencies,
  followed: DispatchAttempt,
  result: AttemptResult,
  tries = RESOLVE_TRIES,
): Promise<DispatchOutcome> {
  switch (result.kind) {
    case 'finished': {
      const answer = followed.sink.findResponse()
      return answer ? { kind: 'answered', answer } : { kind: 'unknown' }
    }
    case 'declined':
      return { kind: 'barred' }
    case 'failed':
      return result.notRun ? { kind: 'barred' } : { kind: 'unknown' }
    default:
      return resolveInterruptedDispatch(parts, followed, tries)
  }
}
