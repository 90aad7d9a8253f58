/** Decides whether a request is sent, waits for an engine with capacity, or is refused with a Retry-After. */
import { createBandDemand } from './bandDemand.js'
import { createRefusalLog } from './refusalLog.js'
import { findLatestStart, findLatestStartOnTime } from './requestTimes.js'
import type {
  AdmissionDecision,
  AdmissionOptions,
  AdmissionQueue,
  AdmissionRequest,
  GroupCapacity,
  RefusalReason,
} from './types.js'
import { MAX_WAITING } from './admissionQueue.js'
import type { FindBandWorkPerMs } from './waitingReview.js'

/** Fields of the queue that a decision reads. */
export type QueueState = Pick<AdmissionQueue<AdmissionRequest>, 'size' | 'findWorkAheadMs'>

/** See {@link createAdmissionDecider}. */
export interface AdmissionDecider {
  /**
   * Decides about a request. A request that is to wait is added to the queue, from which the router then starts what
   * has capacity; if the queue does not accept it, see `refuse`.
   */
  decide(
    request: AdmissionRequest,
    capacity: GroupCapacity,
    queue: QueueState,
    now: number,
  ): AdmissionDecision
  /** Refuses a request that the queue did not accept or that expired there. */
  refuse(
    request: AdmissionRequest,
    reason: RefusalReason,
    capacity: GroupCapacity,
    queue: QueueState,
    now: number,
  ): AdmissionDecision & { readonly kind: 'refuse' }
  /** Returns the engine time per ms that is left to a band by the demand of more urgent ones. */
  readonly findBandWorkPerMs: FindBandWorkPerMs
  /** Returns the target time of a request; that of the first attempt if the request is a retry after a refusal. */
  findTargetAt(
    request: Pick<AdmissionRequest, 'fingerprint' | 'deadline' | 'targetAt'>,
    now: number,
  ): number
}

/** Part of the slots below which nothing is refused while nothing waits. */
const FREE_SLOT_RATIO = 0.5
/** Part of the capacity for bands that were passed over; see admissionQueue.ts. */
const PASSED_OVER_RATIO = 1 / 8
/** Difference from a band to a position between it and the more urgent ones. */
const BETWEEN_BANDS = 0.5
/** Part of the queue that each further band leaves to more urgent ones. */
const BAND_RESERVE_RATIO = 0.05
/** Lower bound on the throughput of a group of which no engine accepts requests, in engine ms per ms. */
const MIN_WORK_PER_MS = 0.001

/** Creates a selector without history; one for each group of engines. */
export function createAdmissionDecider(options: AdmissionOptions = {}): AdmissionDecider {
  const { maxWaiting = MAX_WAITING } = options
  const refusals = createRefusalLog()
  const demand = createBandDemand()

  const findWorkPerMs = ({ workPerMs, routerShare = 1 }: GroupCapacity) =>
    Math.max(MIN_WORK_PER_MS, workPerMs * routerShare)
  /** Expected time until a request that can meet its target starts if it waits, in ms. */
  const estimateOnTimeMs = (
    { band, team, workMs }: AdmissionRequest,
    capacity: GroupCapacity,
    queue: QueueState,
    demandRatio: number,
  ) => {
    const workPerMs = findWorkPerMs(capacity)
    const aheadMs = queue.findWorkAheadMs(band, { team, isLate: false })
    const inTurnMs = aheadMs / (workPerMs * Math.max(PASSED_OVER_RATIO, 1 - demandRatio))
    // The part for bands that are passed over does not wait for more urgent work.
    const moreUrgentMs = queue.findWorkAheadMs(band - BETWEEN_BANDS, { team, isLate: false })
    const passedOverMs = (aheadMs - moreUrgentMs + workMs) / (workPerMs * PASSED_OVER_RATIO)
    return capacity.nextCapacityMs + Math.min(inTurnMs, passedOverMs)
  }
  /** Expected time until a request that misses its target starts if it waits, in ms. */
  const estimateLateMs = (
    { band, team }: AdmissionRequest,
    capacity: GroupCapacity,
    queue: QueueState,
    demandRatio: number,
    reservedMs: number,
  ) => {
    const aheadMs = queue.findWorkAheadMs(band, { team, isLate: true }) + reservedMs
    const remainingRatio = Math.max(PASSED_OVER_RATIO, 1 - demandRatio)
    return capacity.nextCapacityMs + aheadMs / (findWorkPerMs(capacity) * remainingRatio)
  }
  const findReason = (
    request: AdmissionRequest,
    capacity: GroupCapacity,
    queue: QueueState,
    now: number,
  ): RefusalReason | undefined => {
    const isRetry = refusals.find(request, now) !== undefined
    const { band } = request
    const limit = isRetry ? maxWaiting : maxWaiting * Math.max(0.5, 1 - band * BAND_RESERVE_RATIO)
    if (queue.size() >= limit) return 'full'
    const demandRatio = demand.findDemandBefore(band, now) / findWorkPerMs(capacity)
    const onTimeMs = estimateOnTimeMs(request, capacity, queue, demandRatio)
    if (now + onTimeMs <= findLatestStartOnTime(request)) return undefined
    const latestStart = findLatestStart(request)
    const isBeforeDeadline = (ratio: number, reservedMs: number) =>
      now + estimateLateMs(request, capacity, queue, ratio, reservedMs) <= latestStart
    if (!isBeforeDeadline(0, 0)) return 'deadline'
    if (isRetry) return undefined
    return isBeforeDeadline(demandRatio, refusals.findReservedMs(now)) ? undefined : 'displaces'
  }
  const refuse: AdmissionDecider['refuse'] = (request, reason, capacity, queue, now) => {
    const queuedMs = queue.findWorkAheadMs(Infinity)
    const atEnginesMs = Math.max(0, capacity.waitingWorkMs - queuedMs)
    // All routers together wait for what is at the engines; this router alone serves its queue.
    const drainMs =
      capacity.nextCapacityMs +
      atEnginesMs / Math.max(MIN_WORK_PER_MS, capacity.workPerMs) +
      queuedMs / findWorkPerMs(capacity)
    const drain = { drainMs, workPerMs: findWorkPerMs(capacity) }
    return { kind: 'refuse', reason, retryAfterMs: refusals.record(request, drain, now) }
  }

  return {
    decide: (request, capacity, queue, now) => {
      const isNoneWaiting = queue.size() === 0
      const isHalfFree = capacity.calls <= capacity.slots * FREE_SLOT_RATIO
      const hasCapacity = capacity.nextCapacityMs <= 0
      const reason =
        isNoneWaiting && (isHalfFree || hasCapacity)
          ? undefined
          : findReason(request, capacity, queue, now)
      if (reason) return refuse(request, reason, capacity, queue, now)
      demand.record(request.band, request.workMs, now)
      refusals.remove(request.fingerprint)
      return { kind: hasCapacity && isNoneWaiting ? 'send' : 'queue' }
    },
    refuse,
    findBandWorkPerMs: (band, capacity, now) => {
      const workPerMs = findWorkPerMs(capacity)
      const demandRatio = demand.findDemandBefore(band, now) / workPerMs
      return workPerMs * Math.max(PASSED_OVER_RATIO, 1 - demandRatio)
    },
    findTargetAt: (request, now) =>
      Math.min(request.targetAt, refusals.find(request, now)?.targetAt ?? Infinity),
  }
}
