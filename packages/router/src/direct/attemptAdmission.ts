/** Admits one attempt to send a request: checks the team's quota, the quarantines and the available servers. */
import { SpoolgateError, type PromptPartId } from '@spoolgate/core'
import type { CallLog, CallPlan } from './callTypes.js'
import type { Candidate } from './serverRanking.js'
import type { DirectContext } from './directContext.js'
import { takeQuota } from './sendQuota.js'
import {
  createPartQuarantineError,
  createQuarantineError,
  createUnavailableError,
} from './errorResponses.js'
import type { AdmittedEngine } from './engineAdmission.js'
import {
  admitToEngine,
  findEngineAdmission,
  type AdmittedCall,
  type WaitingState,
} from './engineSelection.js'
import type { Admission as QuarantineAdmission } from './requestQuarantine.js'
import { chooseServer } from './serverSelection.js'

/** Progress of a request across its attempts. */
export interface RequestState extends WaitingState {
  /** Whether a server may have run the request. */
  readonly mayHaveRun: boolean
  readonly sharedParts: readonly PromptPartId[]
}

/** An attempt that may start. */
export interface AdmittedAttempt {
  readonly kind: 'admitted'
  readonly candidate: Candidate
  /** Quarantine round in which the request is sent. */
  readonly round: number
  /** Ends the reservation of capacity, which the tracked call replaces; called when the attempt starts. */
  readonly recordStart: () => void
  /** Records the first event of the response. */
  readonly recordFirstEvent: () => void
  /** Records the end of the attempt. */
  readonly recordEnd: () => void
  /** Refunds the quota and returns the quarantine trial; called after an attempt that no server ran. */
  readonly release: () => void
}

/** An attempt that must not start. */
export interface RefusedAttempt {
  readonly kind: 'refused'
  readonly error: SpoolgateError
}

/** Refuses an attempt; a request that may have been run must not get an error that promises that it was not. */
function createRefusedAttempt({ mayHaveRun }: RequestState, error: SpoolgateError): RefusedAttempt {
  return { kind: 'refused', error: mayHaveRun ? createUnavailableError(true) : error }
}

/** Finds the error for a request whose prompt has a quarantined part. */
function findPartRefusal(
  { parts }: Pick<DirectContext, 'parts'>,
  { sharedParts }: RequestState,
  log: CallLog,
): SpoolgateError | undefined {
  const refusal = parts.findRefusal(sharedParts)
  if (!refusal) return undefined
  log('call.partQuarantined', { ...refusal })
  return createPartQuarantineError(refusal.leftMs)
}

/** Admits the request to the quarantines, or returns the error to answer it with. */
function admitToQuarantine(
  { quarantine, parts }: Pick<DirectContext, 'quarantine' | 'parts'>,
  state: RequestState,
  log: CallLog,
): QuarantineAdmission | SpoolgateError {
  const refusal = findPartRefusal({ parts }, state, log)
  if (refusal) return refusal
  const { fingerprint } = state
  const decision = quarantine.admit(fingerprint)
  if (decision.kind === 'admitted') return decision
  log('call.quarantined', { round: decision.round, leftMs: decision.leftMs })
  return createQuarantineError(decision.leftMs)
}

function finishReservation({ release, endPrefill }: AdmittedEngine['reservation']): void {
  release()
  endPrefill()
}

/** Waits for an engine with capacity. The request may be quarantined meanwhile, so that is checked again. */
async function admitFirstSend(
  call: AdmittedCall,
  state: RequestState,
  quarantined: QuarantineAdmission,
  refund: () => void,
): Promise<AdmittedAttempt | RefusedAttempt> {
  const verdict = await admitToEngine(call)
  const renewed =
    verdict.kind === 'engine' && quarantined.round === 0
      ? admitToQuarantine(call.context, state, call.log)
      : quarantined
  const release = () => {
    if (verdict.kind === 'engine') finishReservation(verdict.engine.reservation)
    refund()
    if (!(renewed instanceof SpoolgateError)) renewed.returnTrial()
  }
  if (verdict.kind === 'engine' && !(renewed instanceof SpoolgateError)) {
    const { candidate, reservation } = verdict.engine
    return {
      kind: 'admitted',
      candidate,
      round: renewed.round,
      recordStart: reservation.release,
      recordFirstEvent: () => {
        reservation.recordFirstEvent()
        reservation.endPrefill()
      },
      recordEnd: reservation.endPrefill,
      release,
    }
  }
  release()
  const error = verdict.kind === 'refused' ? verdict.error : renewed
  return createRefusedAttempt(state, error as SpoolgateError)
}

/** Admits the next attempt of a request, or returns the error to answer it with. */
export async function admitAttempt(
  context: DirectContext,
  plan: CallPlan,
  state: RequestState,
  log: CallLog,
): Promise<AdmittedAttempt | RefusedAttempt> {
  if (state.sends === 0) context.parts.recordRequest(plan.group.name, state.sharedParts)
  const quotaDecision = await takeQuota(context, plan)
  if (quotaDecision.refusal) {
    log('call.quotaReached', quotaDecision.refusal.fields)
    context.instruments.quotaRefusals.add(1, { team: plan.team?.id ?? '' })
    return createRefusedAttempt(state, quotaDecision.refusal.error)
  }
  const { refund } = quotaDecision
  const quarantined = admitToQuarantine(context, state, log)
  if (quarantined instanceof SpoolgateError) {
    refund()
    return createRefusedAttempt(state, quarantined)
  }
  const engineAdmission = findEngineAdmission(context, plan, state)
  if (engineAdmission)
    return admitFirstSend(
      { context, engineAdmission, plan, state, log },
      state,
      quarantined,
      refund,
    )
  const release = () => {
    refund()
    quarantined.returnTrial()
  }
  const choice = chooseServer(context, plan, state, log)
  if (choice.kind === 'server') {
    const { round } = quarantined
    return {
      kind: 'admitted',
      candidate: choice.candidate,
      round,
      recordStart: () => {},
      recordFirstEvent: () => {},
      recordEnd: () => {},
      release,
    }
  }
  release()
  return createRefusedAttempt(state, createUnavailableError(false, choice.retryAfterSeconds))
}
