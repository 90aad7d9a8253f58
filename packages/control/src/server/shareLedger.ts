/**
 * Shares of the teams' limits. A limit holds over all routers: each holds a share for a short time,
 * and the shares that have not expired never add up to more than the limit. The ledger is soft
 * state of the leader; a new leader hands out nothing until every earlier share has expired.
 */
import type { TeamParameters } from '@spoolgate/config'
import type { Invariants, TeamId, TimerService } from '@spoolgate/core'

/** What a limit counts. */
export const LIMIT_KINDS = ['concurrentRequests', 'requestsPerSecond', 'tokensPerSecond'] as const

/** Kind of a limit. */
export type LimitKind = (typeof LIMIT_KINDS)[number]

/** Amounts by kind of limit; a kind without a limit is left out. */
export type LimitAmounts = { readonly [Kind in LimitKind]?: number }

/** What a router asks for. */
export interface ShareRequest {
  readonly router: string
  /** Amounts in demand by team, in the unit of each limit. */
  readonly demands: Readonly<Record<string, LimitAmounts>>
}

/** What a router may use until the shares expire. */
export interface ShareReply {
  readonly shares: Readonly<Record<string, LimitAmounts>>
  readonly expiresInMs: number
}

/** Options of {@link createShareLedger}. */
export interface ShareLedgerOptions {
  readonly timers: TimerService
  readonly invariants: Invariants
  /** Finds the parameters of a team in the configuration in force. */
  readonly findParameters: (team: TeamId) => TeamParameters | undefined
}

/** The shares that a leader has handed out. */
export interface ShareLedger {
  grant(request: ShareRequest): ShareReply
  /** Forgets everything and waits until earlier shares have expired, as a new leader must. */
  reset(): void
}

/** Life of a share, in ms: long enough for an election, short enough to follow demand. */
export const SHARE_TTL_MS = 5_000
/** Demand that a router without any is presumed to have, so that its first request finds a share. */
const MIN_DEMAND = 1

interface Grant {
  readonly amount: number
  readonly demand: number
  readonly expiresAt: number
}

/** Grants of one limit by router. */
type RouterGrants = Map<string, Grant>

function countTotal(grants: RouterGrants, pick: (grant: Grant) => number): number {
  return [...grants.values()].reduce((sum, grant) => sum + pick(grant), 0)
}

/** Creates an empty ledger that hands out nothing until earlier shares have expired. */
export function createShareLedger(options: ShareLedgerOptions): ShareLedger {
  const { timers, invariants } = options
  const limits = new Map<string, RouterGrants>()
  let grantsStartAt = timers.now() + SHARE_TTL_MS

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
    // A router gets its part by demand, and while nobody else asks for more, what is free.
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
          return [[kind, grantShare(`${team}/${kind}`, router, limit, asked[kind] ?? 0)]]
        })
        return [team, Object.fromEntries(amounts)]
      })
      return { shares: Object.fromEntries(shares), expiresInMs: SHARE_TTL_MS }
    },
    reset: () => {
      limits.clear()
      grantsStartAt = timers.now() + SHARE_TTL_MS
    },
  }
}
