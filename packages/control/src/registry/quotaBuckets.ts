/**
 * Leader side of team quotas: one token bucket per team limit, from which routers receive credits. The bucket and all
 * routers together never hold more than the burst, so that no time window exceeds what rate and burst allow, whichever
 * router sends.
 */
import type { TimerService } from '@spoolgate/core'
import type { TeamQuota } from '@spoolgate/routing'
import {
  CREDIT_TTL_MS,
  estimateReportLagMs,
  findContactTimeoutMs,
  type CreditGrant,
  type CreditUse,
  type QuotaGrants,
  type QuotaReport,
  type QuotaStatus,
  type QuotaTolerance,
} from './quotaProtocol.js'

/** Options of {@link createQuotaBuckets}. */
export interface QuotaBucketsOptions {
  readonly timers: TimerService
  /** Finds a quota in the newest table by its key, as `formatQuotaKey` builds it. */
  readonly findQuota: (key: string) => TeamQuota | undefined
  readonly tolerance: QuotaTolerance
}

/** See {@link createQuotaBuckets}. */
export interface QuotaBuckets {
  /** Starts a term, in which the grants of previous leaders are unknown. */
  reset(term: number): void
  /** Applies a router's report and grants credits. */
  applyReport(report: QuotaReport): QuotaGrants
  /** Lists the credits granted so far for the teams in a report that was already applied. */
  listGrants(report: QuotaReport): QuotaGrants
  list(): readonly QuotaStatus[]
}

/** Minimum capacity of a bucket, as time at the quota's rate, in ms. */
const MIN_BURST_MS = 500
/** Fraction of the available capacity below which a team counts as scarce. */
const SCARCE_RATIO = 0.5
/** Fraction of a bucket's level that one router may prefetch. */
const PREFETCH_RATIO = 0.1
/** Fraction of the tolerance that a new leader assumes to be unused. */
const NEW_TERM_TOLERANCE_RATIO = 0.8
/** Fraction of the tolerance reserved for use that is not reported yet. */
const UNREPORTED_TOLERANCE_RATIO = 0.2
/** Bounds of the retry delay sent to refused callers, in ms. */
const MIN_RETRY_MS = 150
const MAX_RETRY_MS = 10_000
/** Time constant of the exponential average of demand, in ms. */
const DEMAND_DECAY_MS = 1_000
/** Minimum interval between scans of all teams for scarcity, in ms. */
const SCARCE_SCAN_PERIOD_MS = 20
const MS_PER_S = 1_000

interface RouterCredits {
  granted: number
  returned: number
  /** Credits held by the router or in transit to it. */
  outstanding: number
  refused: number
}

interface RouterIncarnation {
  readonly life: string
  sequence: number
  reportedAt: number
  readonly teams: Map<string, RouterCredits>
}

interface Bucket {
  quota: TeamQuota
  level: number
  filledAt: number
  /** Credits held by or in transit to all routers. */
  outstanding: number
  /** Exponentially decaying sum of refused costs. */
  refused: number
  /** Exponentially decaying sum of granted credits. */
  granted: number
}

function findCapacity({ perSecond, burst }: TeamQuota): number {
  return Math.max(burst, (perSecond * MIN_BURST_MS) / MS_PER_S)
}

