/** Team quotas on the request path: the cost of one send, and the error response when the quota is exhausted. */
import { SpoolgateError } from '@spoolgate/core'
import type { TeamQuota } from '@spoolgate/routing'
import type { CallPlan } from './callTypes.js'
import type { DirectCall } from './protocols.js'
import type { DirectContext } from './directContext.js'
import { drawRetryAfterSeconds } from './errorResponses.js'

/** A refusal by the quota, with the figures behind it as log fields. */
export interface QuotaRefusal {
  readonly error: SpoolgateError
  readonly fields: Readonly<Record<string, unknown>>
}

/** The quota decision on one send. */
export interface QuotaDecision {
  /** Undefined if the send is admitted. */
  readonly refusal: QuotaRefusal | undefined
  /** Refunds the quota that was charged for a send that no server ran. */
  readonly refund: () => void
}

const UNLIMITED: QuotaDecision = { refusal: undefined, refund: () => {} }

function measureCost(
  context: DirectContext,
  { unit, uncountedTokens }: TeamQuota,
  call: DirectCall,
) {
  if (unit === 'requests') return 1
  const { tokenCount } = call
  if (tokenCount !== 'unreadable') return tokenCount ?? uncountedTokens
  const reason = 'invalid token count; counted as a request without a token count'
  context.rejectedInputs.record({ source: 'tokenCount', from: call.id, reason })
  return uncountedTokens
}

/** Charges one send of a request to the quota of its team, or refuses it. */
export async function takeQuota(context: DirectContext, plan: CallPlan): Promise<QuotaDecision> {
  const { team, call } = plan
  const quota = team?.quota
  if (!team || !quota) return UNLIMITED
  const charge = { team: team.id, quota, cost: measureCost(context, quota, call) }
  const verdict = await context.quotas.admit(charge)
  if (verdict.kind === 'admitted') {
    return { refusal: undefined, refund: () => context.quotas.refund(charge) }
  }
  const { perSecond, burst, unit } = quota
  const retryAfterSeconds = drawRetryAfterSeconds(verdict.retryAfterMs, context.random)
  const message = `the limit of the team, ${perSecond} ${unit} a second, is reached; send less or try again later`
  const error = new SpoolgateError('limitReached', message, { retryAfterSeconds })
  const { held, isScarce, contactAgeMs } = verdict
  const figures = { held, isScarce, contactAgeMs, retryAfterSeconds }
  const fields = { team: team.id, unit, perSecond, burst, cost: charge.cost, ...figures }
  return { ...UNLIMITED, refusal: { error, fields } }
}
