/** Admission of one send of a request: by the limit of its team, by the quarantine, and by what servers can take. */
import type { RequestFingerprint, SpoolgateError } from '@spoolgate/core'
import type { CallPlan } from './callPlan.js'
import type { Candidate } from './serverRanking.js'
import type { DirectContext } from './directContext.js'
import { takeQuota } from './sendQuota.js'
import { createQuarantineError, createUnavailableError } from './errorResponses.js'
import { chooseServer, type SendHistory } from './serverSelection.js'

/** What has become of a request so far. */
export interface RequestState extends SendHistory {
  readonly fingerprint: RequestFingerprint
  /** Whether a server may have run the request. */
  readonly mayHaveRun: boolean
}

/** A send that may begin. */
export interface AdmittedSend {
  readonly kind: 'admitted'
  readonly candidate: Candidate
  /** Round of the quarantine in which it is sent. */
  readonly round: number
  /** Takes the admission back; for sends that no server began. */
  readonly giveBack: () => void
}

/** A send that must not begin. */
export interface RefusedSend {
  readonly kind: 'refused'
  readonly error: SpoolgateError
}

/** Admits the next send of a request, or says why it is refused. */
export async function admitSend(
  parts: DirectContext,
  plan: CallPlan,
  state: RequestState,
  log: (event: string, fields: Record<string, unknown>) => void,
): Promise<AdmittedSend | RefusedSend> {
  // A request that may have run is not refused as one that has not.
  const refuse = (error: SpoolgateError): RefusedSend => ({
    kind: 'refused',
    error: state.mayHaveRun ? createUnavailableError(true) : error,
  })
  const quota = await takeQuota(parts, plan)
  if (quota.refusal) {
    log('call.quotaReached', quota.refusal.fields)
    parts.instruments.quotaRefusals.add(1, { team: plan.team?.id ?? '' })
    return refuse(quota.refusal.error)
  }
  const held = parts.quarantine.admit(state.fingerprint)
  if (held.kind === 'refused') {
    quota.refund()
    log('call.quarantined', { round: held.round, leftMs: held.leftMs })
    return refuse(createQuarantineError(held.leftMs))
  }
  const giveBack = () => {
    quota.refund()
    held.returnTrial()
  }
  const choice = chooseServer(parts, plan, state, log)
  if (choice.kind === 'server') {
    return { kind: 'admitted', candidate: choice.candidate, round: held.round, giveBack }
  }
  giveBack()
  return refuse(createUnavailableError(false, choice.retryAfterSeconds))
}
