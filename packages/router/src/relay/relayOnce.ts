/**
 * Serves a request that may run at most once. Before it is dispatched, a durable claim names the
 * one sidecar incarnation that may run it; another dispatch follows only when that one has been
 * barred. What nobody can tell is said to be unknown, and is never run again.
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
import { buildRefusal, chooseNext, recordDecline, type DeclineState } from './declines.js'
import type { RelayParts } from './relayParts.js'
import { sendAnswer, type WholeAnswer } from './sinks.js'
import {
  followDispatch,
  resolveLost,
  resolveResult,
  type DispatchOutcome,
} from './followDispatch.js'
import { parseKeptAnswer, toKeptAnswer } from './keptAnswer.js'

/** Idempotency key of a request. */
export interface IdempotencyKey {
  readonly key: string
  /** False when the router made the key, so that no earlier send can have used it. */
  readonly isCallers: boolean
}

const STATUS_TIMEOUT_MS = 1_000
const MAX_DISPATCHES = 8

function hashBody(context: CallContext): string {
  const hash = createHash('sha256')
  hash.update(`${context.method} ${context.path}\n`)
  return hash.update(context.body).digest('base64url')
}

function buildUnknownError(): SpoolgateError {
  return new SpoolgateError(
    'outcomeUnknown',
    'the request may or may not have run and will not be run again; check with the service itself',
  )
}

/** Finds which incarnation of a sidecar to name: from hints, or by asking it. */
async function findIncarnation(
  parts: RelayParts,
  server: BackendServer,
): Promise<Incarnation | undefined> {
  const known = parts.state.hints.find(server.id)?.hints.incarnation
  if (known) return known
  try {
    const url = `${server.sidecarUrl}/status`
    const request = { method: 'GET', url, timeoutMs: STATUS_TIMEOUT_MS }
    return (await parts.client.sendJson<{ incarnation: Incarnation }>(request)).incarnation
  } catch {
    return undefined
  }
}

interface OnceState extends DeclineState {
  readonly key: IdempotencyKey
  readonly bodyHash: string
}

