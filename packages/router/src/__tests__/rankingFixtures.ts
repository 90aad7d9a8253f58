/** A stand-in fleet for tests of the choice: servers, what a router knows of them, and the parts that choose. */
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
import { createServiceTimes } from '../direct/serviceTimes.js'
import { createServerLimits } from '../limits/serverLimits.js'

/** The group of all servers here. */
export const GROUP = { name: 'g' } as ServerGroup

/** Creates an engine of the group that is ready, with weights of version 1. */
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

/** Builds what a router knows of servers to which nothing has happened. */
export function buildView(servers: readonly RegisteredServer[], loads: ServerLoads): FleetView {
  return {
    servers: new Map(servers.map((server) => [server.id, server])),
    expired: new Set(),
    silent: new Set(),
    loading: new Set(),
    loads,
    weights: {},
    weightsSince: {},
    stores: [],
    index: { table: { stores: [] } },
  } as unknown as FleetView
}

/** Creates the parts of a router that has sent nothing yet. */
export function createRankingContext(timers: TimerService, seed: number) {
  return {
    serverStats: createServerStats(timers),
    backpressure: createBackpressure(),
    limits: createServerLimits(),
    prefixCache: createPrefixCacheIndex({ findCacheTokens: () => 100_000 }),
    liveness: { isUnreachable: () => false } as never,
    random: createRandomSource(seed),
    enginePartition: createEnginePartition(timers),
    serviceTimes: createServiceTimes(),
  }
}
