/**
 * Shares the capacity of a group of engines among routers that learn of each other's loads and demand with a delay. Each
 * router uses the part of the capacity that corresponds to its own part of the demand, urgent ranks first; no router
 * reserves capacity for another, so a lost router or report leaves none unused for longer than a report interval.
 */
import type { TeamId } from '@spoolgate/core'
import { formatWorkKey, mergeWork, splitCapacity, type CapacityShares } from './capacityShares.js'

/** Engine time that requests of a rank and team need. */
export interface RankedWork {
  /** Order of service: the band of requests that can meet their target, and after all of these the late ones by band. */
  readonly rank: number
  readonly team: TeamId | undefined
  /** Weight of the team. */
  readonly teamShare: number
  readonly workMs: number
}

/** What a router knows of the group after an exchange with the leader. */
export interface RoomReport {
  /** Engine time that the other routers need within {@link DEMAND_MS}. */
  readonly demands: readonly RankedWork[]
  /** Engine time that the group completes per ms. */
  readonly workPerMs: number
  /** Number of routers of the group. */
  readonly routers: number
}

/** See {@link createSharedRoom}. */
export interface SharedRoom {
  /** Records the arrival of a request, from which the demand until the next report is estimated. */
  recordArrival(work: RankedWork, now: number): void
  /** Returns the engine time that this router needs within {@link DEMAND_MS}. */
  listDemands(waiting: readonly RankedWork[], now: number): RankedWork[]
  applyReport(report: RoomReport, waiting: readonly RankedWork[], now: number): void
  /** Whether this router may start work while prefills of its own calls that take `pendingMs` are pending at the engines. */
  isStartAllowed(work: RankedWork, pendingMs: number, now: number): boolean
  /** Part of the group's throughput that this router may use, from 0 to 1. */
  findShare(now: number): number
}

/** Time that pending prefills of all routers take at an engine on average if the group is saturated, in ms. */
export const ENGINE_FILL_MS = 100
/** Age beyond which a report says nothing about the other routers, in ms. */
export const MAX_REPORT_AGE_MS = 2_000
/**
 * Time for which demand is stated, in ms, and the time constant of the average of arrivals. It is the time that requests
 * wait for their target in an overload, so that what waits does not make a team seem to need more than it sends.
 */
export const DEMAND_MS = 500
/** Factor on the part of a router for ranks that get all they need, so that variations of their arrivals do not wait. */
const URGENT_FACTOR = 2
/** Factor for ranks that get no part, so that they start where the more urgent ones leave engines idle. */
const UNGRANTED_FACTOR = 0.25
/** Arrivals below this are dropped from the demand, in engine ms. */
const MIN_ARRIVAL_MS = 0.01

/**
 * Estimates the pending prefill time of other routers at an engine from a report of an age: it approaches the mean of the
 * group as engines drain and others fill them, but at most what all routers together keep there. Otherwise a report of
 * full engines stops all starts until the next one. Of a report that is too old, nothing counts.
 */
export function estimatePendingMs(reportedMs: number, meanMs: number, ageMs: number): number {
  if (ageMs > MAX_REPORT_AGE_MS) return 0
  const expectedMs = Math.min(meanMs, ENGINE_FILL_MS)
  return expectedMs + (reportedMs - expectedMs) * Math.exp(-ageMs / ENGINE_FILL_MS)
}

/** Part of a router in the capacity, and the shares of ranks and teams behind it. */
export interface Part {
  readonly share: number
  readonly findRatio: CapacityShares
}

function countWork(works: readonly RankedWork[]): number {
  return works.reduce((sum, { workMs }) => sum + workMs, 0)
}

/** Finds a router's part of the capacity until its next report. */
export function findPart(report: RoomReport, own: readonly RankedWork[]): Part {
  const { demands, workPerMs, routers } = report
  const capacityMs = workPerMs * DEMAND_MS
  const findRatio = splitCapacity(capacityMs, mergeWork([demands, own]))
  const ownMs = countWork(own)
  const totalMs = ownMs + countWork(demands)
  const demandShare = totalMs > 0 ? ownMs / totalMs : 0
  const grantedMs = own.reduce((sum, work) => sum + findRatio(work) * work.workMs, 0)
  const unusedMs = Math.max(0, capacityMs - totalMs)
  const extraMs = unusedMs * ((demandShare + 1 / routers) / 2)
  return { share: Math.min(1, (grantedMs + extraMs) / capacityMs), findRatio }
}

/**
 * Creates the part of a router that has no report yet. The part limits the router's own pending prefills rather than its
 * starts per second: a limit on these follows a burst only after the next reports, while prefills that stay pending stop
 * further starts at once. Their sum over all routers is bounded however old the reports are.
 */
export function createSharedRoom(): SharedRoom {
  const arrivals = new Map<string, { work: RankedWork; workMs: number; at: number }>()
  let latest: { report: RoomReport; part: Part; at: number } | undefined

  const findArrivedMs = ({ workMs, at }: { workMs: number; at: number }, now: number) =>
    workMs * Math.exp((at - now) / DEMAND_MS)
  const findCurrentPart = (now: number): Part | undefined => {
    if (!latest || now - latest.at <= MAX_REPORT_AGE_MS) return latest?.part
    const share = 1 / latest.report.routers
    return { share, findRatio: () => share }
  }
  const listDemands: SharedRoom['listDemands'] = (waiting, now) => {
    const arriving: RankedWork[] = []
    for (const [key, arrival] of arrivals) {
      const workMs = findArrivedMs(arrival, now)
      if (workMs < MIN_ARRIVAL_MS) arrivals.delete(key)
      else arriving.push({ ...arrival.work, workMs })
    }
    // Arrivals wait as well: the larger of both is needed, not their sum.
    return mergeWork([waiting, arriving], Math.max)
  }

  return {
    recordArrival: (work, now) => {
      const key = formatWorkKey(work)
      const known = arrivals.get(key)
      const workMs = work.workMs + (known ? findArrivedMs(known, now) : 0)
      arrivals.set(key, { work, workMs, at: now })
    },
    listDemands,
    applyReport: (report, waiting, now) => {
      const part = findPart(report, listDemands(waiting, now))
      latest = { report, part, at: now }
    },
    isStartAllowed: (work, pendingMs, now) => {
      const part = findCurrentPart(now)
      // Without any report the engines' own limits are all that is known; one start at a time is always allowed.
      if (!latest || !part || pendingMs <= 0) return true
      const ratio = part.findRatio(work)
      const factor = ratio >= 1 ? URGENT_FACTOR : ratio > 0 ? 1 : UNGRANTED_FACTOR
      return pendingMs < part.share * latest.report.workPerMs * ENGINE_FILL_MS * factor
    },
    findShare: (now) => findCurrentPart(now)?.share ?? 1,
  }
}