async function openClaim(
  parts: RelayParts,
  context: CallContext,
  state: OnceState,
  server: BackendServerId,
  incarnation: Incarnation,
): Promise<OpenClaimResult> {
  const { team, request } = context
  const { key, bodyHash } = state
  try {
    const command = { kind: 'claim.open', team, key: key.key, bodyHash } as const
    return await parts.control.send<'claim.open'>({ ...command, request, server, incarnation })
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
  parts: RelayParts,
  dispatch: ClaimedDispatch,
  outcome: DispatchOutcome,
): Promise<void> {
  const { claim, number } = dispatch
  parts.instruments.claims.add(1, { outcome: outcome.kind })
  parts.logger.info('claim.settled', { claim, number, outcome: outcome.kind })
  if (outcome.kind === 'answered') {
    const answer = toKeptAnswer(outcome.answer)
    await parts.control.send<'claim.finish'>({ kind: 'claim.finish', claim, number, answer })
  } else if (outcome.kind === 'barred') {
    await parts.control.send<'claim.release'>({ kind: 'claim.release', claim, number })
  } else if (outcome.kind === 'unknown') {
    await parts.control.send<'claim.lose'>({ kind: 'claim.lose', claim, number })
  }
}

async function runDispatch(
  parts: RelayParts,
  context: CallContext,
  state: OnceState,
  fleet: Fleet,
  server: BackendServer,
  dispatch: ClaimedDispatch,
): Promise<DispatchOutcome> {
  const shared = buildCallHeader(context, fleet, parts.timers.now(), parts.timers.wallNow())
  const followed = followDispatch(context, server, dispatch, shared, parts)
  const result = await runAttempt(parts, followed.request)
  if (result.kind === 'declined') await recordDecline(parts, context, state, server, result)
  else if (result.kind !== 'finished') state.excluded.add(server.id)
  const { kind } = result
  parts.decisions.recordAttempt(context.request, { server: server.id, outcome: kind })
  return resolveResult(parts, followed, result)
}

/** Follows a dispatch that another request, perhaps of another router, was given. */
async function joinDispatch(
  parts: RelayParts,
  context: CallContext,
  fleet: Fleet,
  dispatch: ClaimedDispatch,
): Promise<DispatchOutcome> {
  const server = fleet.backendServers.get(dispatch.server)
  if (!server) return { kind: 'unreachable' }
  const shared = buildCallHeader(context, fleet, parts.timers.now(), parts.timers.wallNow())
  return resolveLost(parts, followDispatch(context, server, dispatch, shared, parts))
}

/** Takes in an outcome; returns the answer once there is one, throws what is final. */
async function applyOutcome(
  parts: RelayParts,
  state: OnceState,
  dispatch: ClaimedDispatch,
  outcome: DispatchOutcome,
): Promise<WholeAnswer | undefined> {
  if (outcome.kind === 'unreachable') {
    throw new SpoolgateError(
      'stillRunning',
      'the outcome is not known yet; send the same idempotency key again to learn it',
      { retryAfterSeconds: 2 },
    )
  }
  const settled = settleClaim(parts, dispatch, outcome)
  if (outcome.kind === 'answered') {
    // The caller has waited enough: the sidecar still holds the answer if this router dies now.
    parts.background(settled.catch(() => parts.logger.warn('claim.unsettled', { ...dispatch })))
    return outcome.answer
  }
  if (outcome.kind === 'unknown') {
    state.mayHaveRun = true
    await settled.catch(() => parts.logger.warn('claim.unsettled', { ...dispatch }))
    throw buildUnknownError()
  }
  await settled
  return undefined
}

async function runClaimed(
  parts: RelayParts,
  context: CallContext,
  state: OnceState,
): Promise<WholeAnswer> {
  for (let dispatches = 0; dispatches < MAX_DISPATCHES; dispatches += 1) {
    const fleet = parts.config.current()
    if (!fleet) throw new SpoolgateError('controlUnavailable', 'no configuration yet; try later')
    const { server } = (await chooseNext(parts, context, state, fleet)).chosen
    const incarnation = await findIncarnation(parts, server)
    if (!incarnation) {
      state.excluded.add(server.id)
      continue
    }
    const opened = await openClaim(parts, context, state, server.id, incarnation)
    const answer = await takeOpened(parts, context, state, fleet, server, opened)
    if (answer) return answer
  }
  throw buildRefusal(state)
}

async function takeOpened(
  parts: RelayParts,
  context: CallContext,
  state: OnceState,
  fleet: Fleet,
  server: BackendServer,
  opened: OpenClaimResult,
): Promise<WholeAnswer | undefined> {
  switch (opened.kind) {
    case 'granted': {
      const { dispatch } = opened
      // A grant means that every earlier dispatch of this key was barred.
      state.mayHaveRun = false
      const outcome = await runDispatch(parts, context, state, fleet, server, dispatch)
      return applyOutcome(parts, state, dispatch, outcome)
    }
    case 'running': {
      const outcome = await joinDispatch(parts, context, fleet, opened.dispatch)
      return applyOutcome(parts, state, opened.dispatch, outcome)
    }
    case 'finished':
      if (opened.answer) return parseKeptAnswer(opened.answer)
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
      throw buildUnknownError()
  }
}

/** Serves an unrepeatable request to its end. */
export async function relayOnce(
  parts: RelayParts,
  context: CallContext,
  key: IdempotencyKey,
): Promise<void> {
  const state: OnceState = {
    key,
    bodyHash: hashBody(context),
    excluded: new Set(),
    retryAfterMs: undefined,
    // An earlier send of the caller's key may have run; only the claim can tell.
    mayHaveRun: key.isCallers,
    misses: 0,
  }
  const team = context.team
  try {
    const work = runClaimed(parts, context, state)
    parts.background(work.catch(() => {}))
    const answer = await work
    parts.instruments.requests.add(1, { team, policy: 'once', outcome: 'finished' })
    parts.decisions.recordOutcome(context.request, 'finished', undefined)
    context.response.setHeader('idempotency-key', key.key)
    sendAnswer(context.response, answer)
  } catch (cause) {
    const error = toSpoolgateError(cause)
    const outcome = error.kind
    parts.invariants.assert(
      'notRunIsTrue',
      !error.notRun || !state.mayHaveRun || outcome === 'conflict',
    )
    parts.instruments.requests.add(1, { team, policy: 'once', outcome })
    parts.decisions.recordOutcome(context.request, outcome, undefined)
    throw cause
  }
}
