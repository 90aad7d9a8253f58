/** What a backend server says of itself in an answer: that it wants nothing for a while, or is about to end. */
import { MAX_BACKOFF_MS } from '@spoolgate/routing'
import type { RegisteredServer, ServerLoad, ServerLoads } from '@spoolgate/control'
import type { BackendServerId } from '@spoolgate/core'
import type { ResponseHead, DirectCall, LimitSignal, BackoffSignal } from './protocols.js'
import type { DirectContext } from './directContext.js'

type SignalContext = Pick<
  DirectContext,
  'backpressure' | 'limits' | 'rejectedInputs' | 'logger' | 'timers'
>

/** The head of an answer, with the instant at which its request was sent, in ms. */
type ResponseSignals = ResponseHead & { readonly sentAt: number }

const NO_LOAD: ServerLoad = { calls: 0, promptTokens: 0 }

/** Names what is wrong with a Retry-After; undefined where it is used as it stands. */
function findBackoffProblem(backoff: BackoffSignal): string | undefined {
  if (backoff.kind === 'unreadable') return 'not a number of seconds; no backoff is presumed'
  if (backoff.ms > MAX_BACKOFF_MS) return `longer than the ${MAX_BACKOFF_MS} ms that are believed`
  return undefined
}

function recordBackoff(
  parts: SignalContext,
  call: DirectCall,
  { id }: RegisteredServer,
  backoff: BackoffSignal,
) {
  const { backpressure, rejectedInputs, logger, timers } = parts
  const reason = findBackoffProblem(backoff)
  if (reason) rejectedInputs.record({ source: 'backoff', from: id, reason })
  if (backoff.kind === 'unreadable') return
  logger.info('server.backoffRequested', { server: id, request: call.id, retryAfterMs: backoff.ms })
  backpressure.recordBackoff(id, backoff.ms, timers.now())
}

function recordLimit(
  { limits, rejectedInputs, logger, timers }: SignalContext,
  call: DirectCall,
  { id }: RegisteredServer,
  limit: LimitSignal,
  sentAt: number,
) {
  if (limit.kind === 'unreadable') {
    const reason = 'not a number of requests a second; the limit stays as it was'
    rejectedInputs.record({ source: 'limit', from: id, reason })
    return
  }
  const perSecond = limit.kind === 'named' ? limit.perSecond : undefined
  if (!limits.recordAnswer(id, { perSecond, sentAt }, timers.now())) return
  const event = limit.kind === 'named' ? 'server.limitNamed' : 'server.limitWithdrawn'
  logger.info(event, { server: id, request: call.id, perSecond })
}

/** Adds the servers that asked for a backoff to the loads that a router reports. */
export function addBackoffs(
  loads: ServerLoads,
  backingOff: readonly BackendServerId[],
): ServerLoads {
  if (backingOff.length === 0) return loads
  const reported: Record<string, ServerLoad> = { ...loads }
  for (const id of backingOff) reported[id] = { ...(loads[id] ?? NO_LOAD), backoffs: 1 }
  return reported
}

/** Takes note of what the head of an answer says of its server, before the next choice is made. */
export function recordResponseSignals(
  parts: SignalContext,
  call: DirectCall,
  server: RegisteredServer,
  { backoff, limit, isLeaving, sentAt }: ResponseSignals,
): void {
  const { backpressure, logger, timers } = parts
  if (backoff) recordBackoff(parts, call, server, backoff)
  if (limit) recordLimit(parts, call, server, limit, sentAt)
  if (!isLeaving) return
  if (backpressure.judgeSend(server.id, timers.now()).kind === 'leaving') return
  logger.info('server.leaving', { server: server.id, request: call.id, saidBy: 'server' })
  backpressure.recordLeaving(server.id, timers.now())
}