/** Creates an empty set of buckets. */
export function createQuotaBuckets(options: QuotaBucketsOptions): QuotaBuckets {
  const { timers, findQuota, tolerance } = options
  const buckets = new Map<string, Bucket>()
  const routers = new Map<string, RouterIncarnation>()
  let term = -1
  let termBeganAt = timers.now()
  /** Fraction of each rate that is not reserved for silent routers. */
  let activeRatio = 1
  const scarce = new Set<string>()
  let scarceScannedAt = -Infinity

  const findToleratedAmount = (quota: TeamQuota, ratio: number): number => {
    const inWindow = (quota.perSecond * tolerance.windowMs) / MS_PER_S + quota.burst
    return ratio * (tolerance.ratio * inWindow + tolerance.slack)
  }
  /** Headroom above the capacity: without it, a bucket that appears full would discard refill for unreported use. */
  const estimateUnreported = (quota: TeamQuota): number => {
    const atFullRate = (quota.perSecond * estimateReportLagMs(routers.size)) / MS_PER_S
    return Math.min(atFullRate, findToleratedAmount(quota, UNREPORTED_TOLERANCE_RATIO))
  }
  /** A previous leader may have granted a whole burst within the last window. */
  const findInitialLevel = (quota: TeamQuota, now: number): number => {
    if (now - termBeganAt >= tolerance.windowMs) return findCapacity(quota)
    return Math.min(findCapacity(quota), findToleratedAmount(quota, NEW_TERM_TOLERANCE_RATIO))
  }
  const fill = (bucket: Bucket, now: number) => {
    const { quota, outstanding } = bucket
    const elapsedMs = Math.max(0, now - bucket.filledAt)
    const filled = bucket.level + (quota.perSecond * activeRatio * elapsedMs) / MS_PER_S
    const maxLevel = findCapacity(quota) + estimateUnreported(quota) - Math.max(0, outstanding)
    bucket.level = Math.min(filled, maxLevel)
    const decay = Math.exp(-elapsedMs / DEMAND_DECAY_MS)
    bucket.refused *= decay
    bucket.granted *= decay
    bucket.filledAt = now
  }
  const sumOutstanding = (key: string): number =>
    [...routers.values()].reduce((sum, { teams }) => sum + (teams.get(key)?.outstanding ?? 0), 0)
  const createBucket = (key: string, quota: TeamQuota, now: number): Bucket => ({
    quota,
    level: findInitialLevel(quota, now),
    filledAt: now,
    outstanding: sumOutstanding(key),
    refused: 0,
    granted: 0,
  })
  /** Finds or creates the bucket of a limit and applies the newest table; undefined if the table has no such limit. */
  const findBucket = (key: string, now: number): Bucket | undefined => {
    const quota = findQuota(key)
    if (!quota) {
      buckets.delete(key)
      scarce.delete(key)
      return undefined
    }
    const bucket = buckets.get(key) ?? createBucket(key, quota, now)
    buckets.set(key, bucket)
    // Time that passed before a limit changed is credited at the previous rate.
    fill(bucket, now)
    if (bucket.quota !== quota) {
      bucket.quota = quota
      fill(bucket, now)
    }
    return bucket
  }
  const removeRouter = (router: string) => {
    for (const [key, { outstanding }] of routers.get(router)?.teams ?? []) {
      const bucket = buckets.get(key)
      if (bucket) bucket.outstanding -= outstanding
    }
    routers.delete(router)
  }
  /** Credits of a router that was silent beyond the credit TTL have expired there too; they count as used. */
  const updateActiveRatio = (now: number) => {
    const contactTimeoutMs = findContactTimeoutMs(routers.size)
    let silent = 0
    for (const [router, { reportedAt }] of routers) {
      if (now - reportedAt > CREDIT_TTL_MS) removeRouter(router)
      else if (now - reportedAt > contactTimeoutMs) silent += 1
    }
    activeRatio = routers.size === 0 ? 1 : 1 - silent / routers.size
  }
  const resolveIncarnation = ({ router, life }: QuotaReport, now: number): RouterIncarnation => {
    const known = routers.get(router)
    if (known?.life === life) return known
    removeRouter(router)
    const created: RouterIncarnation = { life, sequence: -1, reportedAt: now, teams: new Map() }
    routers.set(router, created)
    return created
  }
  const resolveCredits = (incarnation: RouterIncarnation, use: CreditUse): RouterCredits => {
    const known = incarnation.teams.get(use.key)
    if (known) return known
    const credits = { granted: 0, returned: use.returned, outstanding: 0, refused: 0 }
    incarnation.teams.set(use.key, credits)
    return credits
  }
  const grant = (bucket: Bucket, credits: RouterCredits, amount: number) => {
    bucket.level -= amount
    bucket.granted += amount
    bucket.outstanding += amount
    credits.granted += amount
    credits.outstanding += amount
  }
  const recordUse = (
    bucket: Bucket,
    credits: RouterCredits,
    use: CreditUse,
    isCurrentTerm: boolean,
  ) => {
    const seen = isCurrentTerm ? use.seen : 0
    const outstanding = credits.granted - seen + use.held
    bucket.outstanding += outstanding - credits.outstanding
    credits.outstanding = outstanding
    const returned = Math.max(0, use.returned - credits.returned)
    credits.returned += returned
    bucket.level += returned
    // Use beyond a router's credits is deducted before any further credits are granted.
    if (outstanding < 0) grant(bucket, credits, -outstanding)
  }
  /** Grants whole requests while the level is positive, so that large requests are not refused more often. */
  const grantWaiting = (bucket: Bucket, credits: RouterCredits, waiting: readonly number[]) => {
    for (const cost of waiting) {
      if (bucket.level > 0) {
        grant(bucket, credits, cost)
      } else {
        bucket.refused += cost
        credits.refused += 1
      }
    }
  }
  /** A team is not scarce while its bucket is well filled and covers the use expected until the next reports. */
  const isScarce = ({ level, granted, outstanding, quota }: Bucket) => {
    const unreported = (granted * estimateReportLagMs(routers.size)) / DEMAND_DECAY_MS
    const room = findCapacity(quota) - Math.max(0, outstanding)
    return level < Math.max(SCARCE_RATIO * room, unreported)
  }
  const grantPrefetch = (bucket: Bucket, credits: RouterCredits, prefetch: number) => {
    if (isScarce(bucket)) return
    const wanted = prefetch - Math.max(0, credits.outstanding)
    const maxPrefetch = PREFETCH_RATIO * bucket.level
    if (wanted > 0) grant(bucket, credits, Math.min(wanted, maxPrefetch))
  }
  const findRetryMs = ({ level, refused, quota }: Bucket): number => {
    const waitMs = ((Math.max(0, -level) + refused) / quota.perSecond) * MS_PER_S
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, Math.round(waitMs)))
  }
  const applyUse = (
    incarnation: RouterIncarnation,
    use: CreditUse,
    isCurrentTerm: boolean,
    now: number,
  ): CreditGrant[] => {
    const bucket = findBucket(use.key, now)
    if (!bucket) return []
    const credits = resolveCredits(incarnation, use)
    recordUse(bucket, credits, use, isCurrentTerm)
    grantWaiting(bucket, credits, use.waiting)
    grantPrefetch(bucket, credits, use.prefetch)
    markScarce(use.key, bucket)
    const { granted } = credits
    return [{ key: use.key, granted, retryAfterMs: findRetryMs(bucket) }]
  }
  const markScarce = (key: string, bucket: Bucket | undefined) => {
    if (bucket && isScarce(bucket)) scarce.add(key)
    else scarce.delete(key)
  }
  const listScarce = (now: number) => {
    if (now - scarceScannedAt >= SCARCE_SCAN_PERIOD_MS) {
      scarceScannedAt = now
      for (const key of [...buckets.keys()]) markScarce(key, findBucket(key, now))
    }
    return [...scarce]
  }
  const applyRouterReport = (report: QuotaReport, now: number): CreditGrant[] => {
    const incarnation = resolveIncarnation(report, now)
    incarnation.reportedAt = now
    updateActiveRatio(now)
    // Reports can arrive out of order over several connections; an older one is stale.
    if (report.sequence <= incarnation.sequence) return []
    incarnation.sequence = report.sequence
    return report.uses.flatMap((use) => applyUse(incarnation, use, report.term === term, now))
  }
  const buildGrants = (report: QuotaReport, grants: readonly CreditGrant[], now: number) => ({
    term,
    sequence: report.sequence,
    grants,
    scarce: listScarce(now),
  })
  return {
    reset: (newTerm) => {
      term = newTerm
      termBeganAt = timers.now()
      buckets.clear()
      routers.clear()
      scarce.clear()
      scarceScannedAt = -Infinity
    },
    applyReport: (report) => {
      const now = timers.now()
      return buildGrants(report, applyRouterReport(report, now), now)
    },
    listGrants: (report) => {
      const now = timers.now()
      const known = routers.get(report.router)
      const grants = report.uses.flatMap(({ key }) => {
        const bucket = findBucket(key, now)
        const credits = known?.life === report.life ? known.teams.get(key) : undefined
        if (!bucket || !credits) return []
        return [{ key, granted: credits.granted, retryAfterMs: findRetryMs(bucket) }]
      })
      return buildGrants(report, grants, now)
    },
    list: () => {
      const now = timers.now()
      updateActiveRatio(now)
      const listByRouter = (key: string, pick: (credits: RouterCredits) => number) =>
        Object.fromEntries(
          [...routers].flatMap(([router, { teams }]) => {
            const credits = teams.get(key)
            return credits ? [[router, pick(credits)]] : []
          }),
        )
      return [...buckets].map(([key, bucket]) => {
        fill(bucket, now)
        const { unit, perSecond, burst } = bucket.quota
        return {
          team: key.slice(unit.length + 1),
          unit,
          perSecond,
          burst,
          level: bucket.level,
          held: bucket.outstanding,
          isScarce: isScarce(bucket),
          grantedByRouter: listByRouter(key, ({ granted }) => granted),
          refusedByRouter: listByRouter(key, ({ refused }) => refused),
        }
      })
    },
  }
}
