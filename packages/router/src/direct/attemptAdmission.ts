/** Admission of one send of a request: by the limit of its team, by the quarantine, and by what servers can take. */
import type { RequestFingerprint, SpoolgateError } from '@spoolgate/core'
import type { CallPlan } from './callPlan.js'
import type { Candidate } from './choice.js'
import type { DirectParts } from './directParts.js'
import { takeQuota } from './sendQuota.js'
import { createQuarantineError, createUnavailableError } from './errorResponses.js'
import { chooseSend, type SendsSoFar } from './sendChoice.js'

/** What has become of a request so far. */
export interface RequestState extends SendsSoFar {
  readonly fingerprint: RequestFingerprint
  /** Whether a server may have run the request. */
  readonly mayHaveRun: boolean
}

/** A send that may begin. */
export interface AdmittedAttempt {
  readonly kind: 'admitted'
  readonly candidate: Candidate
  /** Round of the quarantine in which it is sent. */
  readonly round: number
  /** Takes the admission back; for sends that no server began. */
  readonly giveBack: () => void
}

/** A send that must not begin. */
export interface RefusedAttempt {
  readonly kind: 'refused'
  readonly error: SpoolgateError
}

/** Admits the next send of a request, or says why it is refused. */
export async function admitAttempt(
  parts: DirectParts,
  plan: CallPlan,
  state: RequestState,
  log: (event: string, fields: Record<string, unknown>) => void,
): Promise<AdmittedAttempt | RefusedAttempt> {
  // A request that may have run is not refused as one that has not.
  const refuse = (error: SpoolgateError): RefusedAttempt => ({
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
    quota.giveBack()
    log('call.quarantined', { round: held.round, leftMs: held.leftMs })
    return refuse(createQuarantineError(held.leftMs))
  }
  const giveBack = () => {
    quota.giveBack()
    held.giveBack()
  }
  const choice = chooseSend(parts, plan, state, log)
  if (choice.kind === 'server') {
    return { kind: 'admitted', candidate: choice.candidate, round: held.round, giveBack }
  }
  giveBack()
  return refuse(createUnavailableError(false, choice.retryAfterSeconds))
}
