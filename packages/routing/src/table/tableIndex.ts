/** Lookups in one version of the routing table. */
import type { RandomSource, TeamId } from '@spoolgate/core'
import { formatSharedOwner, formatTeamOwner, type CacheOwner } from '../cacheScope.js'
import type { RouteRule, RoutingTable, ServerGroup, TeamEntry } from './routingTable.js'

/** An index of a routing table; built once per version. */
export interface TableIndex {
  readonly table: RoutingTable
  /** Finds the route of the host with the longest prefix that matches `path`. */
  findRoute(host: string, path: string): RouteRule | undefined
  /** Finds the team that a key belongs to. */
  findTeam(key: string): TeamEntry | undefined
  findGroup(name: string): ServerGroup | undefined
  /**
   * Finds the owner of the cached parts of a team's requests. Requests without a team have the owner of all teams that
   * are not isolated; a team that was removed from the table has an owner of its own.
   */
  findCacheOwner(team: TeamId | undefined): CacheOwner
}

/** Removes the port from a host header and converts it to lower case. */
function toHostName(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase()
}

function createCacheOwners(teams: readonly TeamEntry[], sharedSince: number) {
  const shared = formatSharedOwner(sharedSince)
  const owners = new Map<TeamId, CacheOwner>()
  for (const { id, isIsolated } of teams) {
    if (isIsolated) owners.set(id, formatTeamOwner(id))
    else if (!owners.has(id)) owners.set(id, shared)
  }
  return (team: TeamId | undefined): CacheOwner =>
    team === undefined ? shared : (owners.get(team) ?? formatTeamOwner(team))
}

/**
 * Builds the index of a table.
 * @param sharedSince version that began the epoch of shared parts, see `CacheEpoch` in control; the table's own version if
 *   it is unknown, so that nothing is shared across tables
 */
export function buildTableIndex(table: RoutingTable, sharedSince = table.version): TableIndex {
  const byHost = new Map<string, RouteRule[]>()
  for (const route of table.routes) {
    const host = toHostName(route.host)
    const routes = byHost.get(host)
    if (routes) routes.push(route)
    else byHost.set(host, [route])
  }
  for (const routes of byHost.values()) {
    routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  }
  const teams = new Map(
    (table.teams ?? []).flatMap((team) => team.keys.map((key) => [key, team] as const)),
  )
  const groups = new Map(table.groups.map((group) => [group.name, group]))
  return {
    table,
    findRoute: (host, path) =>
      byHost.get(toHostName(host))?.find(({ pathPrefix }) => path.startsWith(pathPrefix)),
    findTeam: (key) => teams.get(key),
    findGroup: (name) => groups.get(name),
    findCacheOwner: createCacheOwners(table.teams ?? [], sharedSince),
  }
}

/** Chooses one of a route's groups at random, by weight. */
export function chooseTarget(route: RouteRule, random: RandomSource): string {
  const totalWeight = route.targets.reduce((sum, { weight }) => sum + weight, 0)
  let remaining = random.next() * totalWeight
  for (const { group, weight } of route.targets) {
    remaining -= weight
    if (remaining < 0) return group
  }
  const eligible = route.targets.filter(({ weight }) => weight > 0)
  return eligible[eligible.length - 1].group
}
