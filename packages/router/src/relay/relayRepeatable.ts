/**
 * Serves a request that may be tried again: attempt after attempt, each on another backend server,
 * with the caller seeing one gapless answer.
 */
import { SpoolgateError, toAttemptNumber } from '@spoolgate/core'
import type { CallHeader } from '@spoolgate/routing'
import type { RoutingDecision } from '../decide/serverSelector.js'
import { runAttempt, type AttemptResult } from './attempt.js'
import { buildCallHeader, type CallContext } from './callContext.js'
import { DONE_MARKER, parseDeliveredChunks } from './continuation.js'
import {
  createUnavailableError,
  chooseNextServer,
  recordDecline,
  type DeclineState,
} from './declines.js'
import type { RelayDependencies } from './relayDependencies.js'
import { createStreamSink, type StreamSink } from './sinks.js'

/** Choices that may be given up for a better one; the next is then claimed at any length. */
const MAX_LATENCY_DECLINES = 2

interface RelayState extends DeclineState {
  readonly sink: StreamSink
  attempts: number
  firstTokenMs: number | undefined
}

/** Text to go on from, when part of the answer was delivered. */
function resumeFromDelivered(state: RelayState): string | undefined {
  if (state.sink.delivered.length === 0) return undefined
  const delivered = parseDeliveredChunks(state.sink.delivered)
  if (!delivered) {
    throw new SpoolgateError(
      'backendFailed',
      'the backend server failed in the middle of an answer that cannot be continued; ask again',
    )
  }
  state.sink.resumeFrom(delivered)
  return delivered.text
}

function buildAttemptBody(context: CallContext, resumeText: string | undefined): Buffer {
  if (resumeText === undefined) return context.body
  const body: unknown = JSON.parse(context.body.toString('utf8'))
  return Buffer.from(JSON.stringify({ resumeText, body }))
}

/** Aborts when the caller leaves, or when no token has come within the bound. */
function createAttemptSignal(deps: RelayDependencies, context: CallContext, timeoutMs: number) {
  const controller = new AbortController()
  const abort = () => controller.abort()
  context.callerSignal.addEventListener('abort', abort)
  if (context.callerSignal.aborted) abort()
  const timeout = deps.timers.after(timeoutMs).subscribe(abort)
  return {
    signal: controller.signal,
    stopTimeout: () => timeout.unsubscribe(),
    close: () => {
      timeout.unsubscribe()
      context.callerSignal.removeEventListener('abort', abort)
    },
  }
}

async function runServerAttempt(
  deps: RelayDependencies,
  context: CallContext,
  state: RelayState,
  decision: RoutingDecision,
): Promise<AttemptResult> {
  const fleet = deps.config.current()
  if (!fleet) throw new SpoolgateError('controlUnavailable', 'no configuration yet; try later')
  const { server } = decision.chosen
  const { hints } = deps.state
  const resumeText = resumeFromDelivered(state)
  const commonHeader = buildCallHeader(context, fleet, deps.timers.now(), deps.timers.wallNow())
  const attempt = toAttemptNumber(state.attempts)
  const header: CallHeader = {
    ...commonHeader,
    attempt,
    hasResumeText: resumeText !== undefined,
    acceptMs: state.latencyDeclines < MAX_LATENCY_DECLINES ? decision.acceptMs : undefined,
  }
  const { firstTokenTimeoutMs, wholeAnswerTimeoutMs } = fleet.routing
  const timeoutMs = context.isStream ? firstTokenTimeoutMs : wholeAnswerTimeoutMs
  const attemptSignal = createAttemptSignal(deps, context, timeoutMs)
  const deliveredBefore = state.sink.delivered.length
  hints.addCall(server.id, context.chain.totalTokens)
  try {
    const result = await runAttempt(deps, {
      sidecarUrl: server.sidecarUrl,
      header,
      body: buildAttemptBody(context, resumeText),
      sink: {
        ...state.sink,
        onData: (data) => {
          if (state.sink.delivered.length === deliveredBefore) attemptSignal.stopTimeout()
          state.sink.onData(data)
        },
      },
      signal: attemptSignal.signal,
      onClaim: (claimHints) => {
        const now = deps.timers.now()
        hints.record(claimHints, now)
        // What is missing is computed now: the next request of this prefix will find it.
        hints.recordCached(context.chain, claimHints, Infinity, now)
        const { instruments, decisions } = deps
        const labels = { team: context.team, policy: decision.policy }
        instruments.promptTokens.add(context.chain.totalTokens, labels)
        instruments.cachedTokens.add(claimHints.matchedTokens, labels)
        decisions.recordAttempt(context.request, {
          server: server.id,
          outcome: 'claimed',
          matchedTokens: claimHints.matchedTokens,
        })
      },
    })
    const hasTimedOut = result.kind === 'cancelled' && !context.callerSignal.aborted
    return hasTimedOut ? { kind: 'lost', reason: 'no token in time', notRun: false } : result
  } finally {
    attemptSignal.close()
    hints.removeCall(server.id)
  }
}

