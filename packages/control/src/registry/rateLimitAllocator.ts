/**
 * Allocates the rate limits that servers announce to routers. Only a few routers use a limited server, so that each
 * share is a usable rate and bursts do not add up. Rendezvous hashing keeps most assignments when routers join or
 * leave.
 */
import type { TimerService } from '@spoolgate/core'
import { hashText } from '@spoolgate/routing'
import type { AssignedLimit, LimitReport, LimitsUpdate } from './feed.js'

/** Options of {@link createRateLimitAllocator}. */
export interface RateLimitAllocatorOptions {
  readonly timers: TimerService
  /** Lists the routers with work, or all routers if none has any. */
  readonly listRouters: () => readonly string[]
  readonly isRegistered: (server: string) => boolean
}

/** See {@link createRateLimitAllocator}. */
export interface RateLimitAllocator {
  /** Clears all limits; routers report them again to each new leader. */
  reset(): void
  /** Records the limits observed by a router. */
  record(reports: readonly LimitReport[]): void
  /** Revision number, which increases with each change of a limit or of a router's share. */
  revision(): number
  /** Builds the limits update for a router. */
  buildUpdate(router: string): LimitsUpdate
}

/** Minimum rate of one router's share, in requests per second. */
const MIN_SHARE_RATE = 0.75
/** Delay before a new leader assigns shares, in ms: routers poll it within that time and keep their previous shares. */
const FIRST_ASSIGNMENT_DELAY_MS = 1_500
/** Minimum interval between refreshes of the router list, in ms. */
const REFRESH_PERIOD_MS = 250
/** Time without an observation after which a server's rate is assigned to other routers, in ms. */
const REASSIGN_UNUSED_AFTER_MS = 6_000
/** Time for which a withdrawn limit is remembered, in ms. */
const WITHDRAWN_TTL_MS = 60_000
/** Maximum number of servers with limits: several times the size of a large deployment. */
const MAX_LIMITS = 5_000

interface LimitEntry {
  perSecond: number | null
  /** When the limit was last observed. */
  at: number
  /** When its routers were last chosen. */
  assignedAt: number
  /** Number of reassignments to other routers because the rate was unused. */
  round: number
  routers: ReadonlySet<string>
}

function countShares(perSecond: number, known: number): number {
  return Math.min(known, Math.max(1, Math.ceil(perSecond / MIN_SHARE_RATE)))
}

/** A router with the hash of its name, which is computed once: there is one score per router and limited server. */
interface HashedRouter {
  readonly router: string
  readonly hash: number
}

/** Scores a router for a server by their 32-bit hashes, which the finalizer of MurmurHash3 combines. */
function scoreRouter(hash: number, seed: number): number {
  let mixed = Math.imul(hash ^ Math.imul(seed, 0x9e3779b1), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

function chooseRouters(
  server: string,
  entry: LimitEntry,
  routers: readonly HashedRouter[],
): Set<string> {
  if (entry.perSecond === null) return new Set()
  const seed = hashText(`${server}/${entry.round}`)
  const { length } = routers
  // Score and position in one number, since numbers sort much faster than objects: with 300 routers and 3,000 limited
  // servers, a router that left cost the leader 0.48 s. Equal scores go to the first router.
  const scores = new Float64Array(length)
  for (let index = 0; index < length; index += 1)
    scores[index] = scoreRouter(routers[index].hash, seed) * length + (length - 1 - index)
  scores.sort()
  const best = scores.subarray(length - countShares(entry.perSecond, length))
  return new Set(Array.from(best, (score) => routers[length - 1 - (score % length)].router))
}

/** Creates an allocator without limits. */
export function createRateLimitAllocator(options: RateLimitAllocatorOptions): RateLimitAllocator {
  const { timers, listRouters, isRegistered } = options
  const entries = new Map<string, LimitEntry>()
  let revision = 0
  let startedAt = timers.now()
  let refreshedAt = -Infinity
  let routers: readonly HashedRouter[] = []
  let areSharesAssigned = false

  const assign = (server: string, entry: LimitEntry) => {
    entry.routers = chooseRouters(server, entry, routers)
    entry.assignedAt = timers.now()
    revision += 1
  }
  const removeExpired = (now: number) => {
    for (const [server, { perSecond, at }] of entries) {
      const isExpired = perSecond === null && now - at > WITHDRAWN_TTL_MS
      if (!isExpired && isRegistered(server)) continue
      entries.delete(server)
      revision += 1
    }
  }
  const refreshRouters = () => {
    const next = [...listRouters()].sort()
    const isUnchanged =
      next.length === routers.length && next.every((name, i) => name === routers[i].router)
    if (isUnchanged) return
    routers = next.map((router) => ({ router, hash: hashText(router) }))
    for (const [server, entry] of entries) assign(server, entry)
  }
  const reassignUnused = (now: number) => {
    for (const [server, entry] of entries) {
      if (entry.perSecond === null) continue
      if (now - Math.max(entry.at, entry.assignedAt) < REASSIGN_UNUSED_AFTER_MS) continue
      entry.round += 1
      assign(server, entry)
    }
  }
  const refresh = () => {
    const now = timers.now()
    if (now - refreshedAt < REFRESH_PERIOD_MS) return
    refreshedAt = now
    if (!areSharesAssigned && now - startedAt >= FIRST_ASSIGNMENT_DELAY_MS) {
      areSharesAssigned = true
      revision += 1
    }
    if (entries.size === 0) return
    removeExpired(now)
    refreshRouters()
    reassignUnused(now)
  }
  const recordReport = ({ server, perSecond, ageMs }: LimitReport) => {
    const at = timers.now() - ageMs
    const known = entries.get(server)
    if (known && at <= known.at) return
    if (known?.perSecond === perSecond) {
      known.at = at
      return
    }
    if (!known && entries.size >= MAX_LIMITS) return
    const entry: LimitEntry = known ?? {
      perSecond,
      at,
      assignedAt: 0,
      round: 0,
      routers: new Set(),
    }
    Object.assign(entry, { perSecond, at })
    entries.set(server, entry)
    assign(server, entry)
  }
  return {
    reset: () => {
      entries.clear()
      startedAt = timers.now()
      areSharesAssigned = false
      revision += 1
    },
    record: (reports) => {
      for (const report of reports) {
        if (isRegistered(report.server)) recordReport(report)
      }
    },
    revision: () => {
      refresh()
      return revision
    },
    buildUpdate: (router) => {
      refresh()
      const now = timers.now()
      const servers = [...entries].map(([server, entry]): AssignedLimit => {
        const { perSecond, at } = entry
        const update = { server, perSecond, ageMs: Math.max(0, Math.round(now - at)) }
        return entry.routers.has(router) ? { ...update, part: 1 / entry.routers.size } : update
      })
      return { hasParts: areSharesAssigned, servers }
    },
  }
}
