/**
 * Distributes the teams' limits over the routers. A limit applies to all routers together: each router leases a share
 * for a short time, and the sum of unexpired shares never exceeds the limit. The ledger is soft state of the leader; a
 * new leader grants nothing until all shares of its predecessor have expired.
 */
import type { TeamParameters } from '@spoolgate/config'
import type { Invariants, TeamId, TimerService } from '@spoolgate/core'

/** Quantities that can be limited. */
export const LIMIT_KINDS = ['concurrentRequests', 'requestsPerSecond', 'tokensPerSecond'] as const

/** Kind of a limit. */
export type LimitKind = (typeof LIMIT_KINDS)[number]

/** Amounts by kind of limit; kinds without a limit are omitted. */
export type LimitAmounts = { readonly [Kind in LimitKind]?: number }

/** Demand reported by a router. */
export interface ShareRequest {
  readonly router: string
  /** Demand by team, in the unit of each limit. */
  readonly demands: Readonly<Record<string, LimitAmounts>>
}

/** Shares that a router may use until they expire. */
export interface ShareReply {
  readonly shares: Readonly<Record<string, LimitAmounts>>
  readonly expiresInMs: number
}

/** Options of {@link createShareLedger}. */
export interface ShareLedgerOptions {
  readonly timers: TimerService
  readonly invariants: Invariants
  /** Finds a team's parameters in the current configuration. */
  readonly findParameters: (team: TeamId) => TeamParameters | undefined
}

/** Shares granted by the leader. */
export interface ShareLedger {
  grant(request: ShareRequest): ShareReply
  /** Lists the unexpired shares of a limit, by router. */
  listShares(team: TeamId, kind: LimitKind): Readonly<Record<string, number>>
  /** Clears all shares and grants nothing until earlier ones have expired; required of a new leader. */
  reset(): void
}

/** Time to live of a share, in ms: long enough to span an election, short enough to follow changes in demand. */
export const SHARE_TTL_MS = 5_000
/** Minimum demand assumed for each router, so that a share is available for its first request. */
const MIN_DEMAND = 1

interface Grant {
  readonly amount: number
  readonly demand: number
  readonly expiresAt: number
}

/** Grants of one limit, by router. */
type RouterGrants = Map<string, Grant>

function countTotal(grants: RouterGrants, pick: (grant: Grant) => number): number {
  return [...grants.values()].reduce((sum, grant) => sum + pick(grant), 0)
}

/** Creates an empty ledger that grants nothing until earlier shares have expired. */
export function createShareLedger(options: ShareLedgerOptions): ShareLedger {
  const { timers, invariants } = options
  const limits = new Map<string, RouterGrants>()
  let grantsStartAt = timers.now() + SHARE_TTL_MS

  const formatName = (team: string, kind: LimitKind) => `${team}/${kind}`
  const findActiveGrants = (name: string, now: number): RouterGrants => {
    const grants: RouterGrants = limits.get(name) ?? new Map()
    limits.set(name, grants)
    for (const [router, grant] of grants) if (grant.expiresAt <= now) grants.delete(router)
    return grants
  }
  const grantShare = (name: string, router: string, limit: number, requested: number): number => {
    const now = timers.now()
    const grants = findActiveGrants(name, now)
    grants.delete(router)
    const demand = Math.max(requested, MIN_DEMAND)
    const totalDemand = demand + countTotal(grants, (grant) => grant.demand)
    const available = Math.max(0, limit - countTotal(grants, (grant) => grant.amount))
    // A share is proportional to demand; it is larger while unallocated capacity covers more of the router's demand.
    const fair = limit * (demand / totalDemand)
    const amount =
      now < grantsStartAt ? 0 : Math.min(available, Math.max(fair, Math.min(demand, available)))
    const expiresAt = now + SHARE_TTL_MS
    grants.set(router, { amount, demand, expiresAt })
    const total = countTotal(grants, (grant) => grant.amount)
    invariants.assert('limitSumKept', total <= limit + Number.EPSILON * limit * 8, () => ({
      limit: name,
      total,
    }))
    return amount
  }
  return {
    grant: ({ router, demands }) => {
      const shares = Object.entries(demands).map(([team, asked]) => {
        const parameters = options.findParameters(team as TeamId)
        const amounts = LIMIT_KINDS.flatMap((kind) => {
          const limit = parameters?.[kind]
          if (limit === undefined) return []
          return [[kind, grantShare(formatName(team, kind), router, limit, asked[kind] ?? 0)]]
        })
        return [team, Object.fromEntries(amounts)]
      })
      return { shares: Object.fromEntries(shares), expiresInMs: SHARE_TTL_MS }
    },
    listShares: (team, kind) => {
      const grants = findActiveGrants(formatName(team, kind), timers.now())
      return Object.fromEntries([...grants].map(([router, { amount }]) => [router, amount]))
    },
    reset: () => {
      limits.clear()
      grantsStartAt = timers.now() + SHARE_TTL_MS
    },
  }
}
