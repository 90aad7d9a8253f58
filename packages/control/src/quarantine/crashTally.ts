/**
 * Counts the servers that ended under each request, as routers report them. It holds what does not suffice for a quarantine yet; after a
 * change of the leader routers report theirs again.
 */
import type { BackendServerId, RequestFingerprint, TimerService } from '@spoolgate/core'
import { createFingerprintMap } from './fingerprintMap.js'
import { CRASHES_TO_SUSPECT } from './crashReport.js'

/** What speaks against a request. */
export interface RequestCrashes {
  /** Servers that ended under it. */
  readonly servers: ReadonlySet<BackendServerId>
  /** When the last of them ended, in ms of the monotonic clock. */
  readonly lastEndAt: number
}

/** See {@link createCrashTally}. */
export interface CrashTally {
  /** Counts the end of a server under a request, once. */
  addEnd(request: RequestFingerprint, server: BackendServerId): RequestCrashes
  remove(request: RequestFingerprint): void
  /** Lists the requests that routers should know of. */
  listSuspects(): readonly RequestFingerprint[]
  /** Rises with each change of that list. */
  revision(): number
  /** Forgets everything, as a new leader must. */
  reset(): void
}

/**
 * Requests that are kept: of each caller, and callers. An engine of the users' runs 64 at a time, and four that end together leave
 * 256 behind; all together take 20 MB at 150 bytes each.
 */
const TALLY_BOUNDS = { maxPerCaller: 256, maxCallers: 512 }

/** Time without an end after which what was counted no longer speaks against a request, in ms. */
const CRASH_RETENTION_MS = 3_600_000

/** Creates a tally without ends. */
export function createCrashTally(timers: TimerService): CrashTally {
  const suspicions = createFingerprintMap<RequestCrashes>(TALLY_BOUNDS)
  let revision = 0
  const isSuspect = ({ servers }: RequestCrashes) => servers.size >= CRASHES_TO_SUSPECT
  const findRecent = (request: RequestFingerprint) => {
    const known = suspicions.find(request)
    return known && timers.now() - known.lastEndAt < CRASH_RETENTION_MS ? known : undefined
  }
  return {
    addEnd: (request, server) => {
      const before = findRecent(request)
      if (before?.servers.has(server)) return before
      const servers = new Set(before?.servers).add(server)
      const suspicion = { servers, lastEndAt: timers.now() }
      suspicions.add(request, suspicion)
      if (isSuspect(suspicion)) revision += 1
      return suspicion
    },
    remove: (request) => {
      if (suspicions.remove(request)) revision += 1
    },
    listSuspects: () =>
      suspicions
        .list()
        .filter(([, suspicion]) => isSuspect(suspicion))
        .map(([request]) => request),
    revision: () => revision,
    reset: () => {
      suspicions.clear()
      revision += 1
    },
  }
}
