/**
 * The routing table: which requests go to which group of backend servers, under which limits, and
 * which keys belong to which team. Operators replace the table as a whole; versions are immutable.
 */
import type { TeamId } from '@spoolgate/core'

/** Whether a request whose outcome is unknown may be repeated. */
export type Repeatability =
  /** It may run any number of times. */
  | 'repeatable'
  /** It may run at most once. */
  | 'once'
  /** A broken stream may be continued after its last complete event. */
  | 'resumable'

/** A group that receives a share of the requests of a route. */
export interface RouteTarget {
  readonly group: string
  /** Share of the requests, relative to the other targets. */
  readonly weight: number
}

/** Routing rule for the requests with one host and path prefix. */
export interface RouteRule {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly repeatability: Repeatability
  /** Whether the response is an event stream. */
  readonly isStream: boolean
  /** Longest time that a request may take, in ms. */
  readonly timeoutMs: number
  /** Target time to the response, or to its first event, in ms. */
  readonly targetMs: number
  /** Target for the longest gap between two events of a stream, in ms. */
  readonly targetPauseMs: number | undefined
  /** Priority of the requests; 0 is the highest. */
  readonly priority: number
  /** Most backend servers that one request may be sent to. */
  readonly maxServers: number
  /** Whether callers need no key. */
  readonly isPublic: boolean
  readonly targets: readonly RouteTarget[]
}

/** Capacity of the model engines of a group. */
export interface EngineCapacity {
  /** Requests that one engine processes concurrently. */
  readonly slots: number
  /** Capacity of the KV cache of an engine, in tokens. */
  readonly cacheTokens: number
  /** Size of one token in the KV cache, in bytes. */
  readonly tokenBytes: number
  /** Bandwidth of an engine for KV cache transfers, in Mbit/s. */
  readonly linkMbps: number
  readonly models: readonly string[]
}

/** A group of backend servers that serve the same requests. */
export interface ServerGroup {
  readonly name: string
  readonly healthPath: string
  /** Connections that one backend server accepts from all instances in total. */
  readonly maxConnections: number
  /** Undefined for a plain service. */
  readonly engine: EngineCapacity | undefined
}

/** A KV cache store that engines can fetch from and save to. */
export interface CacheStore {
  readonly name: string
  /** IP address and port. */
  readonly address: string
  readonly hall: string
  readonly cacheTokens: number
  /** Bandwidth for KV cache transfers, in Mbit/s. */
  readonly linkMbps: number
}

/** Unit that a quota counts. */
export type QuotaUnit = 'requests' | 'tokens'

/** Quota of a team across all routers. */
export interface TeamQuota {
  readonly unit: QuotaUnit
  /** Units per second. */
  readonly perSecond: number
  /** Units that may be used at once in excess of the rate. */
  readonly burst: number
  /** Tokens charged for a request that does not state a number. */
  readonly uncountedTokens: number
}

/** A team with its keys. */
export interface TeamEntry {
  readonly id: TeamId
  readonly keys: readonly string[]
  /** Overrides the priority of the route if set. */
  readonly priority: number | undefined
  /** Whether the team shares no cached prompt parts with other teams. */
  readonly isIsolated: boolean
  /** Undefined for a team without a limit. */
  readonly quota?: TeamQuota
}

/** Limits on requests and connections of callers. */
export interface CallerBounds {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  /** Longest time to receive the header, in ms. */
  readonly headerTimeoutMs: number
  /** Time after which an idle connection is closed, in ms. */
  readonly idleTimeoutMs: number
}

/** One version of the routing table. */
export interface RoutingTable {
  readonly version: number
  readonly routes: readonly RouteRule[]
  readonly groups: readonly ServerGroup[]
  readonly stores: readonly CacheStore[]
  /** Undefined if requests need no key. */
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

/** Lists the problems that make a table invalid; empty if the table is valid. */
export function listTableProblems(table: RoutingTable): string[] {
  const groups = new Set(table.groups.map(({ name }) => name))
  const routeKeys = table.routes.map(({ host, pathPrefix }) => `${host}${pathPrefix}`)
  const keys = (table.teams ?? []).flatMap((team) => [...new Set(team.keys)])
  return [
    ...table.routes.flatMap((route) => listRouteProblems(route, groups)),
    ...listDuplicates(routeKeys).map((routeKey) => `two routes for ${routeKey}; remove one`),
    // Keys are secrets, so the message does not contain them.
    ...listDuplicates(keys).map(() => 'two teams hold the same key; give each its own'),
    ...listDuplicates(table.groups.map(({ name }) => name)).map(
      (name) => `group ${name} is defined twice; remove one`,
    ),
  ]
}
