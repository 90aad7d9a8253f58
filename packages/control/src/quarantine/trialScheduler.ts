/**
 * Schedules the trials of quarantined requests: one send of one request by one router at a time. A harmful request thus
 * crashes one more server instead of one per router, and the crash is not attributed to another request on trial.
 */
import type { RequestFingerprint, TimerService } from '@spoolgate/core'
import { QUARANTINE_CAPACITY, type QuarantineState } from '../state/quarantineState.js'
import { createFingerprintMap } from './fingerprintMap.js'
import { findQuarantineMs } from './crashReport.js'

/** Options of {@link createTrialScheduler}. */
export interface TrialSchedulerOptions {
  readonly quarantine: Pick<QuarantineState, 'find'>
  readonly timers: TimerService
}

/** See {@link createTrialScheduler}. */
export interface TrialScheduler {
  /** Records that a router did not use the trial that it was granted. */
  recordUnusedTrial(request: RequestFingerprint): void
  /** Discards the state of a request that was answered, so that its next quarantine starts afresh. */
  remove(request: RequestFingerprint): void
  /** Discards all state, as a new leader must. */
  reset(): void
  /** Chooses which of the requests that a router has rejected it may send once; undefined for none. */
  choose(rejected: readonly RequestFingerprint[]): RequestFingerprint | undefined
}

/** State of a quarantined request in its current round. */
interface QuarantineRound {
  readonly round: number
  /** When a router first reported the request in this round, in ms of the monotonic clock. */
  readonly startedAt: number
  /** When a trial was last granted; -Infinity for never. */
  trialAt: number
}

/** Time during which no other trial is granted, in ms: twice as long as a router keeps an unused trial. */
const TRIAL_TIMEOUT_MS = 4_000
/** Time after which a trial without a result is repeated, in ms: longer than the deadlines of callers in production. */
const TRIAL_RETRY_MS = 20_000

/** Creates a scheduler without trials. */
export function createTrialScheduler({
  quarantine,
  timers,
}: TrialSchedulerOptions): TrialScheduler {
  const rounds = createFingerprintMap<QuarantineRound>(QUARANTINE_CAPACITY)
  let currentTrial:
    { readonly request: RequestFingerprint; readonly state: QuarantineRound } | undefined

  const findOrStartRound = (request: RequestFingerprint): QuarantineRound | undefined => {
    const round = quarantine.find(request)?.round
    if (round === undefined) return undefined
    const state = rounds.find(request)
    if (state?.round === round) return state
    const startedRound = { round, startedAt: timers.now(), trialAt: -Infinity }
    rounds.add(request, startedRound)
    return startedRound
  }
  const isDue = (request: RequestFingerprint) => {
    const state = findOrStartRound(request)
    if (!state) return false
    const now = timers.now()
    return (
      now - state.startedAt >= findQuarantineMs(state.round) &&
      now - state.trialAt >= TRIAL_RETRY_MS
    )
  }
  const isTrialRunning = () =>
    currentTrial !== undefined &&
    quarantine.find(currentTrial.request)?.round === currentTrial.state.round &&
    timers.now() - currentTrial.state.trialAt < TRIAL_TIMEOUT_MS
  return {
    recordUnusedTrial: (request) => {
      const state = rounds.find(request)
      if (state) state.trialAt = -Infinity
    },
    remove: (request) => void rounds.remove(request),
    reset: () => {
      rounds.clear()
      currentTrial = undefined
    },
    choose: (rejected) => {
      const due = rejected.filter(isDue)
      const [request] = due
      const state = request === undefined ? undefined : findOrStartRound(request)
      if (request === undefined || !state || isTrialRunning()) return undefined
      state.trialAt = timers.now()
      currentTrial = { request, state }
      return request
    },
  }
}
