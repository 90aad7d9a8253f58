/** Watches attempts for what their connection does not show: a restart of the server, and weights that expire there. */
import type { RegisteredServer } from '@spoolgate/control'
import { Subscription } from 'rxjs'
import type { CallLog, CallPlan } from './callTypes.js'
import type { DirectContext } from './directContext.js'
import { watchStall } from './restartDetector.js'
import type { SendAttempt } from './sendAttempt.js'
import type { Candidate } from './serverRanking.js'

/** Options of {@link watchRestart}. */
export interface RestartWatchOptions {
  readonly context: DirectContext
  readonly server: RegisteredServer
  /** Returns when the last part of the response arrived, in ms of the monotonic clock. */
  readonly lastDataAt: () => number
  /** Returns the attempt in progress; undefined before it starts. */
  readonly findAttempt: () => SendAttempt | undefined
  /** Whether the request may be sent to another server. */
  readonly isRetryable: () => boolean
  readonly log: CallLog
}

/** Reason logged for a request that is withdrawn from an engine. */
const EXPIRED_REASON = 'the weights of the engine expired before the request began'

/** Watches an attempt for a restart of its server until it is unsubscribed. */
export function watchRestart(options: RestartWatchOptions): Subscription {
  const { context, server, findAttempt, log } = options
  const { id } = server
  return watchStall({
    restarts: context.restartDetector,
    timers: context.timers,
    server: id,
    lastDataAt: options.lastDataAt,
    onRestart: () => {
      log('call.serverRestarted', { server: id })
      findAttempt()?.enableKeepAliveProbes()
    },
    onStall: () => {
      if (options.isRetryable()) findAttempt()?.cancel()
    },
  })
}

/**
 * Withdraws an attempt if the weights of its engine expire before the response begins; watches until it is unsubscribed.
 * The head of a stream comes with its first token. Other responses have none until they are complete, so they are left
 * alone.
 */
export function watchWeights(
  { weightsExpiry, instruments }: DirectContext,
  { call, route, group }: CallPlan,
  { server, version }: Candidate,
  attempt: SendAttempt,
): Subscription {
  const { prompt } = call
  if (!prompt || !route.isStream) return Subscription.EMPTY
  const onExpired = () => {
    if (attempt.withdraw(EXPIRED_REASON)) instruments.withdrawals.add(1, { group: group.name })
  }
  return weightsExpiry.watch({ server: server.id, model: prompt.model, version, onExpired })
}
