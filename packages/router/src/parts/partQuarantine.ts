/**
 * Refuses requests with a part that crashes engines and that control has quarantined, and collects the evidence for
 * control: which parts were in flight at servers that crashed, and which were answered completely.
 */
import {
  findPartQuarantineMs,
  type ListedPart,
  type PartCrashBuffer,
  type InterruptedParts,
} from '@spoolgate/control'
import { waitFor, type Logger, type PromptPartId, type TimerService } from '@spoolgate/core'

/** Options of {@link createPartQuarantine}. */
export interface PartQuarantineOptions {
  readonly buffer: Pick<
    PartCrashBuffer,
    'addCrash' | 'addAnswered' | 'addRejected' | 'countUnreportedCrashes'
  >
  /** Finds when this router last received a complete response to a request with the part. */
  readonly findAnsweredAt: (part: PromptPartId) => number | undefined
  /** Whether enough responses arrived to tell that a part is never answered. */
  readonly hasEnoughResponses: () => boolean
  /** Sends the buffered evidence to control without waiting for the next poll. */
  readonly sendReport: () => void
  readonly timers: TimerService
  readonly logger: Logger
}

/** A part for which a request must not be sent. */
export interface PartRefusal {
  readonly part: PromptPartId
  /** Quarantine round; 0 if this router decided without control. */
  readonly round: number
  /** Time after which the caller may retry, in ms. */
  readonly leftMs: number
}

/** See {@link createPartQuarantine}. */
export interface PartQuarantine {
  /** Finds the part for which a request must not be sent now; a granted trial allows one request. */
  findRefusal(parts: readonly PromptPartId[]): PartRefusal | undefined
  /**
   * Waits before a request whose connection was lost is sent again: control may be about to quarantine one of its parts.
   * Resolves at once if all of them were answered before.
   */
  waitForVerdict(parts: readonly PromptPartId[]): Promise<void>
  /** Records that a server crashed with the parts in flight. */
  recordCrash(call: InterruptedParts): void
  /** Records a complete response to a request with the part. */
  recordAnswered(part: PromptPartId, at: number): void
  /** Replaces the list of parts that control suspects or has quarantined. */
  applyListed(listed: readonly ListedPart[]): void
  /** Grants one trial send of a quarantined part. */
  grantTrial(part: PromptPartId): void
  /** Counts the quarantined parts. */
  countQuarantined(): number
}

/** Time that an unused trial stays valid, in ms. */
const TRIAL_TIMEOUT_MS = 2_000
/** Time from a crash until the verdict on its parts has arrived, in ms: a report, a log entry and a poll. */
const VERDICT_MS = 100
/** Crashes after which this router refuses a part that was never answered until control has decided. */
const CRASHES_TO_REFUSE = 2
/** Retry-After of a part that control has not decided on, in ms: longer than the election of a leader. */
const UNDECIDED_RETRY_MS = 5_000

/** Creates an empty quarantine. */
export function createPartQuarantine(options: PartQuarantineOptions): PartQuarantine {
  const { buffer, findAnsweredAt, hasEnoughResponses, sendReport, timers, logger } = options
  /** Quarantine round by part, as listed by control; 0 for parts that are only suspected. */
  let rounds: ReadonlyMap<PromptPartId, number> = new Map()
  let trial: PromptPartId | undefined

  const isUndecidedRefused = (part: PromptPartId) =>
    buffer.countUnreportedCrashes(part) >= CRASHES_TO_REFUSE &&
    findAnsweredAt(part) === undefined &&
    hasEnoughResponses()
  const findPartRefusal = (part: PromptPartId): PartRefusal | undefined => {
    const round = rounds.get(part) ?? 0
    if (round > 0) return { part, round, leftMs: findPartQuarantineMs(round) }
    return isUndecidedRefused(part) ? { part, round, leftMs: UNDECIDED_RETRY_MS } : undefined
  }
  /** Takes the trial for a request that is refused for no other part. */
  const takeTrial = (refusals: readonly PartRefusal[]) => {
    if (trial === undefined || refusals.some(({ part }) => part !== trial)) return false
    trial = undefined
    return true
  }
  const reportAnswered = (part: PromptPartId) => {
    const at = findAnsweredAt(part)
    if (at !== undefined) buffer.addAnswered(part, at)
    return at !== undefined
  }
  return {
    findRefusal: (parts) => {
      const refusals = parts.flatMap((part) => findPartRefusal(part) ?? [])
      if (refusals.length === 0 || takeTrial(refusals)) return undefined
      for (const { part, round } of refusals) if (round > 0) buffer.addRejected(part)
      return refusals.reduce((a, b) => (b.leftMs > a.leftMs ? b : a))
    },
    waitForVerdict: async (parts) => {
      if (parts.some((part) => findAnsweredAt(part) === undefined))
        await waitFor(timers, VERDICT_MS)
    },
    recordCrash: (call) => {
      if (call.parts.length === 0) return
      buffer.addCrash(call)
      sendReport()
    },
    recordAnswered: (part, at) => {
      if (!rounds.has(part)) return
      buffer.addAnswered(part, at)
      sendReport()
    },
    applyListed: (listed) => {
      const before = rounds
      rounds = new Map(listed)
      for (const [part, round] of rounds) {
        if (round > (before.get(part) ?? 0))
          logger.warn('part.held', { part, round, holdMs: findPartQuarantineMs(round) })
      }
      for (const [part, round] of before) {
        if (round > 0 && !rounds.has(part)) logger.info('part.cleared', { part, round })
      }
      if (listed.filter(([part]) => reportAnswered(part)).length > 0) sendReport()
    },
    grantTrial: (part) => {
      trial = part
      logger.info('part.mayBeTried', { part, round: rounds.get(part) })
      timers.after(TRIAL_TIMEOUT_MS).subscribe(() => {
        if (trial === part) trial = undefined
      })
    },
    countQuarantined: () => [...rounds.values()].filter((round) => round > 0).length,
  }
}
