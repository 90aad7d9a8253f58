/** Follows one dispatch of an unrepeatable request until it is known what became of it. */
import type { BackendServer } from '@spoolgate/config'
import type { ClaimedDispatch } from '@spoolgate/control'
import { toAttemptNumber, waitFor } from '@spoolgate/core'
import type { CallHeader, DispatchState } from '@spoolgate/routing'
import { resumeAttempt, type AttemptRequest, type AttemptResult } from './attempt.js'
import type { CallContext } from './callContext.js'
import type { RelayDependencies } from './relayDependencies.js'
import { createBufferSink, type BufferedResponse } from './sinks.js'

const STATE_QUERY_TIMEOUT_MS = 1_000
const MAX_STATE_QUERIES = 5
const STATE_QUERY_DELAY_MS = 100
/** Times that an answer is read on before the caller should ask again. */
const MAX_RESOLVE_ROUNDS = 3

/** Asks a sidecar what became of a dispatch; undefined when it does not answer. */
async function fetchDispatchState(
  deps: RelayDependencies,
  server: BackendServer,
  dispatch: ClaimedDispatch,
): Promise<DispatchState | undefined> {
  for (let tries = 0; tries < MAX_STATE_QUERIES; tries += 1) {
    if (tries > 0) await waitFor(deps.timers, STATE_QUERY_DELAY_MS * 2 ** tries)
    try {
      return await deps.client.sendJson<DispatchState>({
        method: 'POST',
        url: `${server.sidecarUrl}/dispatches`,
        json: dispatch,
        timeoutMs: STATE_QUERY_TIMEOUT_MS,
      })
    } catch {
      deps.logger.debug('dispatch.unanswered', { claim: dispatch.claim, server: server.id })
    }
  }
  return undefined
}

/** What is known once a dispatch has been followed to its end. */
export type DispatchOutcome =
  | { readonly kind: 'answered'; readonly response: BufferedResponse }
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
  commonHeader: Omit<CallHeader, 'attempt'>,
  deps: RelayDependencies,
): DispatchAttempt {
  const sink = createBufferSink()
  const { claim, number, incarnation } = dispatch
  const header: CallHeader = {
    ...commonHeader,
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
    onClaim: (hints) => deps.state.hints.record(hints, deps.timers.now()),
  }
  return { server, dispatch, sink, request }
}

/** Settles a dispatch whose connection broke, by asking the sidecar. */
export async function resolveInterruptedDispatch(
  deps: RelayDependencies,
  attempt: DispatchAttempt,
  roundsLeft = MAX_RESOLVE_ROUNDS,
): Promise<DispatchOutcome> {
  if (roundsLeft === 0) return { kind: 'unreachable' }
  const state = await fetchDispatchState(deps, attempt.server, attempt.dispatch)
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
      const request = { ...attempt.request, sink }
      const result = await resumeAttempt(deps, request)
      return resolveAttemptResult(deps, { ...attempt, sink, request }, result, roundsLeft - 1)
    }
  }
}

/** Works out what an attempt of a dispatch came to. */
export async function resolveAttemptResult(
  deps: RelayDependencies,
  attempt: DispatchAttempt,
  result: AttemptResult,
  roundsLeft = MAX_RESOLVE_ROUNDS,
): Promise<DispatchOutcome> {
  switch (result.kind) {
    case 'finished': {
      const response = attempt.sink.findResponse()
      return response ? { kind: 'answered', response } : { kind: 'unknown' }
    }
    case 'declined':
      return { kind: 'barred' }
    case 'failed':
      return result.notRun ? { kind: 'barred' } : { kind: 'unknown' }
    default:
      return resolveInterruptedDispatch(deps, attempt, roundsLeft)
  }
}
