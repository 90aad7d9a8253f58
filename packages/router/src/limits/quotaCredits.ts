/**
 * A router's credits of the teams' limits, as the leader granted them. Facts in, verdicts out; no clock and no socket. While a team has room,
 * a router may use some of its share ahead; while it is scarce, each request needs its credits; without a leader, a share of the rate is left.
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
  /** One life of this process. */
  readonly incarnation: string
  /** Counts the routers that polled lately, this one included. */
  readonly countRouters: () => number
  readonly random: RandomSource
}

/** A use of a team's limit by one send. */
export interface QuotaCharge {
  readonly team: TeamId
  readonly quota: TeamQuota
  /** In the unit of the quota. */
  readonly cost: number
}

/** Figures behind a verdict, for the log. */
export interface CreditStatus {
  readonly held: number
  readonly isScarce: boolean
  /** Time since the leader was last asked with success, in ms. */
  readonly contactAgeMs: number
  readonly retryAfterMs: number
}

/** See {@link createQuotaCredits}. Instants are in ms of the clock for promises. */
export interface QuotaCredits {
  /** Takes the credits of a send; false where they are missing. */
  take(use: QuotaCharge, now: number): boolean
  /** Gives back the credits of a send that no server ran. */
  refund(use: QuotaCharge): void
  /** Whether it is of use to ask the leader for more. */
  hasLeaderContact(now: number): boolean
  /** Builds the report of what changed, with the costs of requests that wait. */
  buildReport(waiting: readonly QuotaCharge[], now: number): QuotaReport
  applyGrants(grants: QuotaGrants, askedAt: number): void
  findStatus(use: QuotaCharge, now: number): CreditStatus
}

/** Time over which demand is averaged, in ms. */
const DEMAND_MEMORY_MS = 1_000
/** Time whose demand should be covered by credits held, in ms. */
const PREFETCH_MS = 100
/** Credits beyond this multiple of the prefetch are given back. */
const SURPLUS_RATIO = 2
/** Time whose even share a router may use ahead while a team has room, in ms. */
const AHEAD_MS = 2_000
/** Part of an even share that a router uses without a leader while a team is scarce. */
const SCARCE_SHARE = 0.5
/** Time whose share may be saved up without a leader, in ms. */
const SHARE_BURST_MS = 1_000
/** Reports without an answer that are remembered. */
const MAX_IN_FLIGHT = 64
/** Limits of teams that are remembered: several times those of a large fleet. */
const MAX_TEAMS = 5_000
/** Retry delay where no leader named one, in ms. */
const DEFAULT_RETRY_MS = 300
const MS_PER_S = 1_000

interface TeamCredits {
  held: number
  seen: number
  returned: number
  /** Units a second, decaying. */
  demand: number
  demandAt: number
  /** What draws without a leader took less than they cost. */
  drawn: number
  /** Until when a share was added. */
  sharedUntil: number
  retryAfterMs: number
  /** Rises with each change of what is held. */
  changes: number
  /** `changes` as the leader knows it. */
  reported: number
}

