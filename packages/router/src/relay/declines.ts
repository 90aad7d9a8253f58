/** Choice of the next backend server, and handling of calls that a sidecar declined. */
import type { BackendServer, Fleet } from '@spoolgate/config'
import { type BackendServerId, SpoolgateError } from '@spoolgate/core'
import type { RoutingDecision } from '../decide/serverSelector.js'
import type { AttemptResult } from './attempt.js'
import type { CallContext } from './callContext.js'
import type { RelayDependencies } from './relayDependencies.js'

/** State of a request that declines update. */
export interface DeclineState {
  readonly excluded: Set<BackendServerId>
  /** Shortest time after which a server that declined may accept the request, in ms. */
  retryAfterMs: number | undefined
  /** Whether any attempt may have run; if so, an error must not report `notRun`. */
  mayHaveRun: boolean
  /** Declines because the first token would take longer than the router expected. */
  latencyDeclines: number
}

/** Longest wait for a newer configuration that a sidecar already has, in ms. */
const CONFIG_WAIT_TIMEOUT_MS = 2_000
const MS_PER_SECOND = 1_000

/**
 * Handles a decline: records its hints, then excludes the backend server unless the reason allows
 * another try, if need be after waiting for a newer configuration.
 */
export async function recordDecline(
  deps: RelayDependencies,
  context: CallContext,
  state: DeclineState,
  server: BackendServer,
  result: Extract<AttemptResult, { kind: 'declined' }>,
): Promise<void> {
  const { decline, hints } = result
  const now = deps.timers.now()
  deps.state.hints.record(hints, now)
  deps.state.hints.recordCachedPrefix(context.chain, hints, hints.matchedTokens, now)
  deps.instruments.declines.add(1, { reason: decline.declined })
  deps.decisions.recordAttempt(context.request, {
    server: server.id,
    outcome: 'declined',
    reason: decline.declined,
  })
  if (decline.declined === 'olderConfiguration') {
    deps.config.observeVersion(hints.configVersion, server.sidecarUrl)
    const isCaughtUp = await deps.config.waitForVersion(hints.configVersion, CONFIG_WAIT_TIMEOUT_MS)
    if (isCaughtUp) return
  }
  if (decline.declined === 'longerThanExpected') {
    state.latencyDeclines += 1
    return
  }
  // The hints recorded above contain the current incarnation, so the server can be tried again.
  if (decline.declined === 'wrongIncarnation') return
  state.excluded.add(server.id)
  const { retryAfterMs } = decline
  if (retryAfterMs === undefined) return
  state.retryAfterMs = Math.min(state.retryAfterMs ?? Infinity, retryAfterMs)
}

/**
 * Chooses the backend server to try next.
 * @throws SpoolgateError if none is left; `notRun` shows whether the request may have run.
 */
export async function chooseNextServer(
  deps: RelayDependencies,
  context: CallContext,
  state: DeclineState,
  fleet: Fleet,
): Promise<RoutingDecision> {
  const { request, team, parameters, target, chain, weightsVersion, session } = context
  const { excluded } = state
  const selection = { request, team, parameters, target, chain, weightsVersion, session }
  const decision = await deps.serverSelector.choose({ ...selection, fleet, excluded })
  if (decision) return decision
  throw createUnavailableError(state)
}

/** Creates the error for a request that no backend server is left to try for. */
export function createUnavailableError(state: DeclineState): SpoolgateError {
  const { retryAfterMs, excluded, mayHaveRun } = state
  const seconds = Math.max(1, Math.ceil((retryAfterMs ?? MS_PER_SECOND) / MS_PER_SECOND))
  const options = { notRun: !mayHaveRun, retryAfterSeconds: seconds }
  if (excluded.size === 0) {
    const message = 'no backend server is available; try again later'
    return new SpoolgateError('noBackendServer', message, options)
  }
  if (mayHaveRun) {
    const message = 'all backend servers tried have failed; send the request again'
    return new SpoolgateError('backendFailed', message, options)
  }
  const message = `all backend servers are busy; try again in ${seconds} s`
  return new SpoolgateError('declined', message, options)
}
