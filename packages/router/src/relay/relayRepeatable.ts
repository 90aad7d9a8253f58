/**
 * Serves a request that may be repeated: if an attempt fails, the next one runs on another backend
 * server, and the caller receives one gapless response.
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

/** Declines for latency after which the next attempt is sent without a latency bound. */
const MAX_LATENCY_DECLINES = 2

interface RelayState extends DeclineState {
  readonly sink: StreamSink
  attempts: number
  firstTokenMs: number | undefined
}

/** Prepares the sink to continue a partly delivered response; returns the text to continue from. */
function resumeFromDelivered(state: RelayState): string | undefined {
  if (state.sink.delivered.length === 0) return undefined
  const delivered = parseDeliveredChunks(state.sink.delivered)
  if (!delivered) {
    throw new SpoolgateError(
      'backendFailed',
      'the backend server failed during a response that cannot be continued; send the request again',
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

/** Creates a signal that aborts when the caller disconnects or no token arrives in time. */
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
    // The deadline bounds the first token only, which the caller of a resumed stream has.
    deadlineMs: resumeText === undefined ? commonHeader.deadlineMs : undefined,
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
        // The server now computes the missing part too, so the next request with this prefix finds it cached.
        hints.recordCachedPrefix(context.chain, claimHints, Infinity, now)
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
    return hasTimedOut
      ? { kind: 'lost', reason: 'no token arrived in time', notRun: false }
      : result
  } finally {
    attemptSignal.close()
    hints.removeCall(server.id)
  }
}

/** Applies the result of an attempt; true if the request is served or its caller disconnected. */
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

/** Ends a stream whose text is complete, even if its final marker is missing. */
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
  deps.budget.recordFirstAttempt()
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

/** Relays a repeatable request until it is served or no further attempt is allowed. */
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
