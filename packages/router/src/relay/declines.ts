/** The choice of a backend server, and what a router does when its sidecar declined the call. */
import type { BackendServer, Fleet } from '@spoolgate/config'
import { type BackendServerId, SpoolgateError } from '@spoolgate/core'
import type { RoutingDecision } from '../decide/serverSelector.js'
import type { AttemptResult } from './attempt.js'
import type { CallContext } from './callContext.js'
import type { RelayParts } from './relayParts.js'

/** Part of a request's state that declines change. */
export interface DeclineState {
  readonly excluded: Set<BackendServerId>
  /** Shortest time after which a backend server that declined may take the request, in ms. */
  retryAfterMs: number | undefined
  /** Whether any attempt may have reached a backend server; then no refusal may say not run. */
  mayHaveRun: boolean
  /** Declines because the first token would take longer than the router expected. */
  misses: number
}

/** Longest wait for a configuration that a sidecar already has, in ms. */
const CONFIG_WAIT_MS = 2_000
const MS_PER_SECOND = 1_000

/** Takes in a decline: learns from its hints, and leaves the backend server out or catches up. */
export async function recordDecline(
  parts: RelayParts,
  context: CallContext,
  state: DeclineState,
  server: BackendServer,
  result: Extract<AttemptResult, { kind: 'declined' }>,
): Promise<void> {
  const { decline, hints } = result
  const now = parts.timers.now()
  parts.state.hints.record(hints, now)
  parts.state.hints.recordCached(context.chain, hints, hints.matchedTokens, now)
  parts.instruments.declines.add(1, { reason: decline.declined })
  parts.decisions.recordAttempt(context.request, {
    server: server.id,
    outcome: 'declined',
    reason: decline.declined,
  })
  if (decline.declined === 'olderConfiguration') {
    parts.config.observeVersion(hints.configVersion, server.sidecarUrl)
    const isCaughtUp = await parts.config.waitForVersion(hints.configVersion, CONFIG_WAIT_MS)
    if (isCaughtUp) return
  }
  if (decline.declined === 'longerThanExpected') {
    state.misses += 1
    return
  }
  // The hints just recorded name the incarnation that can be tried next.
  if (decline.declined === 'wrongIncarnation') return
  state.excluded.add(server.id)
  const { retryAfterMs } = decline
  if (retryAfterMs === undefined) return
  state.retryAfterMs = Math.min(state.retryAfterMs ?? Infinity, retryAfterMs)
}

/**
 * Chooses the backend server to try next.
 * @throws SpoolgateError when none is left, with whether the request may have run.
 */
export async function chooseNext(
  parts: RelayParts,
  context: CallContext,
  state: DeclineState,
  fleet: Fleet,
): Promise<RoutingDecision> {
  const { request, team, parameters, target, chain, weightsVersion, session } = context
  const { excluded } = state
  const wanted = { request, team, parameters, target, chain, weightsVersion, session }
  const decision = await parts.serverSelector.choose({ ...wanted, fleet, excluded })
  if (decision) return decision
  throw buildRefusal(state)
}

/** Builds the refusal of a request for which no backend server is left. */
export function buildRefusal(state: DeclineState): SpoolgateError {
  const { retryAfterMs, excluded, mayHaveRun } = state
  const seconds = Math.max(1, Math.ceil((retryAfterMs ?? MS_PER_SECOND) / MS_PER_SECOND))
  const options = { notRun: !mayHaveRun, retryAfterSeconds: seconds }
  if (excluded.size === 0) {
    const message = 'no backend server is in service; try again later'
    return new SpoolgateError('noBackendServer', message, options)
  }
  if (mayHaveRun) {
    const message = 'the backend servers that were tried failed; send the request again'
    return new SpoolgateError('backendFailed', message, options)
  }
  const message = `all backend servers are busy; try again in ${seconds} s`
  return new SpoolgateError('declined', message, options)
}
