/** Tracks when each weights version became the target of its model, and so since when older versions are superseded. */
import type { TimerService } from '@spoolgate/core'

/** When a version became the target, in ms of the monotonic clock of this instance. */
export interface VersionTime {
  readonly version: number
  readonly at: number
}

/** Times of the tracked versions by model. */
export type VersionTimes = Readonly<Record<string, readonly VersionTime[]>>

/** Ages of the tracked versions by model, in ms; unlike times they are valid on other instances. */
export type VersionAges = Readonly<
  Record<string, readonly (readonly [version: number, ageMs: number])[]>
>

/** See {@link createWeightsHistory}. */
export interface WeightsHistory {
  /**
   * Records target versions that became known at time `at`; a version that is already tracked keeps its earlier time.
   * @returns whether a time changed
   */
  record(weights: Readonly<Record<string, number>>, at: number): boolean
  /** Records the ages that another instance stated at time `at`. */
  recordAges(ages: VersionAges, at: number): boolean
  times(): VersionTimes
  listAges(): VersionAges
}

/**
 * Part of the maximum age of weights after which no request is sent to engines that have them; the rest of the time is
 * left to requests that wait there.
 */
export const LAST_SEND_RATIO = 0.7
/** Maximum number of versions tracked per model. */
const MAX_TRACKED_VERSIONS = 32
/** Age after which only the newest of the versions is kept, in ms: longer than any limit on the age of weights. */
const RETENTION_MS = 600_000

/** Finds since when a version of a model is superseded; undefined while it is the newest. */
export function findSupersededAt(
  times: VersionTimes,
  model: string,
  version: number,
): number | undefined {
  let earliest: number | undefined
  // A plain loop: this runs for each server of a ranking.
  for (const entry of times[model] ?? []) {
    if (entry.version > version) earliest = Math.min(earliest ?? Infinity, entry.at)
  }
  return earliest
}

/** Drops old versions except the newest of them, which supersedes all before it. */
function removeOldVersions(tracked: readonly VersionTime[], now: number): VersionTime[] {
  const firstKept = tracked.findLastIndex(({ at }) => now - at > RETENTION_MS)
  return tracked.slice(Math.max(0, firstKept)).slice(-MAX_TRACKED_VERSIONS)
}

/** Creates a history without versions. */
export function createWeightsHistory(timers: Pick<TimerService, 'now'>): WeightsHistory {
  let times: VersionTimes = {}

  /** Returns the tracked versions with one more; undefined for one that is tracked since the same time or earlier. */
  const addVersion = (
    tracked: readonly VersionTime[],
    { version, at }: VersionTime,
  ): VersionTime[] | undefined => {
    const known = tracked.find((entry) => entry.version === version)
    if (known && known.at <= at) return undefined
    const others = tracked.filter((entry) => entry !== known)
    const sorted = [...others, { version, at }].sort((a, b) => a.version - b.version)
    return removeOldVersions(sorted, timers.now())
  }
  const addVersions = (added: Iterable<readonly [model: string, added: VersionTime]>): boolean => {
    const changed = new Map<string, VersionTime[]>()
    for (const [model, entry] of added) {
      const tracked = addVersion(changed.get(model) ?? times[model] ?? [], entry)
      if (tracked) changed.set(model, tracked)
    }
    if (changed.size > 0) times = { ...times, ...Object.fromEntries(changed) }
    return changed.size > 0
  }
  return {
    record: (weights, at) =>
      addVersions(Object.entries(weights).map(([model, version]) => [model, { version, at }])),
    recordAges: (ages, at) =>
      addVersions(
        Object.entries(ages).flatMap(([model, entries]) =>
          entries.map(([version, ageMs]) => [model, { version, at: at - ageMs }] as const),
        ),
      ),
    times: () => times,
    listAges: () =>
      Object.fromEntries(
        Object.entries(times).map(([model, tracked]) => [
          model,
          tracked.map(({ version, at }) => [version, Math.round(timers.now() - at)] as const),
        ]),
      ),
  }
}
