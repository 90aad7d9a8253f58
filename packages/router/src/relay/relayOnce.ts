/**
 * Serves a request that may run at most once. Before it is dispatched, a durable claim names the
 * one sidecar incarnation that may run it; another dispatch follows only when that one has been
 * barred. What nobody can tell is said to be unknown, and is never run again.
 */
import { createHash } from 'node:crypto'
import type { BackendServer, Fleet } from '@spoolgate/config'
import type { ClaimedDispatch, OpenResult } from '@spoolgate/control'
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
  /** False when the router made the key, so that no earlier send can have used it. */
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
    'the request may or may not have run and will not be run again; check with the service itself',
  )
}

/** Finds which incarnation of a sidecar to name: from hints, or by asking it. */
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
): Promise<OpenResult> {
  const { team, request } = context
  const { key, bodyHash } = state
  try {
    const command = { kind: 'claim.open', team, key: key.key, bodyHash } as const
    return await deps.control.send<'claim.open'>({ ...command, request, server, incarnation })
  } catch (cause) {
    if (!(cause instanceof SpoolgateError) || cause.kind !== 'controlUnavailable') throw cause
    // Without a claim nothing was dispatched; but an earlier send of the caller's key may have run.
    throw new SpoolgateError('controlUnavailable', 'claims cannot be made now; try again later', {
      notRun: !state.mayHaveRun,
      retryAfterSeconds: 2,
    })
  }
}

/** Records in the claim what became of its dispatch. */
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

/** Follows a dispatch that another request, perhaps of another router, was given. */
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

/** Takes in an outcome; returns the answer once there is one, throws what is final. */
async function applyOutcome(
  deps: RelayDependencies,
  state: AtMostOnceState,
  dispatch: ClaimedDispatch,
  outcome: DispatchOutcome,
): Promise<BufferedResponse | undefined> {
  if (outcome.kind === 'unreachable') {
    throw new SpoolgateError(
      'stillRunning',
      'the outcome is not known yet; send the same idempotency key again to learn it',
      { retryAfterSeconds: 2 },
    )
  }
  const settled = settleClaim(deps, dispatch, outcome)
  if (outcome.kind === 'answered') {
    // The caller has waited enough: the sidecar still holds the answer if this router dies now.
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
  openResult: OpenResult,
): Promise<BufferedResponse | undefined> {
  switch (openResult.kind) {
    case 'granted': {
      const { dispatch } = openResult
      // A grant means that every earlier dispatch of this key was barred.
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
        'this request has run; its answer was too large to keep, so ask the service for the result',
        { notRun: false },
      )
    case 'conflict':
      throw new SpoolgateError(
        'conflict',
        'this idempotency key was used with another body; choose a new key for a new request',
      )
    case 'unknown':
      throw createOutcomeUnknownError()
  }
}

/** Serves an unrepeatable request to its end. */
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
    // An earlier send of the caller's key may have run; only the claim can tell.
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