/** Takes in what an attempt came to; true when the request is served or its caller is gone. */
async function applyResult(
  deps: RelayDependencies,
  context: CallContext,
  state: RelayState,
  decision: RoutingDecision,
  result: AttemptResult,
): Promise<boolean> {
  const { server } = decision.chosen
  const now = deps.timers.now()
  const { kind } = result
  const reason = 'reason' in result ? result.reason : undefined
  if (kind !== 'declined') {
    deps.decisions.recordAttempt(context.request, { server: server.id, outcome: kind, reason })
  }
  switch (result.kind) {
    case 'finished':
      deps.ejection.record(server.id, 'ok', now)
      state.sink.finish()
      return true
    case 'cancelled':
      return true
    case 'declined':
      state.attempts -= 1
      await recordDecline(deps, context, state, server, result)
      return false
    default:
      deps.ejection.record(server.id, 'failed', now)
      deps.state.hints.remove(server.id)
      state.excluded.add(server.id)
      state.mayHaveRun ||= !result.notRun
      return finishCompleteStream(state)
  }
}

/** Ends a stream whose text was whole and lacked only its final marker. */
function finishCompleteStream(state: RelayState): boolean {
  const { sink } = state
  if (sink.delivered.length === 0) return false
  if (sink.delivered.at(-1) !== DONE_MARKER) {
    if (!parseDeliveredChunks(sink.delivered)?.isFinished) return false
    sink.onData(DONE_MARKER)
  }
  sink.finish()
  return true
}

function checkRetry(deps: RelayDependencies, context: CallContext, state: RelayState): void {
  const fleet = deps.config.current()
  if (state.attempts === 0) return
  const isExhausted = state.attempts >= (fleet?.routing.maxAttempts ?? 1)
  if (isExhausted || !deps.budget.takeRetry()) throw createUnavailableError(state)
  deps.instruments.retries.add(1, { team: context.team })
}

async function relayAttempts(deps: RelayDependencies, context: CallContext, state: RelayState) {
  deps.budget.addFirstTry()
  for (;;) {
    const fleet = deps.config.current()
    if (!fleet) throw new SpoolgateError('controlUnavailable', 'no configuration yet; try later')
    const decision = await chooseNextServer(deps, context, state, fleet)
    checkRetry(deps, context, state)
    state.attempts += 1
    const result = await runServerAttempt(deps, context, state, decision)
    if (await applyResult(deps, context, state, decision, result)) return
  }
}

/** Relays a repeatable request to its end. */
export async function relayRepeatable(
  deps: RelayDependencies,
  context: CallContext,
): Promise<void> {
  const policy = deps.serverSelector.findPolicy(context)
  const state: RelayState = {
    sink: createStreamSink({
      response: context.response,
      onFirstToken: () => {
        state.firstTokenMs = deps.timers.now() - context.startedAt
        const labels = { team: context.team, policy }
        deps.instruments.firstTokenMs.record(state.firstTokenMs, labels)
      },
    }),
    excluded: new Set(),
    attempts: 0,
    retryAfterMs: undefined,
    mayHaveRun: false,
    latencyDeclines: 0,
    firstTokenMs: undefined,
  }
  try {
    await relayAttempts(deps, context, state)
    const outcome = context.callerSignal.aborted ? 'callerGone' : 'finished'
    deps.instruments.requests.add(1, { team: context.team, policy, outcome })
    deps.decisions.recordOutcome(context.request, outcome, state.firstTokenMs)
  } catch (cause) {
    const error = cause instanceof SpoolgateError ? cause : undefined
    const outcome = error?.kind ?? 'internal'
    deps.instruments.requests.add(1, { team: context.team, policy, outcome })
    deps.decisions.recordOutcome(context.request, outcome, state.firstTokenMs)
    if (!error || !state.sink.hasBegun()) throw cause
    state.sink.fail(error)
  }
}
