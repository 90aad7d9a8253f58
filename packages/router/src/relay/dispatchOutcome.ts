/** Determines the outcome of one dispatch of an unrepeatable request. */
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
/** Rounds of state query and resume, after which the caller is asked to retry. */
const MAX_RESOLVE_ROUNDS = 3

/** Fetches the state of a dispatch from its sidecar; undefined if the sidecar does not respond. */
async function fetchDispatchState(
  deps: RelayDependencies,
  server: BackendServer,
  dispatch: ClaimedDispatch,
): Promise<DispatchState | undefined> {
  for (let tries = 0; tries < MAX_STATE_QUERIES; tries += 1) {
    if (tries > 0) await waitFor(deps.timers, STATE_QUERY_DELAY_MS * 2 ** tries)
    try {
      return await deps.client.sendJson<DispatchState>({
        answer: 'call',
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

/** Outcome of a dispatch. */
export type DispatchOutcome =
  | { readonly kind: 'answered'; readonly response: BufferedResponse }
  /** It did not run and can no longer run, so another dispatch is allowed. */
  | { readonly kind: 'barred' }
  /** It cannot be determined whether it ran. */
  | { readonly kind: 'unknown' }
  /** The sidecar does not respond at present; the claim stays unchanged. */
  | { readonly kind: 'unreachable' }

/** An attempt for one dispatch. */
export interface DispatchAttempt {
  readonly server: BackendServer
  readonly dispatch: ClaimedDispatch
  readonly sink: ReturnType<typeof createBufferSink>
  readonly request: AttemptRequest
}

/** Builds the attempt for a dispatch, whether this router or another one sent it. */
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
    // Never aborted: the request cannot be repeated, so it runs on when the caller disconnects.
    signal: new AbortController().signal,
    onClaim: (hints) => deps.state.hints.record(hints, deps.timers.now()),
  }
  return { server, dispatch, sink, request }
}

/** Resolves a dispatch whose connection broke by querying the sidecar for its state. */
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

/** Maps the result of an attempt to the outcome of its dispatch. */
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
