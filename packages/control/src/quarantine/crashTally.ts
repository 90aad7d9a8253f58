/**
 * Counts the servers that crashed under each request, as reported by routers, until there are enough for a quarantine. It
 * is not replicated: after a leader change routers report their crashes again.
 */
import type { BackendServerId, RequestFingerprint, TimerService } from '@spoolgate/core'
import { createFingerprintMap } from './fingerprintMap.js'
import { CRASHES_TO_SUSPECT } from './crashReport.js'

/** Crashes under one request. */
export interface RequestCrashes {
  /** Servers that crashed under the request. */
  readonly servers: ReadonlySet<BackendServerId>
  /** When the last crash was reported, in ms of the monotonic clock. */
  readonly lastCrashAt: number
}

/** See {@link createCrashTally}. */
export interface CrashTally {
  /** Counts the crash of a server under a request, at most once. */
  addCrash(request: RequestFingerprint, server: BackendServerId): RequestCrashes
  remove(request: RequestFingerprint): void
  /** Lists the suspected requests, which are reported to routers. */
  listSuspects(): readonly RequestFingerprint[]
  /** Increases with each change of that list. */
  revision(): number
  /** Discards all counts, as a new leader must. */
  reset(): void
}

/**
 * Limits on the requests per caller and on the callers. A production engine runs 64 requests at a time, so four engines
 * that crash together leave 256; a full tally takes 20 MB at 150 bytes per request.
 */
const TALLY_BOUNDS = { maxPerCaller: 256, maxCallers: 512 }

/** Time after the last crash under a request until its count is reset, in ms. */
const CRASH_RETENTION_MS = 3_600_000

/** Creates an empty tally. */
export function createCrashTally(timers: TimerService): CrashTally {
  const crashesByRequest = createFingerprintMap<RequestCrashes>(TALLY_BOUNDS)
  let revision = 0
  const isSuspect = ({ servers }: RequestCrashes) => servers.size >= CRASHES_TO_SUSPECT
  const findRecent = (request: RequestFingerprint) => {
    const known = crashesByRequest.find(request)
    return known && timers.now() - known.lastCrashAt < CRASH_RETENTION_MS ? known : undefined
  }
  return {
    addCrash: (request, server) => {
      const known = findRecent(request)
      if (known?.servers.has(server)) return known
      const servers = new Set(known?.servers).add(server)
      const crashes = { servers, lastCrashAt: timers.now() }
      crashesByRequest.add(request, crashes)
      if (isSuspect(crashes)) revision += 1
      return crashes
    },
    remove: (request) => {
      if (crashesByRequest.remove(request)) revision += 1
    },
    listSuspects: () =>
      crashesByRequest
        .list()
        .filter(([, crashes]) => isSuspect(crashes))
        .map(([request]) => request),
    revision: () => revision,
    reset: () => {
      crashesByRequest.clear()
      revision += 1
    },
  }
}
