/**
 * Reviews waiting requests: one that was expected to be served when it was accepted may be displaced by more urgent ones
 * that arrived since. It is then refused at once instead of when its deadline passes.
 */
import { findLatestStart, findLatestStartOnTime } from './requestTimes.js'
import type { AdmissionRequest, GroupCapacity } from './types.js'

/** Throughput that a band can expect; see `createAdmissionDecider`. */
export type FindBandWorkPerMs = (band: number, capacity: GroupCapacity, now: number) => number

function compareLate(a: AdmissionRequest, b: AdmissionRequest): number {
  return a.band - b.band || findLatestStart(a) - findLatestStart(b)
}

/**
 * Lists the requests that missed their target and are not expected to start before their deadline. Late requests start
 * after all that are on time, by band, and within a band by their latest start.
 */
export function listDisplaced<Entry extends AdmissionRequest>(
  entries: readonly Entry[],
  capacity: GroupCapacity,
  findBandWorkPerMs: FindBandWorkPerMs,
  now: number,
): Entry[] {
  const isLate = (entry: Entry) => now > findLatestStartOnTime(entry)
  const late = entries.filter(isLate).sort(compareLate)
  let aheadMs = 0
  for (const entry of entries) if (!isLate(entry)) aheadMs += entry.workMs
  const displaced: Entry[] = []
  for (const entry of late) {
    const waitMs = aheadMs / findBandWorkPerMs(entry.band, capacity, now)
    if (now + capacity.nextCapacityMs + waitMs > findLatestStart(entry)) displaced.push(entry)
    else aheadMs += entry.workMs
  }
  return displaced
}
