/**
 * Buffers a router's reports about parts of prompts until the control leader has received them, and the crashes for a while
 * afterwards: a new leader receives all of them again.
 */
import type { BackendServerId, PromptPartId, TimerService } from '@spoolgate/core'
import {
  MAX_PARTS_PER_CRASH,
  NEVER_ANSWERED,
  UNKNOWN_ANSWERED,
  type AnsweredPart,
  type PartCrash,
  type PartInFlight,
  type PartReport,
} from './partReport.js'

/** A call that was interrupted by a crash. Instants are in ms of the monotonic clock. */
export interface InterruptedParts {
  readonly server: BackendServerId
  readonly parts: readonly PromptPartId[]
  /** Share of each part, in the same order, of the router's recent requests to the group, in percent. */
  readonly sharesPercent: readonly number[]
  readonly sentAt: number
  readonly crashedAt: number
}

/** A report and what it was built from. */
export interface UnreportedParts {
  readonly report: PartReport
  readonly crashes: readonly BufferedCrash[]
  readonly answered: ReadonlyMap<PromptPartId, number>
}

/** An interrupted call with the progress of its report. */
export interface BufferedCrash extends InterruptedParts {
  /** Whether a leader has received it. */
  isReported: boolean
  /** Whether a report with it is in progress. */
  isSending: boolean
}

/** Options of {@link createPartCrashBuffer}. */
export interface PartCrashBufferOptions {
  readonly timers: TimerService
  /** Finds when this router last received a complete response to a request with the part. */
  readonly findAnsweredAt: (part: PromptPartId) => number | undefined
  /** Whether this router has received enough responses to tell that a part was never answered. */
  readonly hasEnoughResponses: () => boolean
}

/** See {@link createPartCrashBuffer}. */
export interface PartCrashBuffer {
  addCrash(call: InterruptedParts): void
  /** Records a complete response to a request with a listed part. */
  addAnswered(part: PromptPartId, at: number): void
  /** Records that a request with a quarantined part was refused. */
  addRejected(part: PromptPartId): void
  /** Counts the servers that crashed with the part in flight, each after it was sent again, and that no leader knows. */
  countUnreportedCrashes(part: PromptPartId): number
  /** Builds the report of everything that was not reported to the leader of the given term. */
  listUnreported(term: number): UnreportedParts
  /** Builds the report of crashes and responses for the leader that received the last one; undefined without any. */
  takeUrgent(): UnreportedParts | undefined
  /** Ends a report that was taken; `term` is that of the leader that received it, undefined if none did. */
  finishUrgent(urgent: UnreportedParts, term: number | undefined): void
  /** Records that the leader of the given term has received a report. */
  recordReported(unreported: UnreportedParts, term: number): void
}

/** How long crashes are kept for a new leader, in ms. */
const RETENTION_MS = 60_000
/** Maximum number of interrupted calls kept: a production router has 75 requests in flight if all engines crash. */
const MAX_CRASHES = 1_000
/** Maximum number of rejected parts per report. */
const MAX_REJECTED = 64
/** Maximum number of parts whose responses wait to be reported. */
const MAX_ANSWERED = 1_024

/** Finds the newest send of each part among the interrupted calls of one server. */
function listParts(
  calls: readonly InterruptedParts[],
  crashedAt: number,
  findAnsweredAgeMs: (part: PromptPartId) => number,
): PartInFlight[] {
  const found = new Map<PromptPartId, { sends: number; sentAt: number; sharePercent: number }>()
  for (const { parts, sharesPercent, sentAt } of calls) {
    for (const [index, part] of parts.entries()) {
      const known = found.get(part)
      found.set(part, {
        sends: (known?.sends ?? 0) + 1,
        sentAt: Math.max(known?.sentAt ?? -Infinity, sentAt),
        sharePercent: sharesPercent[index],
      })
    }
  }
  const inFlight = [...found].map(([part, { sends, sentAt, sharePercent }]): PartInFlight => [
    part,
    sends,
    Math.max(0, Math.round(crashedAt - sentAt)),
    findAnsweredAgeMs(part),
    sharePercent,
  ])
  // Only parts without a response are likely causes, and among them those that were sent last.
  const sorted = inFlight.sort(
    ([, , heldA, a], [, , heldB, b]) => Number(a >= 0) - Number(b >= 0) || heldA - heldB,
  )
  return sorted.slice(0, MAX_PARTS_PER_CRASH)
}

