/**
 * Rejects requests under which backend servers crash and which control has quarantined, and reports to control what
 * became of them: one such request, retried by its caller, can take a whole service down.
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
  readonly record: CrashReportBuffer
  readonly timers: TimerService
  readonly logger: Logger
}

/** A request that may be sent once. */
export interface Admission {
  readonly kind: 'admitted'
  /** Round of the quarantine of which this send is the trial; 0 for none. */
  readonly round: number
  /** Says that there was no server to send it to, or that the server did not take it. */
  giveBack(): void
}

/** A request that may not be sent. */
export interface Refusal {
  readonly kind: 'refused'
  /** 0 where this router alone has decided. */
  readonly round: number
  /** Time after which its caller may ask again, in ms. */
  readonly leftMs: number
}

/** See {@link createRequestQuarantine}. */
export interface RequestQuarantine {
  /** Asks whether a request may be sent now. */
  admit(request: RequestFingerprint): Admission | Refusal
  /** Notes that a request was answered whole. */
  recordAnswered(request: RequestFingerprint): void
  /** Notes that a server ended under a send. */
  recordEnd(server: BackendServerId, request: RequestFingerprint, round: number): void
  /** Takes over all requests that control suspects or holds in quarantine. */
  apply(suspects: readonly SuspectedRequest[]): void
  /** Takes over that a request may be sent once. */
  recordTrial(request: RequestFingerprint): void
  /** Counts the requests in quarantine. */
  countHeld(): number
}

/** A trial that nobody has asked for yet. */
interface Trial {
  readonly request: RequestFingerprint
  isUsed: boolean
}

/** Time for which a trial waits until the request comes again, in ms; then another router may have it. */
const TRIAL_MS = 2_000
/**
 * Lower bound on the Retry-After of a quarantined request, in ms. A harmless one is probed with what other callers
 * send.
 */
const MIN_COME_BACK_MS = 60_000

const ADMITTED: Admission = { kind: 'admitted', round: 0, giveBack: () => {} }

/** Creates a quarantine without requests. */
export function createRequestQuarantine(options: RequestQuarantineOptions): RequestQuarantine {
  const { record, timers, logger } = options
  /** Rounds of the requests that control has quarantined. */
  let rounds: ReadonlyMap<RequestFingerprint, number> = new Map()
  let trial: Trial | undefined

  const takeTrial = (request: RequestFingerprint, round: number): Admission | undefined => {
    const taken = trial
    if (taken?.request !== request || taken.isUsed) return undefined
    taken.isUsed = true
    const giveBack = () => {
      taken.isUsed = false
    }
    return { kind: 'admitted', round, giveBack }
  }
  const refuse = (round: number): Refusal => {
    const leftMs = Math.max(MIN_COME_BACK_MS, findQuarantineMs(round))
    return { kind: 'refused', round, leftMs }
  }
  return {
    admit: (request) => {
      const round = rounds.get(request) ?? 0
      if (round > 0) {
        const tried = takeTrial(request, round)
        if (tried) return tried
        record.addAsked(request)
        return refuse(round)
      }
      // Without a leader nobody else decides; one that has the report knows better.
      return record.countUnreportedExits(request) >= CRASHES_TO_QUARANTINE
        ? refuse(round)
        : ADMITTED
    },
    recordAnswered: (request) => {
      if (rounds.has(request)) record.addAnswered(request)
      else record.removeEnds(request)
    },
    recordEnd: (server, request, round) => record.addEnd(server, { request, round }),
    apply: (suspects) => {
      const next = new Map(suspects.map(({ request, round }) => [request, round]))
      for (const [request, round] of next) {
        if (round > (rounds.get(request) ?? 0)) {
          logger.warn('request.held', {
            fingerprint: request,
            round,
            holdMs: findQuarantineMs(round),
          })
        }
      }
      for (const [request, round] of rounds) {
        if (next.has(request)) continue
        record.removeEnds(request)
        logger.info('request.cleared', { fingerprint: request, round })
      }
      rounds = next
    },
    recordTrial: (request) => {
      const given: Trial = { request, isUsed: false }
      trial = given
      timers.after(TRIAL_MS).subscribe(() => {
        if (!given.isUsed) record.addUntried(request)
        if (trial === given) trial = undefined
      })
      logger.info('request.mayBeTried', { fingerprint: request, round: rounds.get(request) })
    },
    countHeld: () => [...rounds.values()].filter((round) => round > 0).length,
  }
}
