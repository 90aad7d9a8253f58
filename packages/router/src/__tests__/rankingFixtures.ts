/** Test fixtures for server ranking: servers, the fleet view of a router, and its ranking context. */
import {
  buildServerIdentity,
  type FleetView,
  type RegisteredServer,
  type ServerLoads,
} from '@spoolgate/control'
import { createRandomSource, toServerName, type TimerService } from '@spoolgate/core'
import { createBackpressure, type ServerGroup } from '@spoolgate/routing'
import { createPrefixCacheIndex } from '../direct/prefixCacheIndex.js'
import { createServerStats } from '../direct/serverStats.js'
import { createEnginePartition } from '../direct/enginePartition.js'
import { createWeightsExpiry } from '../direct/weightsExpiry.js'
import { createServiceTimes } from '../direct/serviceTimes.js'
import { createServerLimits } from '../limits/serverLimits.js'

/** The group of all test servers. */
export const GROUP = { name: 'g' } as ServerGroup

/** Creates a ready engine of the group, with weights version 1. */
export function createEngineServer(name: string): RegisteredServer {
  return {
    ...buildServerIdentity(toServerName(name), undefined),
    group: GROUP.name,
    address: `${name}:1`,
    hall: 'h',
    phase: 'ready',
    slots: 4,
    weights: [{ model: 'm', version: 1 }],
  }
}

/** Builds the fleet view of a router in which all servers are healthy. */
export function buildView(servers: readonly RegisteredServer[], loads: ServerLoads): FleetView {
  return {
    servers: new Map(servers.map((server) => [server.id, server])),
    expired: new Set(),
    silent: new Set(),
    loading: new Set(),
    loads,
    weights: {},
    weightsSince: {},
    versionTimes: {},
    stores: [],
    index: { table: { stores: [] } },
  } as unknown as FleetView
}

/** Creates the ranking context of a router that has not sent any request. */
export function createRankingContext(timers: TimerService, seed: number, maxAgeMs = Infinity) {
  const serverStats = createServerStats(timers)
  return {
    serverStats,
    weightsExpiry: createWeightsExpiry({
      maxAgeMs,
      findView: () => undefined,
      serverStats,
      timers,
    }),
    backpressure: createBackpressure(),
    limits: createServerLimits(),
    prefixCache: createPrefixCacheIndex({ findCacheTokens: () => 100_000 }),
    liveness: { isUnreachable: () => false } as never,
    random: createRandomSource(seed),
    enginePartition: createEnginePartition(timers),
    serviceTimes: createServiceTimes(),
  }
}
