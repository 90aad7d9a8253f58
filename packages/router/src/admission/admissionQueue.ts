/**
 * Queue of a router for requests that wait for an engine with capacity. Requests that can still meet their target start
 * first, by band; then those that can still meet their deadline, by band. A band that was passed over gets every eighth
 * start, unless its request is late and would delay one of the same or a more urgent band that is not.
 */
import { createFairLane, type FairLane } from './fairLane.js'
import { createIndexedHeap } from './indexedHeap.js'
import { findLatestStart, findLatestStartOnTime } from './requestTimes.js'
import type { RankedWork } from './sharedRoom.js'
import type { AdmissionOptions, AdmissionQueue, AdmissionRequest, QueuePosition } from './types.js'

/** Default upper bound on the number of requests that wait at one router. */
export const MAX_WAITING = 1_000
/** Default upper bound on the memory of the requests that wait at one router, in bytes. */
export const MAX_WAITING_BYTES = 33_554_432
/**
 * Part of the engine time for bands that were passed over, as 1 of this many. Starts are not counted: an eighth of them
 * would be half of the engine time where the less urgent band has long prompts.
 */
const PASSED_OVER_PART = 8

/** Rank of late requests of band 0: requests that missed their target come after all that can meet theirs. */
const LATE_RANK = 10

/** What the queue offers in addition to a router that cannot start the first request yet. */
export interface AdmissionCandidates<Entry extends AdmissionRequest> {
  /**
   * Returns the first request of each band and of its late ones, in the order in which they should start. If the first has
   * no engine with capacity, a later one may have.
   */
  listNext(now: number): readonly Entry[]
  /** Removes a request that starts; returns false if it is not waiting. */
  start(entry: Entry, now: number): boolean
  /** Engine time of the waiting requests by rank and team, for {@link createSharedRoom}. */
  listWaiting(): readonly RankedWork[]
}

interface Band<Entry extends AdmissionRequest> {
  readonly band: number
  /** Requests that can still meet their target, by latest start; some may have missed it since. */
  readonly onTime: FairLane<Entry>
  /** Requests that missed their target, by latest start before their deadline. */
  readonly late: FairLane<Entry>
  /** Requests in the order in which they were added. */
  readonly entries: Set<Entry>
  /** Engine time of other bands since the last start of this one, while its requests waited, in ms. */
  passedOverMs: number
}

/** Returns the engine time of a band's requests that start before one of `band` at a position. */
function findBandWorkMs(
  { band: own, onTime, late }: Band<AdmissionRequest>,
  band: number,
  position: QueuePosition | undefined,
): number {
  if (!position) return own <= band ? onTime.workMs() + late.workMs() : 0
  const { team, isLate } = position
  if (isLate) {
    if (own > band) return onTime.workMs()
    return onTime.workMs() + (own === band ? late.findWorkAheadMs(team) : late.workMs())
  }
  if (own > band) return 0
  return own === band ? onTime.findWorkAheadMs(team) : onTime.workMs()
}

