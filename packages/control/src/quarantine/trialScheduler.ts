/**
 * Trials of requests in quarantine: one send of one request by one router at a time, so that a harmful one ends one server more and not
 * one for each router, and its end is not put down to another that is tried beside it.
 */
import type { RequestFingerprint, TimerService } from '@spoolgate/core'
import { QUARANTINE_BOUNDS, type QuarantineState } from '../state/quarantineState.js'
import { createFingerprintMap } from './fingerprintMap.js'
import { findQuarantineMs } from './crashReport.js'

/** Options of {@link createTrialScheduler}. */
export interface TrialSchedulerOptions {
  readonly quarantine: Pick<QuarantineState, 'find'>
  readonly timers: TimerService
}

/** See {@link createTrialScheduler}. */
export interface TrialScheduler {
  /** Notes that a router did not try what it might have tried. */
  recordUntried(request: RequestFingerprint): void
  /** Forgets a request that was answered: its next quarantine is another one. */
  remove(request: RequestFingerprint): void
  /** Forgets everything, as a new leader must. */
  reset(): void
  /** Chooses which of the requests that a router was asked for it may send once; undefined for none. */
  choose(asked: readonly RequestFingerprint[]): RequestFingerprint | undefined
}

/** A round of a request in quarantine. */
interface QuarantineRound {
  readonly round: number
  /** When a router was first asked for it, in ms of the monotonic clock. */
  readonly since: number
  /** When it was last tried; -Infinity for never. */
  triedAt: number
}

/** Time for which nothing else is tried, in ms: twice as long as a router keeps a trial that nobody asks for. */
const TRIAL_TIMEOUT_MS = 4_000
/** Time after which a trial without a result is made again, in ms: above the deadlines of the users' callers. */
const TRIAL_RETRY_MS = 20_000

/** Creates trials, none of them in progress. */
export function createTrialScheduler({
  quarantine,
  timers,
}: TrialSchedulerOptions): TrialScheduler {
  const rounds = createFingerprintMap<QuarantineRound>(QUARANTINE_BOUNDS)
  let current: { readonly request: RequestFingerprint; readonly state: QuarantineRound } | undefined

  const findRound = (request: RequestFingerprint): QuarantineRound | undefined => {
    const round = quarantine.find(request)?.round
    if (round === undefined) return undefined
    const known = rounds.find(request)
    if (known?.round === round) return known
    const started = { round, since: timers.now(), triedAt: -Infinity }
    rounds.add(request, started)
    return started
  }
  const isDue = (request: RequestFingerprint) => {
    const known = findRound(request)
    if (!known) return false
    const now = timers.now()
    return (
      now - known.since >= findQuarantineMs(known.round) && now - known.triedAt >= TRIAL_RETRY_MS
    )
  }
  const isUnderWay = () =>
    current !== undefined &&
    quarantine.find(current.request)?.round === current.state.round &&
    timers.now() - current.state.triedAt < TRIAL_TIMEOUT_MS
  return {
    recordUntried: (request) => {
      const known = rounds.find(request)
      if (known) known.triedAt = -Infinity
    },
    remove: (request) => void rounds.remove(request),
    reset: () => {
      rounds.clear()
      current = undefined
    },
    choose: (asked) => {
      const due = asked.filter(isDue)
      const [request] = due
      const state = request === undefined ? undefined : findRound(request)
      if (request === undefined || !state || isUnderWay()) return undefined
      state.triedAt = timers.now()
      current = { request, state }
      return request
    },
  }
}
