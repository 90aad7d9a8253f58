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
  readonly release: () => void
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
  const quotaDecision = await takeQuota(parts, plan)
  if (quotaDecision.refusal) {
    log('call.quotaReached', quotaDecision.refusal.fields)
    parts.instruments.quotaRefusals.add(1, { team: plan.team?.id ?? '' })
    return refuse(quotaDecision.refusal.error)
  }
  const quarantineDecision = parts.quarantine.admit(state.fingerprint)
  if (quarantineDecision.kind === 'refused') {
    quotaDecision.giveBack()
    log('call.quarantined', { round: quarantineDecision.round, leftMs: quarantineDecision.leftMs })
    return refuse(createQuarantineError(quarantineDecision.leftMs))
  }
  const release = () => {
    quotaDecision.giveBack()
    quarantineDecision.giveBack()
  }
  const choice = chooseSend(parts, plan, state, log)
  if (choice.kind === 'server') {
    return {
      kind: 'admitted',
      candidate: choice.candidate,
      round: quarantineDecision.round,
      release: release,
    }
  }
  release()
  return refuse(createUnavailableError(false, choice.retryAfterSeconds))
}
