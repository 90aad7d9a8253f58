/**
 * Divides the rate limits that servers name among routers. Few routers use a limited server, so that each has a rate
 * that it can use, and bursts do not add up; rendezvous hashing keeps most of them when routers join or leave.
 */
import type { TimerService } from '@spoolgate/core'
import { hashText } from '@spoolgate/routing'
import type { LimitNews, LimitReport, LimitsUpdate } from './feed.js'

/** Options of {@link createRateLimitAllocator}. */
export interface RateLimitAllocatorOptions {
  readonly timers: TimerService
  /** Lists the routers that have work, or all of them where none has. */
  readonly listRouters: () => readonly string[]
  readonly isRegistered: (server: string) => boolean
}

/** See {@link createRateLimitAllocator}. */
export interface RateLimitAllocator {
  /** Forgets all limits: routers report them to each new leader. */
  reset(): void
  /** Records what a router observed. */
  record(reports: readonly LimitReport[]): void
  /** Rises with each change of a limit or of a router's part. */
  revision(): number
  /** Builds what a router should know. */
  buildUpdate(router: string): LimitsUpdate
}

/** Least rate of one router's part, in requests a second. */
const MIN_PART_RATE = 0.75
/** Time after which a new leader assigns parts, in ms: routers have polled it and keep their former parts until then. */
const SETTLE_MS = 1_500
/** Time between two looks at the routers, in ms. */
const REFRESH_PERIOD_MS = 250
/** Time without an observation after which other routers get the rate of a server, in ms. */
const UNUSED_AFTER_MS = 6_000
/** Time for which the end of a limit is remembered, in ms. */
const WITHDRAWN_LIFE_MS = 60_000
/** Servers whose limits are kept: several times those of a large fleet. */
const MAX_LIMITS = 5_000

interface LimitEntry {
  perSecond: number | null
  /** When it was last observed. */
  at: number
  /** When its routers were chosen last. */
  assignedAt: number
  /** Counts how often other routers were chosen. */
  round: number
  routers: ReadonlySet<string>
}

function countParts(perSecond: number, known: number): number {
  return Math.min(known, Math.max(1, Math.ceil(perSecond / MIN_PART_RATE)))
}

function chooseRouters(server: string, entry: LimitEntry, routers: readonly string[]): Set<string> {
  if (entry.perSecond === null) return new Set()
  const seed = hashText(`${server}/${entry.round}`)
  const scored = routers.map((router) => ({ router, score: hashText(router, seed) }))
  scored.sort((a, b) => b.score - a.score || (a.router < b.router ? -1 : 1))
  const count = countParts(entry.perSecond, routers.length)
  return new Set(scored.slice(0, count).map(({ router }) => router))
}

/** Creates a division of no limits. */
export function createRateLimitAllocator(options: RateLimitAllocatorOptions): RateLimitAllocator {
  const { timers, listRouters, isRegistered } = options
  const entries = new Map<string, LimitEntry>()
  let revision = 0
  let startedAt = timers.now()
  let refreshedAt = -Infinity
  let routers: readonly string[] = []
  let isSettled = false

  const assign = (server: string, entry: LimitEntry) => {
    entry.routers = chooseRouters(server, entry, routers)
    entry.assignedAt = timers.now()
    revision += 1
  }
  const removeOld = (now: number) => {
    for (const [server, { perSecond, at }] of entries) {
      const isForgotten = perSecond === null && now - at > WITHDRAWN_LIFE_MS
      if (!isForgotten && isRegistered(server)) continue
      entries.delete(server)
      revision += 1
    }
  }
  const refreshRouters = () => {
    const next = [...listRouters()].sort()
    const isSame = next.length === routers.length && next.every((name, i) => name === routers[i])
    if (isSame) return
    routers = next
    for (const [server, entry] of entries) assign(server, entry)
  }
  const reassignUnused = (now: number) => {
    for (const [server, entry] of entries) {
      if (entry.perSecond === null) continue
      if (now - Math.max(entry.at, entry.assignedAt) < UNUSED_AFTER_MS) continue
      entry.round += 1
      assign(server, entry)
    }
  }
  const refresh = () => {
    const now = timers.now()
    if (now - refreshedAt < REFRESH_PERIOD_MS) return
    refreshedAt = now
    if (!isSettled && now - startedAt >= SETTLE_MS) {
      isSettled = true
      revision += 1
    }
    if (entries.size === 0) return
    removeOld(now)
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
      isSettled = false
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
      const servers = [...entries].map(([server, entry]): LimitNews => {
        const { perSecond, at } = entry
        const news = { server, perSecond, ageMs: Math.max(0, Math.round(now - at)) }
        return entry.routers.has(router) ? { ...news, part: 1 / entry.routers.size } : news
      })
      return { hasParts: isSettled, servers }
    },
  }
}
