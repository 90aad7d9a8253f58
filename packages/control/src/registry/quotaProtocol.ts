/**
 * What routers and the leader say to each other about the limits of teams. Amounts are in the unit of a team's quota. Credits are counted
 * from the beginning of a leader's term, so that a lost, late or doubled message changes no sum.
 */

import type { TeamId } from '@spoolgate/core'
import type { QuotaUnit } from '@spoolgate/routing'

/** Path at the leader where routers ask for credits at once. */
export const QUOTA_PATH = '/quotas'
/** Time without contact to the leader after which credits are void, in ms. */
export const CREDIT_TTL_MS = 4_000

const BASE_SILENCE_MS = 350
/** The answer to a poll arrives up to two times between polls after the one before was sent. */
const SILENCE_PER_ROUTER_MS = 4.5
const LAG_PER_ROUTER_MS = 2.5

/**
 * Finds the silence between a router and the leader, in ms, after which the router uses a share of each rate by itself, and the
 * leader leaves it that share. It follows the time between two polls.
 */
export function findContactTimeoutMs(routers: number): number {
  return BASE_SILENCE_MS + routers * SILENCE_PER_ROUTER_MS
}

/** Finds how old reports are at the leader, in ms. */
export function estimateReportLagMs(routers: number): number {
  return routers * LAG_PER_ROUTER_MS
}

/** Formats under which name the limit of a team is kept: credits of one unit are worth nothing in another. */
export function formatQuotaKey(team: TeamId, unit: QuotaUnit): string {
  return `${unit} ${team}`
}

/** What a router has of one team's limit. */
export interface CreditUse {
  /** See {@link formatQuotaKey}. */
  readonly key: string
  /** Credits granted by the leader of the term that this report counts in. */
  readonly seen: number
  /** Credits that are left; below 0 where more was used than granted. */
  readonly held: number
  /** Credits given back since the process started. */
  readonly returned: number
  /** Credits that it would like to hold for the requests to come. */
  readonly prefetch: number
  /** Costs of requests that wait for credits. */
  readonly waiting: readonly number[]
}

/** Report of a router. */
export interface QuotaReport {
  readonly router: string
  /** One life of the router's process. */
  readonly life: string
  /** Rises with each report of a life. */
  readonly sequence: number
  /** Term of the leader that `seen` counts in. */
  readonly term: number
  /** Teams whose use changed since the last report. */
  readonly uses: readonly CreditUse[]
}

/** Credits of one team. */
export interface CreditGrant {
  readonly key: string
  /** All credits that the router got in this term. */
  readonly granted: number
  /** When a request that gets none should come back, in ms. */
  readonly retryAfterMs: number
}

/** Answer of the leader. */
export interface QuotaGrants {
  readonly term: number
  /** Sequence of the report that this answers; -1 for none. */
  readonly sequence: number
  readonly grants: readonly CreditGrant[]
  /** Keys of the teams that have little room left. */
  readonly scarce: readonly string[]
}

/** Tolerance on the sum of what runs, as the deployment's bounds allow it. */
export interface QuotaTolerance {
  /** Part of what a team is allowed within a window. */
  readonly ratio: number
  /** Units beyond that. */
  readonly slack: number
  readonly windowMs: number
}

/** State of one team's limit at the leader, for operators. */
export interface QuotaStatus {
  readonly team: string
  readonly unit: string
  readonly perSecond: number
  readonly burst: number
  /** Credits that the leader can grant now. */
  readonly level: number
  /** Credits that routers hold. */
  readonly held: number
  readonly isScarce: boolean
  /** Credits granted by router within the term. */
  readonly grantedByRouter: Readonly<Record<string, number>>
  /** Requests that got no credits within the term, by router. */
  readonly refusedByRouter: Readonly<Record<string, number>>
}
