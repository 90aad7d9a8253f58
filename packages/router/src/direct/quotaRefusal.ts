/** The limit of a team on the path of one request: what a send costs, and the answer to one beyond the limit. */
import { SpoolgateError } from '@spoolgate/core'
import type { TeamQuota } from '@spoolgate/routing'
import type { CallPlan } from './callPlan.js'
import type { DirectCall } from './protocols.js'
import type { DirectParts } from './directContext.js'
import { drawReturnSeconds } from './refusals.js'

/** A refusal with the figures that decided it. */
export interface QuotaRefusal {
  readonly error: SpoolgateError
  readonly fields: Readonly<Record<string, unknown>>
}

/** What was decided of one send. */
export interface QuotaDecision {
  /** Undefined where the send is admitted. */
  readonly refusal: QuotaRefusal | undefined
  /** Gives back what the send took; for sends that no server ran. */
  readonly giveBack: () => void
}

const NO_LIMIT: QuotaDecision = { refusal: undefined, giveBack: () => {} }

function measureCost(parts: DirectParts, { unit, uncountedTokens }: TeamQuota, call: DirectCall) {
  if (unit === 'requests') return 1
  const { tokenCount } = call
  if (tokenCount !== 'unreadable') return tokenCount ?? uncountedTokens
  const reason = 'the token count cannot be read; it counts as a request without one'
  parts.rejectedInputs.record({ source: 'tokenCount', from: call.id, reason })
  return uncountedTokens
}

/** Admits one send of a request by the limit of its team, or refuses it. */
export async function admitQuota(parts: DirectParts, plan: CallPlan): Promise<QuotaDecision> {
  const { team, call } = plan
  const quota = team?.quota
  if (!team || !quota) return NO_LIMIT
  const use = { team: team.id, quota, cost: measureCost(parts, quota, call) }
  const verdict = await parts.quotas.admit(use)
  if (verdict.kind === 'admitted') {
    return { refusal: undefined, giveBack: () => parts.quotas.giveBack(use) }
  }
  const { perSecond, burst, unit } = quota
  const retryAfterSeconds = drawReturnSeconds(verdict.retryAfterMs, parts.random)
  const message = `the limit of the team, ${perSecond} ${unit} a second, is reached; send less or try again later`
  const error = new SpoolgateError('limitReached', message, { retryAfterSeconds })
  const { held, isScarce, contactAgeMs } = verdict
  const figures = { held, isScarce, contactAgeMs, retryAfterSeconds }
  const fields = { team: team.id, unit, perSecond, burst, cost: use.cost, ...figures }
  return { ...NO_LIMIT, refusal: { error, fields } }
}
