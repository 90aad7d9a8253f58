/**
 * Serves a request that may run at most once. Before each dispatch, a durable claim records the one
 * sidecar incarnation that may run it; another dispatch follows only after that one is barred. If
 * it cannot be determined whether a dispatch ran, the outcome is reported as unknown and the
 * request is never run again.
 */
import { createHash } from 'node:crypto'
import type { BackendServer, Fleet } from '@spoolgate/config'
import type { ClaimedDispatch, OpenClaimResult } from '@spoolgate/control'
import {
  SpoolgateError,
  toSpoolgateError,
  type BackendServerId,
  type Incarnation,
} from '@spoolgate/core'
import { runAttempt } from './attempt.js'
import { buildCallHeader, type CallContext } from './callContext.js'
import {
  createUnavailableError,
  chooseNextServer,
  recordDecline,
  type DeclineState,
} from './declines.js'
import type { RelayDependencies } from './relayDependencies.js'
import { sendBufferedResponse, type BufferedResponse } from './sinks.js'
import {
  buildDispatchAttempt,
  resolveInterruptedDispatch,
  resolveAttemptResult,
  type DispatchOutcome,
} from './dispatchOutcome.js'
import { parseKeptAnswer, toKeptAnswer } from './keptAnswer.js'

/** Idempotency key of a request. */
export interface IdempotencyKey {
  readonly key: string
  /** False if the router generated the key, so no earlier request can have used it. */
  readonly isFromCaller: boolean
}

const STATUS_TIMEOUT_MS = 1_000
const MAX_DISPATCHES = 8

function hashBody(context: CallContext): string {
  const hash = createHash('sha256')
  hash.update(`${context.method} ${context.path}\n`)
  return hash.update(context.body).digest('base64url')
}

function createOutcomeUnknownError(): SpoolgateError {
  return new SpoolgateError(
    'outcomeUnknown',
    'it is unknown whether the request ran; it will not be run again, so check with the service',
  )
}

/** Finds the current incarnation of a sidecar from hints, or else from its status. */
async function findIncarnation(
  deps: RelayDependencies,
  server: BackendServer,
): Promise<Incarnation | undefined> {
  const known = deps.state.hints.find(server.id)?.hints.incarnation
  if (known) return known
  try {
    const url = `${server.sidecarUrl}/status`
    const request = { method: 'GET', url, timeoutMs: STATUS_TIMEOUT_MS }
    return (await deps.client.sendJson<{ incarnation: Incarnation }>(request)).incarnation
  } catch {
    return undefined
  }
}

interface AtMostOnceState extends DeclineState {
  readonly key: IdempotencyKey
  readonly bodyHash: string
}

async function openClaim(
  deps: RelayDependencies,
  context: CallContext,
  state: AtMostOnceState,
  server: BackendServerId,
  incarnation: Incarnation,
): Promise<OpenClaimResult> {
  const { team, request } = context
  const { key, bodyHash } = state
  try {
    const command = { kind: 'claim.open', team, key: key.key, bodyHash } as const
    return await deps.control.send<'claim.open'>({ ...command, request, server, incarnation })
  } catch (cause) {
    if (!(cause instanceof SpoolgateError) || cause.kind !== 'controlUnavailable') throw cause
    // Nothing was dispatched without a claim, but an earlier request with the same key may have run.
    throw new SpoolgateError(
      'controlUnavailable',
      'claims are unavailable at present; try again later',
      {
        notRun: !state.mayHaveRun,
        retryAfterSeconds: 2,
      },
    )
  }
}

/** Records the outcome of a dispatch in its claim. */
async function settleClaim(
  deps: RelayDependencies,
  dispatch: ClaimedDispatch,
  outcome: DispatchOutcome,
): Promise<void> {
  const { claim, number } = dispatch
  deps.instruments.claims.add(1, { outcome: outcome.kind })
  deps.logger.info('claim.settled', { claim, number, outcome: outcome.kind })
  if (outcome.kind === 'answered') {
    const answer = toKeptAnswer(outcome.response)
    await deps.control.send<'claim.finish'>({ kind: 'claim.finish', claim, number, answer })
  } else if (outcome.kind === 'barred') {
    await deps.control.send<'claim.release'>({ kind: 'claim.release', claim, number })
  } else if (outcome.kind === 'unknown') {
    await deps.control.send<'claim.lose'>({ kind: 'claim.lose', claim, number })
  }
}

async function runDispatch(
  deps: RelayDependencies,
  context: CallContext,
  state: AtMostOnceState,
  fleet: Fleet,
  server: BackendServer,
  dispatch: ClaimedDispatch,
): Promise<DispatchOutcome> {
  const commonHeader = buildCallHeader(context, fleet, deps.timers.now(), deps.timers.wallNow())
  const attempt = buildDispatchAttempt(context, server, dispatch, commonHeader, deps)
  const result = await runAttempt(deps, attempt.request)
  if (result.kind === 'declined') await recordDecline(deps, context, state, server, result)
  else if (result.kind !== 'finished') state.excluded.add(server.id)
  const { kind } = result
  deps.decisions.recordAttempt(context.request, { server: server.id, outcome: kind })
  return resolveAttemptResult(deps, attempt, result)
}