/** Creates credits of nobody. */
export function createQuotaCredits(options: QuotaCreditsOptions): QuotaCredits {
  const { router, incarnation: life, countRouters, random } = options
  /** By key of their limit. */
  const teams = new Map<string, TeamCredits>()
  /** `changes` of the teams in each report that is not answered. */
  const inFlight = new Map<number, ReadonlyMap<string, number>>()
  let scarce: ReadonlySet<string> = new Set()
  let contactAt = -Infinity
  let term = -1
  let sequence = 0
  let appliedSequence = -1

  const findKey = ({ team, quota }: QuotaCharge) => formatQuotaKey(team, quota.unit)
  const isScarce = (use: QuotaCharge) => scarce.has(findKey(use))
  const findTeam = (key: string, now: number): TeamCredits => {
    const known = teams.get(key)
    if (known) return known
    const created: TeamCredits = {
      held: 0,
      seen: 0,
      returned: 0,
      demand: 0,
      demandAt: now,
      drawn: 0,
      sharedUntil: now,
      retryAfterMs: DEFAULT_RETRY_MS,
      changes: 0,
      reported: 0,
    }
    teams.set(key, created)
    removeOldest(teams, MAX_TEAMS)
    return created
  }
  const findDemand = ({ demand, demandAt }: TeamCredits, now: number): number =>
    demand * Math.exp(-Math.max(0, now - demandAt) / DEMAND_MEMORY_MS)
  const findSilentSince = () => contactAt + findContactTimeoutMs(countRouters())
  const findEvenShare = ({ quota }: QuotaCharge): number =>
    quota.perSecond / Math.max(1, countRouters()) / MS_PER_S
  /** Finds what this router may use without a leader, in units a ms: for a team with room, at least what it used before. */
  const findShare = (credits: TeamCredits, use: QuotaCharge, now: number): number => {
    const even = findEvenShare(use)
    if (isScarce(use)) return SCARCE_SHARE * even
    return Math.max(even, findDemand(credits, now) / MS_PER_S)
  }
  /** Adds this router's share of the rate for the time without a leader. */
  const settleSilence = (credits: TeamCredits, use: QuotaCharge, now: number) => {
    if (now - contactAt > CREDIT_TTL_MS) credits.held = Math.min(0, credits.held)
    const since = Math.max(credits.sharedUntil, findSilentSince())
    if (now <= since) return
    const share = findShare(credits, use, now)
    const most = Math.max(credits.held, share * SHARE_BURST_MS)
    credits.held = Math.min(most, credits.held + share * (now - since))
    credits.sharedUntil = now
    credits.changes += 1
  }
  /**
   * Decides whether a send may use more than the credits held. Routers together use no more ahead than the rate of {@link AHEAD_MS}, and in
   * touch with the leader one request besides, which the next poll reports. Without a leader a request beyond this router's part goes with
   * the probability that the part covers, so that large ones are not all refused where there are many routers.
   */
  const drawOverdraft = (credits: TeamCredits, use: QuotaCharge, now: number): boolean => {
    if (contactAt === -Infinity || isScarce(use)) return false
    const part = credits.held + credits.drawn + findEvenShare(use) * AHEAD_MS
    if (now <= findSilentSince()) return credits.held >= 0 || part >= use.cost
    const covered = Math.min(use.cost, Math.max(0, part))
    const isDrawn = random.next() * use.cost < covered
    credits.drawn += isDrawn ? use.cost - covered : -covered
    return isDrawn
  }
  const recordDemand = (credits: TeamCredits, cost: number, now: number) => {
    const passedMs = Math.max(0, now - credits.demandAt)
    credits.demand *= Math.exp(-passedMs / DEMAND_MEMORY_MS)
    credits.demand += (cost / DEMAND_MEMORY_MS) * MS_PER_S
    credits.demandAt = now
  }
  const findPrefetch = (credits: TeamCredits, now: number): number =>
    (findDemand(credits, now) * PREFETCH_MS) / MS_PER_S
  /** Credits that an idle router keeps are missing elsewhere. */
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
      credits.changes += 1
    }
    const { seen, held, returned } = credits
    return { key, seen, held, returned, prefetch, waiting }
  }
  const applyGrant = ({ key, granted, retryAfterMs }: CreditGrant) => {
    const credits = teams.get(key)
    if (!credits) return
    credits.retryAfterMs = retryAfterMs
    // Answers overtake each other; each names the sum of all credits.
    if (granted <= credits.seen) return
    credits.held += granted - credits.seen
    credits.seen = granted
    credits.changes += 1
  }
  const beginTerm = (next: number) => {
    term = next
    inFlight.clear()
    appliedSequence = -1
    for (const credits of teams.values()) {
      credits.seen = 0
      credits.reported = -1
    }
  }
  const recordReported = (answered: number) => {
    for (const [key, changes] of inFlight.get(answered) ?? []) {
      const credits = teams.get(key)
      if (credits) credits.reported = Math.max(credits.reported, changes)
    }
    inFlight.delete(answered)
  }
  return {
    take: (use, now) => {
      const { cost } = use
      const credits = findTeam(findKey(use), now)
      settleSilence(credits, use, now)
      if (credits.held < cost && !drawOverdraft(credits, use, now)) return false
      // What is used without a leader does not raise the share that is used without one.
      if (now <= findSilentSince()) recordDemand(credits, cost, now)
      credits.held -= cost
      credits.changes += 1
      return true
    },
    refund: (use) => {
      const credits = teams.get(findKey(use))
      if (!credits) return
      credits.held += use.cost
      credits.changes += 1
    },
    hasLeaderContact: (now) => now <= findSilentSince(),
    buildReport: (waiting, now) => {
      const costs = new Map<string, number[]>()
      for (const use of waiting) {
        const key = findKey(use)
        costs.set(key, [...(costs.get(key) ?? []), use.cost])
      }
      const isReported = (key: string, credits: TeamCredits) =>
        credits.changes !== credits.reported || costs.has(key) || isSurplus(credits, now)
      const changed = [...teams].filter(([key, credits]) => isReported(key, credits))
      const uses = changed.map(([key, credits]) =>
        buildUse(key, credits, costs.get(key) ?? [], now),
      )
      sequence += 1
      inFlight.set(sequence, new Map(changed.map(([key, { changes }]) => [key, changes])))
      removeOldest(inFlight, MAX_IN_FLIGHT)
      return { router, life, sequence, term, uses }
    },
    applyGrants: (grants, askedAt) => {
      if (grants.term < term) return
      if (grants.term > term) beginTerm(grants.term)
      if (askedAt > contactAt) {
        contactAt = askedAt
        for (const credits of teams.values()) credits.drawn = 0
      }
      for (const grant of grants.grants) applyGrant(grant)
      recordReported(grants.sequence)
      if (grants.sequence < appliedSequence) return
      appliedSequence = grants.sequence
      scarce = new Set(grants.scarce)
    },
    findStatus: (use, now) => {
      const { held = 0, retryAfterMs = DEFAULT_RETRY_MS } = teams.get(findKey(use)) ?? {}
      const contactAgeMs = Math.round(now - contactAt)
      return { held: Math.round(held), isScarce: isScarce(use), contactAgeMs, retryAfterMs }
    },
  }
}