/** Creates an empty buffer. */
export function createPartCrashBuffer(options: PartCrashBufferOptions): PartCrashBuffer {
  const { timers, findAnsweredAt, hasEnoughResponses } = options
  const crashes = new Set<BufferedCrash>()
  /** Those of them that the leader of the last term has not received. */
  let pending = new Set<BufferedCrash>()
  const answered = new Map<PromptPartId, number>()
  const rejected = new Set<PromptPartId>()
  let lastTerm: number | undefined

  const removeOld = () => {
    const oldest = timers.now() - RETENTION_MS
    for (const crash of crashes) {
      if (crash.crashedAt > oldest && crashes.size <= MAX_CRASHES) return
      crashes.delete(crash)
      pending.delete(crash)
    }
  }
  const findAnsweredAgeMs = (part: PromptPartId) => {
    const at = findAnsweredAt(part)
    if (at !== undefined) return Math.round(timers.now() - at)
    return hasEnoughResponses() ? NEVER_ANSWERED : UNKNOWN_ANSWERED
  }
  const buildCrash = (server: BackendServerId, calls: readonly BufferedCrash[]): PartCrash => {
    const crashedAt = Math.min(...calls.map((call) => call.crashedAt))
    return {
      server,
      ageMs: Math.round(timers.now() - crashedAt),
      parts: listParts(calls, crashedAt, findAnsweredAgeMs),
    }
  }
  const build = (term: number | undefined, rejectedParts: readonly PromptPartId[]) => {
    removeOld()
    const unreported = [...(term === lastTerm ? pending : crashes)].filter(
      ({ isSending }) => !isSending,
    )
    const servers = [...new Set(unreported.map(({ server }) => server))]
    const report: PartReport = {
      crashes: servers.map((server) =>
        buildCrash(
          server,
          unreported.filter((call) => call.server === server),
        ),
      ),
      answered: [...answered].map(([part, at]): AnsweredPart => [
        part,
        Math.round(timers.now() - at),
      ]),
      rejected: rejectedParts,
    }
    return { report, crashes: unreported, answered: new Map(answered) }
  }
  const recordReported = (unreported: UnreportedParts, term: number) => {
    if (term !== lastTerm) pending = new Set(crashes)
    lastTerm = term
    for (const crash of unreported.crashes) {
      crash.isReported = true
      pending.delete(crash)
    }
    for (const [part, at] of unreported.answered) {
      if (answered.get(part) === at) answered.delete(part)
    }
  }
  return {
    addCrash: (call) => {
      const buffered = { ...call, isReported: false, isSending: false }
      crashes.add(buffered)
      pending.add(buffered)
      removeOld()
    },
    addAnswered: (part, at) => {
      if (answered.size < MAX_ANSWERED || answered.has(part)) answered.set(part, at)
    },
    addRejected: (part) => {
      if (rejected.size < MAX_REJECTED) rejected.add(part)
    },
    countUnreportedCrashes: (part) => {
      let count = 0
      let lastAt = -Infinity
      for (const { parts, sentAt, crashedAt, isReported } of pending) {
        if (isReported || sentAt < lastAt || !parts.includes(part)) continue
        count += 1
        lastAt = crashedAt
      }
      return count
    },
    listUnreported: (term) => {
      const rejectedParts = [...rejected]
      // Not restored if the report is lost: requests that are still sent are rejected again.
      rejected.clear()
      return build(term, rejectedParts)
    },
    takeUrgent: () => {
      const urgent = build(lastTerm, [])
      if (urgent.crashes.length + urgent.answered.size === 0) return undefined
      for (const crash of urgent.crashes) crash.isSending = true
      return urgent
    },
    finishUrgent: (urgent, term) => {
      for (const crash of urgent.crashes) crash.isSending = false
      if (term !== undefined) recordReported(urgent, term)
    },
    recordReported,
  }
}
