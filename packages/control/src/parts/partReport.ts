/**
 * Messages about parts of prompts that may crash engines. Unlike a request, a part has no identity of its own at the engine
 * that crashes: each engine was running many requests of several parts. Evidence is therefore collected per crash and part.
 */
import type { BackendServerId, PromptPartId } from '@spoolgate/core'

/** Path on the leader for reports that must not wait for the next poll. */
export const PART_REPORT_PATH = '/part-crashes'

/**
 * A part that was in flight at a server when it crashed, at one router: number of sends with it, time from the newest of
 * them to the crash in ms, time since the router last received a complete response to a request with it in ms, or a
 * constant below, and its share of the router's recent requests to the group, in percent.
 */
export type PartInFlight = readonly [
  part: PromptPartId,
  sends: number,
  heldMs: number,
  answeredAgeMs: number,
  sharePercent: number,
]

/** Stands for a part without a complete response at a router that has received enough of them to tell. */
export const NEVER_ANSWERED = -1
/** Stands for a part without a complete response at a router that has received too few of them. */
export const UNKNOWN_ANSWERED = -2

/** A crash with the parts that one router had in flight there. */
export interface PartCrash {
  readonly server: BackendServerId
  /** Time since the crash, in ms. */
  readonly ageMs: number
  readonly parts: readonly PartInFlight[]
}

/** A part with the time since its last complete response, in ms. */
export type AnsweredPart = readonly [part: PromptPartId, ageMs: number]

/** Report of a router to control. */
export interface PartReport {
  readonly crashes: readonly PartCrash[]
  /** Parts listed as suspected or quarantined for which this router has a complete response. */
  readonly answered: readonly AnsweredPart[]
  /** Quarantined parts whose requests were refused since the last report. */
  readonly rejected: readonly PromptPartId[]
}

/** Reply to a report that was sent outside of a poll. */
export interface PartReportReply {
  readonly term: number
}

/** A part as reported to routers, with its quarantine round, counted from 1; 0 while it is only suspected. */
export type ListedPart = readonly [part: PromptPartId, round: number]

/** Maximum number of parts of one crash in a report and at the leader. */
export const MAX_PARTS_PER_CRASH = 128

const MS_PER_MINUTE = 60_000
const MINUTES_PER_DAY = 1_440
/** Quarantine period before the trial of each round, in ms. A trial of a harmful part crashes an engine. */
const QUARANTINE_MS = [10, 6 * 60, 30 * MINUTES_PER_DAY].map((minutes) => minutes * MS_PER_MINUTE)

/** Returns how long a part is quarantined in a round before its trial, in ms. */
export function findPartQuarantineMs(round: number): number {
  return QUARANTINE_MS[Math.min(Math.max(round, 1), QUARANTINE_MS.length) - 1]
}
