/**
 * Schedules the trials of quarantined parts: one send of one part by one router at a time. Only requests that a router has
 * refused are tried.
 */
import type { PromptPartId, TimerService } from '@spoolgate/core'
import type { QuarantinedPartState } from '../state/quarantinedPartState.js'
import { findPartQuarantineMs } from './partReport.js'

/** Options of {@link createPartTrials}. */
export interface PartTrialsOptions {
  readonly parts: Pick<QuarantinedPartState, 'find'>
  readonly timers: TimerService
}

/** Trial of a part, for operators. */
export interface PartTrialStatus {
  readonly trialInMs: number | undefined
  readonly rejections: number
}

/** See {@link createPartTrials}. */
export interface PartTrials {
  /** Chooses which of the parts that a router has refused it may send once; undefined for none. */
  choose(rejected: readonly PromptPartId[]): PromptPartId | undefined
  /** Whether a send of the part that started at an instant of the monotonic clock is a trial. */
  isTrial(part: PromptPartId, sentAt: number): boolean
  findStatus(part: PromptPartId): PartTrialStatus
  /** Discards the state of a part that is released. */
  remove(part: PromptPartId): void
  /** Discards all state, as a new leader must. */
  reset(): void
}

/** State of a part in its current round. Instants are in ms of the monotonic clock. */
interface PartRound {
  readonly round: number
  /** When a router first reported in this round that it refused the part. */
  readonly startedAt: number
  trialAt: number
  rejections: number
}

/** Time during which no other part is tried, in ms: a request lasts this long at most in production. */
const TRIAL_TIMEOUT_MS = 20_000
/** Time after which a trial without a result is repeated, in ms. */
const TRIAL_RETRY_MS = 600_000

/** Creates a schedule without trials. */
export function createPartTrials({ parts, timers }: PartTrialsOptions): PartTrials {
  const rounds = new Map<PromptPartId, PartRound>()
  let lastTrialAt = -Infinity

  const findOrStartRound = (part: PromptPartId): PartRound | undefined => {
    const round = parts.find(part)?.round
    if (round === undefined) return undefined
    const state = rounds.get(part)
    if (state?.round === round) return state
    const started = {
      round,
      startedAt: timers.now(),
      trialAt: -Infinity,
      rejections: state?.rejections ?? 0,
    }
    rounds.set(part, started)
    return started
  }
  const findDueAt = ({ round, startedAt, trialAt }: PartRound) =>
    Math.max(startedAt + findPartQuarantineMs(round), trialAt + TRIAL_RETRY_MS)
  const recordRejection = (part: PromptPartId) => {
    const state = findOrStartRound(part)
    if (state) state.rejections += 1
  }
  const isDue = (part: PromptPartId) => {
    const state = findOrStartRound(part)
    return state !== undefined && timers.now() >= findDueAt(state)
  }
  return {
    choose: (rejected) => {
      rejected.forEach(recordRejection)
      if (timers.now() - lastTrialAt < TRIAL_TIMEOUT_MS) return undefined
      const due = rejected.find(isDue)
      const state = due === undefined ? undefined : findOrStartRound(due)
      if (!state) return undefined
      state.trialAt = timers.now()
      lastTrialAt = state.trialAt
      return due
    },
    isTrial: (part, sentAt) => {
      const { trialAt = -Infinity } = rounds.get(part) ?? {}
      return trialAt !== -Infinity && sentAt >= trialAt
    },
    findStatus: (part) => {
      const state = rounds.get(part)
      return {
        trialInMs: state && Math.max(0, Math.round(findDueAt(state) - timers.now())),
        rejections: state?.rejections ?? 0,
      }
    },
    remove: (part) => void rounds.delete(part),
    reset: () => {
      rounds.clear()
      lastTrialAt = -Infinity
    },
  }
}
