/** Types of a request that is being served. */
import type { FleetView } from '@spoolgate/control'
import type { RouteRule, ServerGroup, TeamEntry } from '@spoolgate/routing'
import type { DirectCall } from './protocols.js'

/** A request that was accepted for serving. */
export interface CallPlan {
  readonly call: DirectCall
  readonly view: FleetView
  readonly route: RouteRule
  readonly group: ServerGroup
  readonly team: TeamEntry | undefined
  readonly arrivedAt: number
  /** Monotonic time by which the request must have its final answer, in ms. */
  readonly deadline: number
  /** Scheduling priority from team and route; 0 is the most urgent. */
  readonly priority: number
}

/** Logs an event of the request. */
export type CallLog = (event: string, fields: Record<string, unknown>) => void