/** Creates an empty queue. */
export function createAdmissionQueue<Entry extends AdmissionRequest>(
  options: AdmissionOptions = {},
): AdmissionQueue<Entry> & AdmissionCandidates<Entry> {
  const { maxWaiting = MAX_WAITING, maxWaitingBytes = MAX_WAITING_BYTES } = options
  /** Bands in the order of their urgency. */
  const bands: Band<Entry>[] = []
  const byLatestStart = createIndexedHeap<Entry>()
  let bytes = 0
  /** Engine time that was started since the last start of a band that was passed over, in ms. */
  let sinceLastMs = 0

  const findBand = (band: number): Band<Entry> => {
    const index = bands.findIndex((other) => other.band >= band)
    if (index !== -1 && bands[index].band === band) return bands[index]
    const lanes = { onTime: createFairLane<Entry>(), late: createFairLane<Entry>() }
    const added: Band<Entry> = { band, ...lanes, entries: new Set(), passedOverMs: 0 }
    bands.splice(index === -1 ? bands.length : index, 0, added)
    return added
  }
  /** Returns the next request of a band that can meet its target; moves those that missed it to the late ones. */
  const findNextOnTime = ({ onTime, late }: Band<Entry>, now: number): Entry | undefined => {
    for (;;) {
      const entry = onTime.peek()
      if (!entry || onTime.findNextLatestStart() >= now) return entry
      onTime.remove(entry)
      late.add(entry, findLatestStart(entry))
    }
  }
  /** Returns the request of the band that was passed over for the longest, if it delays no more urgent one on time. */
  const findPassedOver = (now: number): Entry | undefined => {
    let isOnTimeWaiting = false
    let longestMs = 0
    let found: Entry | undefined
    for (const band of bands) {
      const onTime = findNextOnTime(band, now)
      isOnTimeWaiting ||= onTime !== undefined
      const entry = onTime ?? (isOnTimeWaiting ? undefined : band.late.peek())
      if (!entry || band.passedOverMs <= longestMs) continue
      longestMs = band.passedOverMs
      found = entry
    }
    return found && sinceLastMs >= found.workMs * (PASSED_OVER_PART - 1) ? found : undefined
  }
  const listNext = (now: number): Entry[] => {
    const next = [
      findPassedOver(now),
      ...bands.map((band) => findNextOnTime(band, now)),
      ...bands.map(({ late }) => late.peek()),
    ]
    return [...new Set(next.filter((entry) => entry !== undefined))]
  }
  const removeEntry = (entry: Entry): Band<Entry> | undefined => {
    if (!byLatestStart.remove(entry)) return undefined
    const band = findBand(entry.band)
    band.entries.delete(entry)
    bytes -= entry.bytes
    if (band.entries.size === 0) band.passedOverMs = 0
    return band
  }
  const remove = (entry: Entry): boolean => {
    const band = removeEntry(entry)
    if (!band) return false
    return band.onTime.remove(entry) || band.late.remove(entry)
  }
  const start = (entry: Entry, now: number): boolean => {
    const isPassedOver = entry === findPassedOver(now)
    const started = removeEntry(entry)
    if (!started) return false
    started.onTime.start(entry)
    started.late.start(entry)
    sinceLastMs = isPassedOver ? 0 : sinceLastMs + entry.workMs
    for (const band of bands) if (band.entries.size > 0) band.passedOverMs += entry.workMs
    started.passedOverMs = 0
    return true
  }

  return {
    add: (entry) => {
      if (byLatestStart.size() >= maxWaiting || bytes + entry.bytes > maxWaitingBytes) return false
      const { onTime, entries } = findBand(entry.band)
      onTime.add(entry, findLatestStartOnTime(entry))
      entries.add(entry)
      byLatestStart.add(entry, findLatestStart(entry))
      bytes += entry.bytes
      return true
    },
    remove,
    peek: (now) => listNext(now)[0],
    listNext,
    start,
    take: (now) => {
      const [entry] = listNext(now)
      if (entry) start(entry, now)
      return entry
    },
    takeExpired: (now) => {
      const expired: Entry[] = []
      while (byLatestStart.findLowestKey() < now) {
        const entry = byLatestStart.peek() as Entry
        remove(entry)
        expired.push(entry)
      }
      return expired
    },
    size: () => byLatestStart.size(),
    bytes: () => bytes,
    findWorkAheadMs: (band, position) =>
      bands.reduce((workMs, lanes) => workMs + findBandWorkMs(lanes, band, position), 0),
    listWaiting: () =>
      bands.flatMap(({ band, onTime, late }) => [
        ...onTime.listTeams().map((work) => ({ ...work, rank: band })),
        ...late.listTeams().map((work) => ({ ...work, rank: LATE_RANK + band })),
      ]),
    listBands: (now) =>
      bands
        .filter(({ entries }) => entries.size > 0)
        .map(({ band, entries }) => {
          const [oldest] = entries
          return { band, waiting: entries.size, oldestMs: now - oldest.arrivedAt }
        }),
  }
}
