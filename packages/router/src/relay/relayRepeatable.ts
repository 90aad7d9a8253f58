/**
 * Serves a request that may be tried again: attempt after attempt, each on another backend server,
 * with the caller seeing one gapless answer.
 */
import { SpoolgateError, toAttemptNumber } from '@spoolgate/core'
import type { CallHeader } from '@spoolgate/routing'
import type { RoutingDecision } from '../decide/serverSelector.js'
import { runAttempt, type AttemptResult } from './attempt.js'
import { buildCallHeader, type CallContext } from './callContext.js'
import { DONE_MARKER, parseDelivered } from './continuation.js'
import { buildRefusal, chooseNext, recordDecline, type DeclineState } from './declines.js'
import type { RelayParts } from './relayParts.js'
import { createStreamSink, type StreamSink } from './sinks.js'

/** Choices that may be given up for a better one; the next is then claimed at any length. */
const MAX_MISSES = 2

interface RelayState extends DeclineState {
  readonly sink: StreamSink
  attempts: number
  firstTokenMs: number | undefined
}

/** Text to go on from, when part of the answer was delivered. */
function findResumeText(state: RelayState): string | undefined {
  if (state.sink.delivered.length === 0) return undefined
  const delivered = parseDelivered(state.sink.delivered)
  if (!delivered) {
    throw new SpoolgateError(
      'backendFailed',
      'the backend server failed in the middle of an answer that cannot be continued; ask again',
    )
  }
  state.sink.resumeFrom(delivered)
  return delivered.text
}

function buildBody(context: CallContext, resumeText: string | undefined): Buffer {
  if (resumeText === undefined) return context.body
  const body: unknown = JSON.parse(context.body.toString('utf8'))
  return Buffer.from(JSON.stringify({ resumeText, body }))
}

/** Aborts when the caller leaves, or when no token has come within the bound. */
function createAttemptSignal(parts: RelayParts, context: CallContext, timeoutMs: number) {
  const aborting = new AbortController()
  const abort = () => aborting.abort()
  context.callerSignal.addEventListener('abort', abort)
  if (context.callerSignal.aborted) abort()
  const timeout = parts.timers.after(timeoutMs).subscribe(abort)
  return {
    signal: aborting.signal,
    stopTimeout: () => timeout.unsubscribe(),
    close: () => {
      timeout.unsubscribe()
      context.callerSignal.removeEventListener('abort', abort)
    },
  }
}

async function runOnce(
  parts: RelayParts,
  context: CallContext,
  state: RelayState,
  decision: RoutingDecision,
): Promise<AttemptResult> {
  const fleet = parts.config.current()
  if (!fleet) throw new SpoolgateError('controlUnavailable', 'no configuration yet; try later')
  const { server } = decision.chosen
  const { hints } = parts.state
  const resumeText = findResumeText(state)
  const shared = buildCallHeader(context, fleet, parts.timers.now(), parts.timers.wallNow())
  const attempt = toAttemptNumber(state.attempts)
  const header: CallHeader = {
    ...shared,
    attempt,
    hasResumeText: resumeText !== undefined,
    acceptMs: state.misses < MAX_MISSES ? decision.acceptMs : undefined,
  }
  const { firstTokenTimeoutMs, wholeAnswerTimeoutMs } = fleet.routing
  const timeoutMs = context.isStream ? firstTokenTimeoutMs : wholeAnswerTimeoutMs
  const aborting = createAttemptSignal(parts, context, timeoutMs)
  const before = state.sink.delivered.length
  hints.addCall(server.id, context.chain.totalTokens)
  try {
    const result = await runAttempt(parts, {
      sidecarUrl: server.sidecarUrl,
      header,
      body: buildBody(context, resumeText),
      sink: {
        ...state.sink,
        onData: (data) => {
          if (state.sink.delivered.length === before) aborting.stopTimeout()
          state.sink.onData(data)
        },
      },
      signal: aborting.signal,
      onClaim: (found) => {
        const now = parts.timers.now()
        hints.record(found, now)
        // What is missing is computed now: the next request of this prefix will find it.
        hints.recordCachedPrefix(context.chain, found, Infinity, now)
        const { instruments, decisions } = parts
        const arm = { team: context.team, policy: decision.policy }
        instruments.promptTokens.add(context.chain.totalTokens, arm)
        instruments.cachedTokens.add(found.matchedTokens, arm)
        decisions.recordAttempt(context.request, {
          server: server.id,
          outcome: 'claimed',
          matchedTokens: found.matchedTokens,
        })
      },
    })
    const isLate = result.kind === 'cancelled' && !context.callerSignal.aborted
    return isLate ? { kind: 'lost', reason: 'no token in time', notRun: false } : result
  } finally {
    aborting.close()
    hints.removeCall(server.id)
  }
}

