/** Lookups in one version of the routing table. */
import type { RandomSource } from '@spoolgate/core'
import type { RouteRule, RoutingTable, ServerGroup, TeamEntry } from './routingTable.js'

/** An index of a routing table; built once per version. */
export interface TableIndex {
  readonly table: RoutingTable
  /** Finds the route of the host with the longest prefix that matches `path`. */
  findRoute(host: string, path: string): RouteRule | undefined
  /** Finds the team that a key belongs to. */
  findTeam(key: string): TeamEntry | undefined
  findGroup(name: string): ServerGroup | undefined
}

/** Removes the port from a host header and converts it to lower case. */
function toHostName(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase()
}

/** Builds the index of a table. */
export function buildTableIndex(table: RoutingTable): TableIndex {
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
