/** Watches an attempt for what its connection does not show: a restart of its server, and weights that expire there. */
import type { Subscription } from 'rxjs'
import type { CallPlan } from './callPlan.js'
import type { DirectContext } from './directContext.js'
import { watchStall } from './restartDetector.js'
import type { SendAttempt } from './sendAttempt.js'
import type { Candidate } from './serverRanking.js'
import type { CallLog } from './serverSelection.js'

/** Options of {@link watchAttempt}. */
export interface AttemptWatchOptions {
  readonly context: DirectContext
  readonly plan: CallPlan
  readonly candidate: Candidate
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

/** Watches an attempt until it is unsubscribed. */
export function watchAttempt(options: AttemptWatchOptions): Subscription {
  const { context, plan, candidate, findAttempt, log } = options
  const { id } = candidate.server
  const { prompt } = plan.call
  const subscription = watchStall({
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
  if (!prompt) return subscription
  const onExpired = () => {
    const isWithdrawn = findAttempt()?.withdraw(EXPIRED_REASON)
    if (isWithdrawn) context.instruments.withdrawals.add(1, { group: plan.group.name })
  }
  const { version } = candidate
  const request = { server: id, model: prompt.model, version, onExpired }
  subscription.add(context.weightsExpiry.watch(request))
  return subscription
}
