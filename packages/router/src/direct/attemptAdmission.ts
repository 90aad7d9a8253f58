/** Admits one attempt to send a request: checks the team's quota, the quarantine and the available servers. */
import type { RequestFingerprint, SpoolgateError } from '@spoolgate/core'
import type { CallPlan } from './callPlan.js'
import type { Candidate } from './serverRanking.js'
import type { DirectContext } from './directContext.js'
import { takeQuota } from './sendQuota.js'
import { createQuarantineError, createUnavailableError } from './errorResponses.js'
import { chooseServer, type SendHistory } from './serverSelection.js'

/** Progress of a request across its attempts. */
export interface RequestState extends SendHistory {
  readonly fingerprint: RequestFingerprint
  /** Whether a server may have run the request. */
  readonly mayHaveRun: boolean
}

/** An attempt that may start. */
export interface AdmittedAttempt {
  readonly kind: 'admitted'
  readonly candidate: Candidate
  /** Quarantine round in which the request is sent. */
  readonly round: number
  /** Refunds the quota and returns the quarantine trial; called after an attempt that no server ran. */
  readonly release: () => void
}

/** An attempt that must not start. */
export interface RefusedAttempt {
  readonly kind: 'refused'
  readonly error: SpoolgateError
}

/** Admits the next attempt of a request, or returns the error to answer it with. */
export async function admitAttempt(
  context: DirectContext,
  plan: CallPlan,
  state: RequestState,
  log: (event: string, fields: Record<string, unknown>) => void,
): Promise<AdmittedAttempt | RefusedAttempt> {
  // A request that may have been run must not get an error that promises that it was not.
  const refuse = (error: SpoolgateError): RefusedAttempt => ({
    kind: 'refused',
    error: state.mayHaveRun ? createUnavailableError(true) : error,
  })
  const quotaDecision = await takeQuota(context, plan)
  if (quotaDecision.refusal) {
    log('call.quotaReached', quotaDecision.refusal.fields)
    context.instruments.quotaRefusals.add(1, { team: plan.team?.id ?? '' })
    return refuse(quotaDecision.refusal.error)
  }
  const quarantineDecision = context.quarantine.admit(state.fingerprint)
  if (quarantineDecision.kind === 'refused') {
    quotaDecision.refund()
    log('call.quarantined', { round: quarantineDecision.round, leftMs: quarantineDecision.leftMs })
    return refuse(createQuarantineError(quarantineDecision.leftMs))
  }
  const release = () => {
    quotaDecision.refund()
    quarantineDecision.returnTrial()
  }
  const choice = chooseServer(context, plan, state, log)
  if (choice.kind === 'server') {
    return {
      kind: 'admitted',
      candidate: choice.candidate,
      round: quarantineDecision.round,
      release,
    }
  }
  release()
  return refuse(createUnavailableError(false, choice.retryAfterSeconds))
}
