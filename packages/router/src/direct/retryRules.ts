/** Decides whether a request that may have run may be sent to another server. */
import type { CallPlan } from './callPlan.js'
import type { DirectContext } from './directContext.js'
import type { StreamRelay } from './responseRelay.js'
import type { SendHistory } from './serverSelection.js'

/** Whether the route, and what has been forwarded to the caller, allow the request to run again. */
export function isRetryable({ route }: CallPlan, relay: Pick<StreamRelay, 'hasBegun'>): boolean {
  if (route.repeatability === 'once') return false
  return !relay.hasBegun() || route.repeatability === 'resumable'
}

/** Takes one retry from the budget if the request may be sent to another server now. */
export function takeRetry(
  { retryBudget }: Pick<DirectContext, 'retryBudget'>,
  plan: CallPlan,
  relay: Pick<StreamRelay, 'hasBegun'>,
  { sentTo }: Pick<SendHistory, 'sentTo'>,
): boolean {
  if (!isRetryable(plan, relay)) return false
  if (sentTo.size >= plan.route.maxServers) return false
  return retryBudget.takeRetry(plan.group.name)
}
