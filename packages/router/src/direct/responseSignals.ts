/** Handles the signals in the head of a backend server's response: requested backoff, rate limit and shutdown. */
import { MAX_BACKOFF_MS } from '@spoolgate/routing'
import type { RegisteredServer, ServerLoad, ServerLoads } from '@spoolgate/control'
import type { BackendServerId } from '@spoolgate/core'
import type { ResponseHead, DirectCall, LimitSignal, BackoffSignal } from './protocols.js'
import type { DirectContext } from './directContext.js'

type SignalContext = Pick<
  DirectContext,
  'backpressure' | 'limits' | 'rejectedInputs' | 'logger' | 'timers'
>

/** The head of a response, with the time at which its request was sent, in ms. */
type ResponseSignals = ResponseHead & { readonly sentAt: number }

const NO_LOAD: ServerLoad = { calls: 0, promptTokens: 0 }

/** Explains why a Retry-After is rejected or capped; undefined if it is used unchanged. */
function findBackoffProblem(backoff: BackoffSignal): string | undefined {
  if (backoff.kind === 'unreadable') return 'not a number of seconds; the backoff is ignored'
  if (backoff.ms > MAX_BACKOFF_MS) return `longer than the maximum of ${MAX_BACKOFF_MS} ms`
  return undefined
}

function recordBackoff(
  context: SignalContext,
  call: DirectCall,
  { id }: RegisteredServer,
  backoff: BackoffSignal,
) {
  const { backpressure, rejectedInputs, logger, timers } = context
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
    const reason = 'not a number of requests per second; the limit is unchanged'
    rejectedInputs.record({ source: 'limit', from: id, reason })
    return
  }
  const perSecond = limit.kind === 'named' ? limit.perSecond : undefined
  if (!limits.recordResponse(id, { perSecond, sentAt }, timers.now())) return
  const event = limit.kind === 'named' ? 'server.limitNamed' : 'server.limitWithdrawn'
  logger.info(event, { server: id, request: call.id, perSecond })
}

/** Adds the servers that requested a backoff to the loads that a router reports. */
export function addBackoffs(
  loads: ServerLoads,
  backingOff: readonly BackendServerId[],
): ServerLoads {
  if (backingOff.length === 0) return loads
  const reported: Record<string, ServerLoad> = { ...loads }
  for (const id of backingOff) reported[id] = { ...(loads[id] ?? NO_LOAD), backoffs: 1 }
  return reported
}

/** Records the signals in the head of a response before the next server is chosen. */
export function recordResponseSignals(
  context: SignalContext,
  call: DirectCall,
  server: RegisteredServer,
  { backoff, limit, isLeaving, sentAt }: ResponseSignals,
): void {
  const { backpressure, logger, timers } = context
  if (backoff) recordBackoff(context, call, server, backoff)
  if (limit) recordLimit(context, call, server, limit, sentAt)
  if (!isLeaving) return
  if (backpressure.judgeSend(server.id, timers.now()).kind === 'leaving') return
  logger.info('server.leaving', { server: server.id, request: call.id, saidBy: 'server' })
  backpressure.recordLeaving(server.id, timers.now())
}
