/**
 * Refuses requests that crash backend servers and that control has quarantined, and reports their outcomes to
 * control: a single such request, retried by its caller, can take down a whole service.
 */
import {
  CRASHES_TO_QUARANTINE,
  findQuarantineMs,
  type CrashReportBuffer,
  type SuspectedRequest,
} from '@spoolgate/control'
import type { BackendServerId, Logger, RequestFingerprint, TimerService } from '@spoolgate/core'

/** Options of {@link createRequestQuarantine}. */
export interface RequestQuarantineOptions {
  readonly crashReports: CrashReportBuffer
  readonly timers: TimerService
  readonly logger: Logger
}

/** A request that may be sent once. */
export interface Admission {
  readonly kind: 'admitted'
  /** Quarantine round for which this send is the trial; 0 if it is not a trial. */
  readonly round: number
  /** Returns the trial when no server was available or the server did not accept the request. */
  returnTrial(): void
}

/** A request that may not be sent. */
export interface Refusal {
  readonly kind: 'refused'
  /** Quarantine round; 0 if this router decided without control. */
  readonly round: number
  /** Time after which the caller may retry, in ms. */
  readonly leftMs: number
}

/** See {@link createRequestQuarantine}. */
export interface RequestQuarantine {
  /** Decides whether a request may be sent now. */
  admit(request: RequestFingerprint): Admission | Refusal
  /** Records that a request was answered completely. */
  recordAnswered(request: RequestFingerprint): void
  /** Records that a server crashed during a send. */
  recordCrash(server: BackendServerId, request: RequestFingerprint, round: number): void
  /** Replaces the set of requests that control suspects or has quarantined. */
  applySuspects(suspects: readonly SuspectedRequest[]): void
  /** Grants one trial send of a quarantined request. */
  grantTrial(request: RequestFingerprint): void
  /** Counts the quarantined requests. */
  countQuarantined(): number
}

/** A granted trial, which the next send of the request uses. */
interface Trial {
  readonly request: RequestFingerprint
  isUsed: boolean
}

/** Time that an unused trial stays valid, in ms; after that control may grant it to another router. */
const TRIAL_TIMEOUT_MS = 2_000
/**
 * Lower bound on the Retry-After of a quarantined request, in ms. It may exceed the quarantine, because the trial
 * that clears a harmless request can use a send by any caller.
 */
const MIN_RETRY_AFTER_MS = 60_000

const ADMITTED: Admission = { kind: 'admitted', round: 0, returnTrial: () => {} }

/** Creates an empty quarantine. */
export function createRequestQuarantine(options: RequestQuarantineOptions): RequestQuarantine {
  const { crashReports, timers, logger } = options
  /** Quarantine round by request, as reported by control; 0 for requests that are only suspected. */
  let rounds: ReadonlyMap<RequestFingerprint, number> = new Map()
  let trial: Trial | undefined

  const takeTrial = (request: RequestFingerprint, round: number): Admission | undefined => {
    const pendingTrial = trial
    if (pendingTrial?.request !== request || pendingTrial.isUsed) return undefined
    pendingTrial.isUsed = true
    const returnTrial = () => {
      pendingTrial.isUsed = false
    }
    return { kind: 'admitted', round, returnTrial }
  }
  const refuse = (round: number): Refusal => {
    const leftMs = Math.max(MIN_RETRY_AFTER_MS, findQuarantineMs(round))
    return { kind: 'refused', round, leftMs }
  }
  return {
    admit: (request) => {
      const round = rounds.get(request) ?? 0
      if (round > 0) {
        const trialAdmission = takeTrial(request, round)
        if (trialAdmission) return trialAdmission
        crashReports.addRejected(request)
        return refuse(round)
      }
      // Decides locally only on crashes that no leader has received: once reported, the leader's decision applies.
      return crashReports.countUnreportedCrashes(request) >= CRASHES_TO_QUARANTINE
        ? refuse(round)
        : ADMITTED
    },
    recordAnswered: (request) => {
      if (rounds.has(request)) crashReports.addAnswered(request)
      else crashReports.removeCrashes(request)
    },
    recordCrash: (server, request, round) => crashReports.addCrash(server, { request, round }),
    applySuspects: (suspects) => {
      const updatedRounds = new Map(suspects.map(({ request, round }) => [request, round]))
      for (const [request, round] of updatedRounds) {
        if (round > (rounds.get(request) ?? 0)) {
          logger.warn('request.held', {
            fingerprint: request,
            round,
            holdMs: findQuarantineMs(round),
          })
        }
      }
      for (const [request, round] of rounds) {
        if (updatedRounds.has(request)) continue
        crashReports.removeCrashes(request)
        logger.info('request.cleared', { fingerprint: request, round })
      }
      rounds = updatedRounds
    },
    grantTrial: (request) => {
      const grantedTrial: Trial = { request, isUsed: false }
      trial = grantedTrial
      timers.after(TRIAL_TIMEOUT_MS).subscribe(() => {
        if (!grantedTrial.isUsed) crashReports.addUnusedTrial(request)
        if (trial === grantedTrial) trial = undefined
      })
      logger.info('request.mayBeTried', { fingerprint: request, round: rounds.get(request) })
    },
    countQuarantined: () => [...rounds.values()].filter((round) => round > 0).length,
  }
}
