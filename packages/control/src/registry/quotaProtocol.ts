/**
 * Messages that routers and the leader exchange about team quotas. Amounts are in the unit of the team's quota. Credit
 * counts are cumulative within a leader's term, so that lost, delayed or duplicated messages do not distort them.
 */

import type { TeamId } from '@spoolgate/core'
import type { QuotaUnit } from '@spoolgate/routing'

/** Path at the leader where routers request credits immediately, instead of with their next poll. */
export const QUOTA_PATH = '/quotas'
/** Time without contact to the leader after which credits expire, in ms. */
export const CREDIT_TTL_MS = 4_000

const BASE_SILENCE_MS = 350
/** A poll reply arrives up to two poll intervals after the previous poll was sent. */
const SILENCE_PER_ROUTER_MS = 4.5
const LAG_PER_ROUTER_MS = 2.5

/**
 * Returns the time without contact, in ms, after which a router uses an equal share of each rate on its own and the
 * leader reserves that share for it. It grows with the poll interval, and thus with the number of routers.
 */
export function findContactTimeoutMs(routers: number): number {
  return BASE_SILENCE_MS + routers * SILENCE_PER_ROUTER_MS
}

/** Estimates the age of reports at the leader, in ms. */
export function estimateReportLagMs(routers: number): number {
  return routers * LAG_PER_ROUTER_MS
}

/** Builds the key of a team's limit. It includes the unit, as credits of one unit are not valid in another. */
export function formatQuotaKey(team: TeamId, unit: QuotaUnit): string {
  return `${unit} ${team}`
}

/** State of one team's limit at a router. */
export interface CreditUse {
  /** See {@link formatQuotaKey}. */
  readonly key: string
  /** Credits received from the leader in the report's term. */
  readonly seen: number
  /** Remaining credits; negative when more was used than granted. */
  readonly held: number
  /** Credits returned since the process started. */
  readonly returned: number
  /** Credits to hold in advance for expected requests. */
  readonly prefetch: number
  /** Costs of the requests waiting for credits. */
  readonly waiting: readonly number[]
}

/** Quota report of a router. */
export interface QuotaReport {
  readonly router: string
  /** Identifier of one run of the router process. */
  readonly life: string
  /** Increases with each report of one process run. */
  readonly sequence: number
  /** Leader term to which `seen` refers. */
  readonly term: number
  /** Limits whose use changed since the last report. */
  readonly uses: readonly CreditUse[]
}

/** Credits granted for one team. */
export interface CreditGrant {
  readonly key: string
  /** Cumulative credits granted to the router in this term. */
  readonly granted: number
  /** Delay after which a refused request should be retried, in ms. */
  readonly retryAfterMs: number
}

/** Reply of the leader to a quota report. */
export interface QuotaGrants {
  readonly term: number
  /** Sequence of the report that this replies to; -1 for none. */
  readonly sequence: number
  readonly grants: readonly CreditGrant[]
  /** Keys of the team limits that are nearly exhausted. */
  readonly scarce: readonly string[]
}

/** Permitted overrun of a quota, as configured by the deployment's bounds. */
export interface QuotaTolerance {
  /** Fraction of the amount allowed within a window. */
  readonly ratio: number
  /** Additional fixed amount, in units. */
  readonly slack: number
  readonly windowMs: number
}

/** State of one team's limit at the leader, as shown to operators. */
export interface QuotaStatus {
  readonly team: string
  readonly unit: string
  readonly perSecond: number
  readonly burst: number
  /** Credits currently available for granting. */
  readonly level: number
  /** Credits held by routers. */
  readonly held: number
  readonly isScarce: boolean
  /** Credits granted within the term, by router. */
  readonly grantedByRouter: Readonly<Record<string, number>>
  /** Requests refused within the term, by router. */
  readonly refusedByRouter: Readonly<Record<string, number>>
}
