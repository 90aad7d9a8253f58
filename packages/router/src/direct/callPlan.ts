/** Resolves a request to its route, server group, team, deadline and priority. */
import type { FleetView } from '@spoolgate/control'
import { SpoolgateError } from '@spoolgate/core'
import { chooseTarget, type CacheOwner, type RouteRule, type TeamEntry } from '@spoolgate/routing'
import type { CallPlan } from './callTypes.js'
import type { DirectCall } from './protocols.js'
import type { DirectContext } from './directContext.js'

/** Retry-After while this router has no valid configuration, in seconds. */
const RETRY_AFTER_UNAVAILABLE_S = 0.3

function createControlUnavailableError(message: string): SpoolgateError {
  return new SpoolgateError('controlUnavailable', message, {
    retryAfterSeconds: RETRY_AFTER_UNAVAILABLE_S,
  })
}

/** Largest priority number that engines support, the least urgent; 0 is the most urgent. */
const MAX_PRIORITY = 9
/** Number of route priorities that are distinguished within one team priority. */
const ROUTE_PRIORITY_LEVELS = 3

/** Whether the proof that the routing table is current is recent enough to trust its keys and routes. */
export function isProofFresh(context: DirectContext): boolean {
  return context.feed.proofAgeMs() <= context.maxProofAgeMs
}

function findTeam(view: FleetView, route: RouteRule, call: DirectCall): TeamEntry | undefined {
  if (route.isPublic || view.index.table.teams === undefined) return undefined
  if (call.key === undefined) {
    throw new SpoolgateError('missingKey', 'send your key in the authorization header')
  }
  const team = view.index.findTeam(call.key)
  if (team) return team
  throw new SpoolgateError('wrongKey', 'unknown key; ask your operator for a new one')
}

/**
 * Combines the priorities of team and route, 0 being the most urgent. The team's priority takes precedence; the
 * route's orders requests of equal team priority.
 */
export function resolvePriority(team: number | undefined, route: number): number {
  if (team === undefined) return Math.min(MAX_PRIORITY, route)
  const withinTeam = Math.min(ROUTE_PRIORITY_LEVELS - 1, Math.max(0, route))
  return Math.min(MAX_PRIORITY, Math.max(0, team) * ROUTE_PRIORITY_LEVELS + withinTeam)
}

/**
 * Resolves the priority of a send. `firstPartMs` is the expected time from the arrival of the request to the first
 * chunk of its response. A request that is expected to miss its latency target gets the least urgent priority, so that
 * requests that can still meet theirs go first; it is served until its deadline.
 */
export function resolveSendPriority(
  { route, priority }: Pick<CallPlan, 'route' | 'priority'>,
  firstPartMs: number,
): number {
  const isPastTarget = route.targetMs > 0 && firstPartMs > route.targetMs
  return isPastTarget ? MAX_PRIORITY : priority
}

/**
 * Resolves the plan of a request.
 * @throws SpoolgateError for a request that must be refused.
 */
export function resolveCall(context: DirectContext, call: DirectCall, arrivedAt: number): CallPlan {
  const view = context.feed.current()
  if (!view) throw createControlUnavailableError('no routing table yet; try again')
  if (!isProofFresh(context))
    throw createControlUnavailableError('control is unreachable; try another instance')
  const path = call.target.split('?', 1)[0]
  const route = view.index.findRoute(call.host, path)
  if (!route) throw new SpoolgateError('unknownPath', 'no route for this host and path')
  const team = findTeam(view, route, call)
  const groupName = chooseTarget(route, context.random)
  const group = view.index.findGroup(groupName)
  if (!group) throw createControlUnavailableError(`group ${groupName} is not defined; try again`)
  const waitMs = Math.min(call.waitMs ?? Infinity, route.timeoutMs)
  return {
    call,
    view,
    route,
    group,
    team,
    arrivedAt,
    deadline: arrivedAt + waitMs,
    priority: resolvePriority(team?.priority, route.priority),
  }
}

/**
 * Finds the owner of the cached parts that a request may use, by the routing table in force: the request may have waited
 * since it was planned, or resume a stream that began under an earlier table.
 */
export function findCacheOwner(
  { feed }: Pick<DirectContext, 'feed'>,
  { view, team }: Pick<CallPlan, 'view' | 'team'>,
): CacheOwner {
  return (feed.current() ?? view).index.findCacheOwner(team?.id)
}