/** Takes in what an attempt came to; true when the request is served or its caller is gone. */
async function applyResult(
  parts: RelayParts,
  context: CallContext,
  state: RelayState,
  decision: RoutingDecision,
  result: AttemptResult,
): Promise<boolean> {
  const { server } = decision.chosen
  const now = parts.timers.now()
  const { kind } = result
  const reason = 'reason' in result ? result.reason : undefined
  if (kind !== 'declined') {
    parts.decisions.recordAttempt(context.request, { server: server.id, outcome: kind, reason })
  }
  switch (result.kind) {
    case 'finished':
      parts.ejection.record(server.id, 'ok', now)
      state.sink.finish()
      return true
    case 'cancelled':
      return true
    case 'declined':
      state.attempts -= 1
      await recordDecline(parts, context, state, server, result)
      return false
    default:
      parts.ejection.record(server.id, 'failed', now)
      parts.state.hints.remove(server.id)
      state.excluded.add(server.id)
      state.mayHaveRun ||= !result.notRun
      return finishDelivered(state)
  }
}

/** Ends a stream whose text was whole and lacked only its final marker. */
function finishDelivered(state: RelayState): boolean {
  const { sink } = state
  if (sink.delivered.length === 0) return false
  if (sink.delivered.at(-1) !== DONE_MARKER) {
    if (!parseDelivered(sink.delivered)?.isFinished) return false
    sink.onData(DONE_MARKER)
  }
  sink.finish()
  return true
}

function checkRetry(parts: RelayParts, context: CallContext, state: RelayState): void {
  const fleet = parts.config.current()
  if (state.attempts === 0) return
  const isSpent = state.attempts >= (fleet?.routing.maxAttempts ?? 1)
  if (isSpent || !parts.budget.takeRetry()) throw buildRefusal(state)
  parts.instruments.retries.add(1, { team: context.team })
}

async function relayAttempts(parts: RelayParts, context: CallContext, state: RelayState) {
  parts.budget.recordFirstAttempt()
  for (;;) {
    const fleet = parts.config.current()
    if (!fleet) throw new SpoolgateError('controlUnavailable', 'no configuration yet; try later')
    const decision = await chooseNext(parts, context, state, fleet)
    checkRetry(parts, context, state)
    state.attempts += 1
    const result = await runOnce(parts, context, state, decision)
    if (await applyResult(parts, context, state, decision, result)) return
  }
}

/** Relays a repeatable request to its end. */
export async function relayRepeatable(parts: RelayParts, context: CallContext): Promise<void> {
  const policy = parts.serverSelector.findPolicy(context)
  const state: RelayState = {
    sink: createStreamSink({
      response: context.response,
      onFirstToken: () => {
        state.firstTokenMs = parts.timers.now() - context.startedAt
        const arm = { team: context.team, policy }
        parts.instruments.firstTokenMs.record(state.firstTokenMs, arm)
      },
    }),
    excluded: new Set(),
    attempts: 0,
    retryAfterMs: undefined,
    mayHaveRun: false,
    misses: 0,
    firstTokenMs: undefined,
  }
  try {
    await relayAttempts(parts, context, state)
    const outcome = context.callerSignal.aborted ? 'callerGone' : 'finished'
    parts.instruments.requests.add(1, { team: context.team, policy, outcome })
    parts.decisions.recordOutcome(context.request, outcome, state.firstTokenMs)
  } catch (cause) {
    const error = cause instanceof SpoolgateError ? cause : undefined
    const outcome = error?.kind ?? 'internal'
    parts.instruments.requests.add(1, { team: context.team, policy, outcome })
    parts.decisions.recordOutcome(context.request, outcome, state.firstTokenMs)
    if (!error || !state.sink.hasBegun()) throw cause
    state.sink.fail(error)
  }
}
