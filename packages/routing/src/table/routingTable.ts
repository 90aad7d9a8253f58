/**
 * The routing table: which requests go to which group of backend servers, under which bounds, and
 * which keys belong to which team. Operators replace it whole; each version is immutable.
 */
import type { TeamId } from '@spoolgate/core'

/** What may be done with a request whose outcome is not known. */
export type Repeatability =
  /** It may run any number of times. */
  | 'repeatable'
  /** It may run once at most. */
  | 'once'
  /** A broken stream may be continued after its last whole event. */
  | 'resumable'

/** A group that takes a part of a route's requests. */
export interface RouteTarget {
  readonly group: string
  /** Part of the requests, relative to the other targets. */
  readonly weight: number
}

/** Where the requests under one host and path prefix go. */
export interface RouteRule {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly repeatability: Repeatability
  /** Whether the answer is a stream of events. */
  readonly isStream: boolean
  /** Longest time a request may be held, in ms. */
  readonly timeoutMs: number
  /** Time to the answer, or to its first event, that operators aim at, in ms. */
  readonly targetMs: number
  /** Longest pause between two events of a stream that operators aim at, in ms. */
  readonly targetPauseMs: number | undefined
  /** Rank among requests; 0 is the most urgent. */
  readonly priority: number
  /** Most backend servers that one request may be sent to. */
  readonly maxServers: number
  /** Whether callers need no key. */
  readonly isPublic: boolean
  readonly targets: readonly RouteTarget[]
}

/** Memory and limits of the model engines of a group. */
export interface EngineCapacity {
  /** Requests that one engine works on at a time. */
  readonly slots: number
  /** Tokens that fit into an engine's KV cache. */
  readonly cacheTokens: number
  /** Bytes of KV cache for one token. */
  readonly tokenBytes: number
  /** Bandwidth of an engine for KV cache that moves, in Mbit/s. */
  readonly linkMbps: number
  readonly models: readonly string[]
}

/** Backend servers that serve the same requests. */
export interface ServerGroup {
  readonly name: string
  readonly healthPath: string
  /** Connections that one backend server accepts from all instances together. */
  readonly maxConnections: number
  /** Undefined for a plain service. */
  readonly engine: EngineCapacity | undefined
}

/** A store of KV cache that engines can fetch from and save to. */
export interface CacheStore {
  readonly name: string
  /** IP number and port. */
  readonly address: string
  readonly hall: string
  readonly cacheTokens: number
  /** Bandwidth for KV cache that moves, in Mbit/s. */
  readonly linkMbps: number
}

/** What a quota counts. */
export type QuotaUnit = 'requests' | 'tokens'

/** What a team may have run by all routers together. */
export interface TeamQuota {
  readonly unit: QuotaUnit
  /** Units a second. */
  readonly perSecond: number
  /** Units beyond the rate that may be used at once. */
  readonly burst: number
  /** Tokens of a request that does not name its own. */
  readonly uncountedTokens: number
}

/** A team with its keys. */
export interface TeamEntry {
  readonly id: TeamId
  readonly keys: readonly string[]
  /** Replaces the priority of the route where it is set. */
  readonly priority: number | undefined
  /** Whether the team shares no cached prompt parts with other teams. */
  readonly isIsolated: boolean
  /** Undefined for a team without a limit. */
  readonly quota?: TeamQuota
}

/** Bounds on what callers may send. */
export interface CallerBounds {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  /** Longest time to deliver the header, in ms. */
  readonly headerTimeoutMs: number
  /** Time after which an idle connection is closed, in ms. */
  readonly idleTimeoutMs: number
}

/** One version of the table. */
export interface RoutingTable {
  readonly version: number
  readonly routes: readonly RouteRule[]
  readonly groups: readonly ServerGroup[]
  readonly stores: readonly CacheStore[]
  /** Undefined where requests need no key. */
  readonly teams: readonly TeamEntry[] | undefined
  readonly bounds: CallerBounds
}

function listDuplicates(names: readonly string[]): string[] {
  const seen = new Set<string>()
  return names.filter((name) => {
    const isRepeated = seen.has(name)
    seen.add(name)
    return isRepeated
  })
}

function listRouteProblems(route: RouteRule, groups: ReadonlySet<string>): string[] {
  const problems = route.targets
    .filter(({ group }) => !groups.has(group))
    .map(
      ({ group }) => `route ${route.name}: group ${group} is not defined; define it or remove it`,
    )
  const totalWeight = route.targets.reduce((sum, { weight }) => sum + weight, 0)
  if (!(totalWeight > 0)) problems.push(`route ${route.name}: weights add up to 0; set one above 0`)
  if (route.targets.some(({ weight }) => weight < 0)) {
    problems.push(`route ${route.name}: a weight is below 0; set it to 0 or more`)
  }
  if (!(route.timeoutMs > 0)) problems.push(`route ${route.name}: set a timeout above 0 ms`)
  const { pathPrefix } = route
  if (!pathPrefix.startsWith('/') || !pathPrefix.endsWith('/')) {
    problems.push(`route ${route.name}: begin and end the path prefix with a slash`)
  }
  return problems
}

/** Lists what makes a table invalid; empty for a valid one. */
export function listTableProblems(table: RoutingTable): string[] {
  const groups = new Set(table.groups.map(({ name }) => name))
  const routeKeys = table.routes.map(({ host, pathPrefix }) => `${host}${pathPrefix}`)
  const keys = (table.teams ?? []).flatMap((team) => [...new Set(team.keys)])
  return [
    ...table.routes.flatMap((route) => listRouteProblems(route, groups)),
    ...listDuplicates(routeKeys).map((place) => `two routes for ${place}; remove one`),
    // Keys are secrets, so the message names none.
    ...listDuplicates(keys).map(() => 'two teams hold the same key; give each its own'),
    ...listDuplicates(table.groups.map(({ name }) => name)).map(
      (name) => `group ${name} is defined twice; remove one`,
    ),
  ]
}
