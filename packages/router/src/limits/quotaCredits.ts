/**
 * The team quota credits that the leader has granted to a router. Has no timers and does no I/O: callers pass in the time
 * and the messages. While a team is not scarce, a router may overdraw its credits; while it is scarce, each request needs
 * enough credits. Without contact to the leader, a router uses a share of the rate on its own.
 */
import {
  CREDIT_TTL_MS,
  findContactTimeoutMs,
  formatQuotaKey,
  type CreditGrant,
  type CreditUse,
  type QuotaGrants,
  type QuotaReport,
} from '@spoolgate/control'
import { removeOldest, type RandomSource, type TeamId } from '@spoolgate/core'
import type { TeamQuota } from '@spoolgate/routing'

/** Options of {@link createQuotaCredits}. */
export interface QuotaCreditsOptions {
  readonly router: string
  /** Identifier of one run of this process. */
  readonly incarnation: string
  /** Counts the routers that polled the leader recently, including this one. */
  readonly countRouters: () => number
  readonly random: RandomSource
}

/** The amount that one send takes from a team's quota. */
export interface QuotaCharge {
  readonly team: TeamId
  readonly quota: TeamQuota
  /** In the unit of the quota. */
  readonly cost: number
}

/** State of a team's credits, for the log and for retry delays. */
export interface CreditStatus {
  readonly held: number
  readonly isScarce: boolean
  /** Time since the last successful request to the leader was sent, in ms. */
  readonly contactAgeMs: number
  readonly retryAfterMs: number
}

/** See {@link createQuotaCredits}. Times are in ms of `timers.promiseNow()`. */
export interface QuotaCredits {
  /** Takes the credits for a send; returns false if there are not enough. */
  take(charge: QuotaCharge, now: number): boolean
  /** Returns the credits of a send that no server ran. */
  refund(charge: QuotaCharge): void
  /** Whether the leader was reached recently, so that it is worth requesting more credits. */
  hasLeaderContact(now: number): boolean
  /** Builds the report of changed limits, with the costs of the waiting requests. */
  buildReport(waiting: readonly QuotaCharge[], now: number): QuotaReport
  applyGrants(grants: QuotaGrants, requestedAt: number): void
  findStatus(charge: QuotaCharge, now: number): CreditStatus
}

/** Time constant of the exponential average of demand, in ms. */
const DEMAND_DECAY_MS = 1_000
/** Time for which prefetched credits cover the demand, in ms. */
const PREFETCH_MS = 100
/** Credits beyond this multiple of the prefetch are returned to the leader. */
const SURPLUS_RATIO = 2
/** Maximum overdraft while a team is not scarce, as time at an equal share of the rate, in ms. */
const OVERDRAFT_MS = 2_000
/** Fraction of an equal share that a router uses without a leader while a team is scarce. */
const SCARCE_SHARE_RATIO = 0.5
/** Maximum unused share accumulated without a leader, as time at that share, in ms. */
const OFFLINE_BURST_MS = 1_000
/** Maximum number of unacknowledged reports that are remembered. */
const MAX_IN_FLIGHT_REPORTS = 64
/** Maximum number of team limits that are remembered: several times those of a large fleet. */
const MAX_TEAM_LIMITS = 5_000
/** Retry delay if the leader has sent none, in ms. */
const DEFAULT_RETRY_MS = 300
const MS_PER_S = 1_000

interface TeamCredits {
  held: number
  seen: number
  returned: number
  /** Exponentially decaying average, in units per second. */
  demand: number
  demandUpdatedAt: number
  /** Sum of cost minus covered cost over random overdrafts, so that the covered cost counts instead of the outcome. */
  overdraftCorrection: number
  /** Time up to which this router's own share has been added. */
  shareAddedUntil: number
  retryAfterMs: number
  /** Increases with each change of the credits. */
  revision: number
  /** The newest revision that the leader has acknowledged. */
  reportedRevision: number
}

