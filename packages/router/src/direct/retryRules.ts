/** Decides whether a request may be sent to another server. */
import type { SpoolgateError } from '@spoolgate/core'
import type { CallLog, CallPlan } from './callTypes.js'
import type { DirectContext } from './directContext.js'
import type { StreamRelay } from './responseRelay.js'
import { listRefusalFields } from './gracefulShutdown.js'
import type { SendHistory } from './serverSelection.js'

/** Whether the route, and what has been forwarded to the caller, allow the request to run again. */
export function isRetryable({ route }: CallPlan, relay: Pick<StreamRelay, 'hasBegun'>): boolean {
  if (route.repeatability === 'once') return false
  return !relay.hasBegun() || route.repeatability === 'resumable'
}

/** Whether a request may be cancelled for a caller that seems to be gone: one that runs and cannot be repeated may not. */
export function isCancellable(
  { route }: CallPlan,
  { mayHaveRun }: { readonly mayHaveRun: boolean },
): boolean {
  return route.isStream || route.repeatability !== 'once' || !mayHaveRun
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

/**
 * Returns the error for a request that must not be retried because this router is shutting down. A request that no server
 * ran can still be sent through another router, which has time to complete it; one that may have run stays with this
 * router. The first attempt was checked before.
 */
export function findRetryRefusal(
  { shutdown }: Pick<DirectContext, 'shutdown'>,
  plan: CallPlan,
  { sends, mayHaveRun }: Pick<SendHistory, 'sends'> & { readonly mayHaveRun: boolean },
  log: CallLog,
): SpoolgateError | undefined {
  if (sends === 0 || mayHaveRun) return undefined
  const refusal = shutdown.findRefusal(plan)
  if (refusal) log('call.notSentAgain', listRefusalFields(refusal))
  return refusal
}