/** Resolves a dispatch that an earlier request with the same key started, maybe on another router. */
async function joinDispatch(
  deps: RelayDependencies,
  context: CallContext,
  fleet: Fleet,
  dispatch: ClaimedDispatch,
): Promise<DispatchOutcome> {
  const server = fleet.backendServers.get(dispatch.server)
  if (!server) return { kind: 'unreachable' }
  const commonHeader = buildCallHeader(context, fleet, deps.timers.now(), deps.timers.wallNow())
  return resolveInterruptedDispatch(
    deps,
    buildDispatchAttempt(context, server, dispatch, commonHeader, deps),
  )
}

/**
 * Applies an outcome: returns the response if there is one, and undefined if the request may be
 * dispatched again.
 * @throws SpoolgateError if the outcome is unknown or not yet known.
 */
async function applyOutcome(
  deps: RelayDependencies,
  state: AtMostOnceState,
  dispatch: ClaimedDispatch,
  outcome: DispatchOutcome,
): Promise<BufferedResponse | undefined> {
  if (outcome.kind === 'unreachable') {
    throw new SpoolgateError(
      'stillRunning',
      'the outcome is not known yet; send the request again with the same idempotency key',
      { retryAfterSeconds: 2 },
    )
  }
  const settled = settleClaim(deps, dispatch, outcome)
  if (outcome.kind === 'answered') {
    // Not awaited, to save the caller the delay: if this router crashes now, the sidecar still holds the response.
    deps.trackBackgroundWork(
      settled.catch(() => deps.logger.warn('claim.unsettled', { ...dispatch })),
    )
    return outcome.response
  }
  if (outcome.kind === 'unknown') {
    state.mayHaveRun = true
    await settled.catch(() => deps.logger.warn('claim.unsettled', { ...dispatch }))
    throw createOutcomeUnknownError()
  }
  await settled
  return undefined
}

async function runClaimedDispatches(
  deps: RelayDependencies,
  context: CallContext,
  state: AtMostOnceState,
): Promise<BufferedResponse> {
  for (let dispatches = 0; dispatches < MAX_DISPATCHES; dispatches += 1) {
    const fleet = deps.config.current()
    if (!fleet) throw new SpoolgateError('controlUnavailable', 'no configuration yet; try later')
    const { server } = (await chooseNextServer(deps, context, state, fleet)).chosen
    const incarnation = await findIncarnation(deps, server)
    if (!incarnation) {
      state.excluded.add(server.id)
      continue
    }
    const openResult = await openClaim(deps, context, state, server.id, incarnation)
    const response = await handleOpenResult(deps, context, state, fleet, server, openResult)
    if (response) return response
  }
  throw createUnavailableError(state)
}

async function handleOpenResult(
  deps: RelayDependencies,
  context: CallContext,
  state: AtMostOnceState,
  fleet: Fleet,
  server: BackendServer,
  openResult: OpenClaimResult,
): Promise<BufferedResponse | undefined> {
  switch (openResult.kind) {
    case 'granted': {
      const { dispatch } = openResult
      // A grant implies that every earlier dispatch of this key is barred.
      state.mayHaveRun = false
      const outcome = await runDispatch(deps, context, state, fleet, server, dispatch)
      return applyOutcome(deps, state, dispatch, outcome)
    }
    case 'running': {
      const outcome = await joinDispatch(deps, context, fleet, openResult.dispatch)
      return applyOutcome(deps, state, openResult.dispatch, outcome)
    }
    case 'finished':
      if (openResult.answer) return parseKeptAnswer(openResult.answer)
      throw new SpoolgateError(
        'conflict',
        'this request has run, but its response was too large to store; get the result from the service',
        { notRun: false },
      )
    case 'conflict':
      throw new SpoolgateError(
        'conflict',
        'this idempotency key was used with a different request; use a new key for a new request',
      )
    case 'unknown':
      throw createOutcomeUnknownError()
  }
}

/** Serves an unrepeatable request. */
export async function relayOnce(
  deps: RelayDependencies,
  context: CallContext,
  key: IdempotencyKey,
): Promise<void> {
  const state: AtMostOnceState = {
    key,
    bodyHash: hashBody(context),
    excluded: new Set(),
    retryAfterMs: undefined,
    // An earlier request with the key of the caller may have run; only the claim shows whether it did.
    mayHaveRun: key.isFromCaller,
    latencyDeclines: 0,
  }
  const team = context.team
  try {
    const responsePromise = runClaimedDispatches(deps, context, state)
    deps.trackBackgroundWork(responsePromise.catch(() => {}))
    const response = await responsePromise
    deps.instruments.requests.add(1, { team, policy: 'once', outcome: 'finished' })
    deps.decisions.recordOutcome(context.request, 'finished', undefined)
    context.response.setHeader('idempotency-key', key.key)
    sendBufferedResponse(context.response, response)
  } catch (cause) {
    const error = toSpoolgateError(cause)
    const outcome = error.kind
    deps.invariants.assert(
      'notRunIsTrue',
      !error.notRun || !state.mayHaveRun || outcome === 'conflict',
    )
    deps.instruments.requests.add(1, { team, policy: 'once', outcome })
    deps.decisions.recordOutcome(context.request, outcome, undefined)
    throw cause
  }
}