/** Creates an empty set of credits. */
export function createQuotaCredits(options: QuotaCreditsOptions): QuotaCredits {
  const { router, incarnation, countRouters, random } = options
  /** Credits by the key of their limit. */
  const creditsByKey = new Map<string, TeamCredits>()
  /** Revisions of the limits in each unacknowledged report, by sequence. */
  const inFlight = new Map<number, ReadonlyMap<string, number>>()
  let scarce: ReadonlySet<string> = new Set()
  let lastContactAt = -Infinity
  let term = -1
  let sequence = 0
  let appliedSequence = -1

  const formatKey = ({ team, quota }: QuotaCharge) => formatQuotaKey(team, quota.unit)
  const isScarce = (charge: QuotaCharge) => scarce.has(formatKey(charge))
  const findCredits = (key: string, now: number): TeamCredits => {
    const existing = creditsByKey.get(key)
    if (existing) return existing
    const created: TeamCredits = {
      held: 0,
      seen: 0,
      returned: 0,
      demand: 0,
      demandUpdatedAt: now,
      overdraftCorrection: 0,
      shareAddedUntil: now,
      retryAfterMs: DEFAULT_RETRY_MS,
      revision: 0,
      reportedRevision: 0,
    }
    creditsByKey.set(key, created)
    removeOldest(creditsByKey, MAX_TEAM_LIMITS)
    return created
  }
  const findDemand = ({ demand, demandUpdatedAt }: TeamCredits, now: number): number =>
    demand * Math.exp(-Math.max(0, now - demandUpdatedAt) / DEMAND_DECAY_MS)
  const findContactDeadline = () => lastContactAt + findContactTimeoutMs(countRouters())
  const findEqualShare = ({ quota }: QuotaCharge): number =>
    quota.perSecond / Math.max(1, countRouters()) / MS_PER_S
  /** Finds the rate for use without a leader, in units per ms; unless the team is scarce, at least the rate used before. */
  const findOfflineShare = (credits: TeamCredits, charge: QuotaCharge, now: number): number => {
    const equalShare = findEqualShare(charge)
    if (isScarce(charge)) return SCARCE_SHARE_RATIO * equalShare
    return Math.max(equalShare, findDemand(credits, now) / MS_PER_S)
  }
  /** Adds this router's own share of the rate for the time without a leader. */
  const addOfflineShare = (credits: TeamCredits, charge: QuotaCharge, now: number) => {
    if (now - lastContactAt > CREDIT_TTL_MS) credits.held = Math.min(0, credits.held)
    const since = Math.max(credits.shareAddedUntil, findContactDeadline())
    if (now <= since) return
    const share = findOfflineShare(credits, charge, now)
    const maxHeld = Math.max(credits.held, share * OFFLINE_BURST_MS)
    credits.held = Math.min(maxHeld, credits.held + share * (now - since))
    credits.shareAddedUntil = now
    credits.revision += 1
  }
  /**
   * Decides whether a send may use more than the credits held. All routers together overdraw by at most the rate of
   * {@link OVERDRAFT_MS}; with contact to the leader each may add one request, which its next poll reports. Without a
   * leader, a request above this router's allowance is admitted with the probability that the allowance covers its cost,
   * so that large requests are not all refused when there are many routers.
   */
  const drawOverdraft = (credits: TeamCredits, charge: QuotaCharge, now: number): boolean => {
    if (lastContactAt === -Infinity || isScarce(charge)) return false
    const allowance =
      credits.held + credits.overdraftCorrection + findEqualShare(charge) * OVERDRAFT_MS
    if (now <= findContactDeadline()) return credits.held >= 0 || allowance >= charge.cost
    const coveredCost = Math.min(charge.cost, Math.max(0, allowance))
    const isAllowed = random.next() * charge.cost < coveredCost
    credits.overdraftCorrection += isAllowed ? charge.cost - coveredCost : -coveredCost
    return isAllowed
  }
  const recordDemand = (credits: TeamCredits, cost: number, now: number) => {
    const elapsedMs = Math.max(0, now - credits.demandUpdatedAt)
    credits.demand *= Math.exp(-elapsedMs / DEMAND_DECAY_MS)
    credits.demand += (cost / DEMAND_DECAY_MS) * MS_PER_S
    credits.demandUpdatedAt = now
  }
  const findPrefetch = (credits: TeamCredits, now: number): number =>
    (findDemand(credits, now) * PREFETCH_MS) / MS_PER_S
  /** Credits that an idle router keeps are not available to other routers. */
  const isSurplus = (credits: TeamCredits, now: number): boolean =>
    credits.held > SURPLUS_RATIO * findPrefetch(credits, now) + 1
  const buildUse = (
    key: string,
    credits: TeamCredits,
    waiting: readonly number[],
    now: number,
  ): CreditUse => {
    const prefetch = findPrefetch(credits, now)
    if (waiting.length === 0 && isSurplus(credits, now)) {
      credits.returned += credits.held - prefetch
      credits.held = prefetch
      credits.revision += 1
    }
    const { seen, held, returned } = credits
    return { key, seen, held, returned, prefetch, waiting }
  }
  const applyGrant = ({ key, granted, retryAfterMs }: CreditGrant) => {
    const credits = creditsByKey.get(key)
    if (!credits) return
    credits.retryAfterMs = retryAfterMs
    // Replies can arrive out of order; each contains the cumulative credits.
    if (granted <= credits.seen) return
    credits.held += granted - credits.seen
    credits.seen = granted
    credits.revision += 1
  }
  const startTerm = (newTerm: number) => {
    term = newTerm
    inFlight.clear()
    appliedSequence = -1
    for (const credits of creditsByKey.values()) {
      credits.seen = 0
      credits.reportedRevision = -1
    }
  }
  const recordAcknowledged = (acknowledgedSequence: number) => {
    for (const [key, revision] of inFlight.get(acknowledgedSequence) ?? []) {
      const credits = creditsByKey.get(key)
      if (credits) credits.reportedRevision = Math.max(credits.reportedRevision, revision)
    }
    inFlight.delete(acknowledgedSequence)
  }
  return {
    take: (charge, now) => {
      const { cost } = charge
      const credits = findCredits(formatKey(charge), now)
      addOfflineShare(credits, charge, now)
      if (credits.held < cost && !drawOverdraft(credits, charge, now)) return false
      // Use without a leader must not raise the share that a router uses without a leader.
      if (now <= findContactDeadline()) recordDemand(credits, cost, now)
      credits.held -= cost
      credits.revision += 1
      return true
    },
    refund: (charge) => {
      const credits = creditsByKey.get(formatKey(charge))
      if (!credits) return
      credits.held += charge.cost
      credits.revision += 1
    },
    hasLeaderContact: (now) => now <= findContactDeadline(),
    buildReport: (waiting, now) => {
      const waitingCosts = new Map<string, number[]>()
      for (const charge of waiting) {
        const key = formatKey(charge)
        waitingCosts.set(key, [...(waitingCosts.get(key) ?? []), charge.cost])
      }
      const isReported = (key: string, credits: TeamCredits) =>
        credits.revision !== credits.reportedRevision ||
        waitingCosts.has(key) ||
        isSurplus(credits, now)
      const changed = [...creditsByKey].filter(([key, credits]) => isReported(key, credits))
      const uses = changed.map(([key, credits]) =>
        buildUse(key, credits, waitingCosts.get(key) ?? [], now),
      )
      sequence += 1
      inFlight.set(sequence, new Map(changed.map(([key, { revision }]) => [key, revision])))
      removeOldest(inFlight, MAX_IN_FLIGHT_REPORTS)
      return { router, life: incarnation, sequence, term, uses }
    },
    applyGrants: (grants, requestedAt) => {
      if (grants.term < term) return
      if (grants.term > term) startTerm(grants.term)
      if (requestedAt > lastContactAt) {
        lastContactAt = requestedAt
        for (const credits of creditsByKey.values()) credits.overdraftCorrection = 0
      }
      for (const grant of grants.grants) applyGrant(grant)
      recordAcknowledged(grants.sequence)
      if (grants.sequence < appliedSequence) return
      appliedSequence = grants.sequence
      scarce = new Set(grants.scarce)
    },
    findStatus: (charge, now) => {
      const { held = 0, retryAfterMs = DEFAULT_RETRY_MS } =
        creditsByKey.get(formatKey(charge)) ?? {}
      const contactAgeMs = Math.round(now - lastContactAt)
      return { held: Math.round(held), isScarce: isScarce(charge), contactAgeMs, retryAfterMs }
    },
  }
}
