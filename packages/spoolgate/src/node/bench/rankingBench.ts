/** `spoolgate bench ranking`: what ranking the servers of a large group costs, with and without their speeds. */
import { buildServerIdentity, type FleetView, type RegisteredServer } from '@spoolgate/control'
import { createRandomSource, createTimerService, toServerName } from '@spoolgate/core'
import {
  createEnginePartition,
  createPrefixCacheIndex,
  createServerLimits,
  createServerSpeeds,
  createServerStats,
  createServiceTimes,
  rankServers,
  type RankingContext,
  type RankingInput,
  type ServerSpeeds,
} from '@spoolgate/router'
import {
  createBackpressure,
  formatCacheScope,
  formatSharedOwner,
  type ServerGroup,
} from '@spoolgate/routing'
import { findPercentile, toRounded } from './statistics.js'

/** Options of {@link runRankingBench}. */
export interface RankingBenchOptions {
  readonly servers: number
  /** Number of rankings, with and without speeds each. */
  readonly rankings: number
  readonly seed: number
}

/** Cost of one ranking, in microseconds. */
export interface RankingBenchResult {
  readonly servers: number
  readonly withoutSpeedsP50Us: number
  readonly withoutSpeedsP99Us: number
  readonly withSpeedsP50Us: number
  readonly withSpeedsP99Us: number
}

const GROUP: ServerGroup = {
  name: 'engines',
  healthPath: '/',
  maxConnections: 1_000,
  engine: undefined,
}
const SPEEDS = [0.6, 1, 1.6]
const TOKENS = 9_190
const TOKENS_PER_MS = 52.4
const SAMPLES_PER_SERVER = 20
const WARM_UP_RATIO = 0.2
const US_PER_MS = 1_000

function createServers(count: number): RegisteredServer[] {
  return Array.from({ length: count }, (_, index) => ({
    ...buildServerIdentity(toServerName(`engine-${index}`), undefined),
    group: GROUP.name,
    address: `127.0.0.1:${index + 1}`,
    hall: 'hall',
    phase: 'ready',
    slots: 48,
    weights: [{ model: 'm', version: 1 }],
  }))
}

function buildView(servers: readonly RegisteredServer[]): FleetView {
  const loads = servers.map(({ id }, index) => [id, { calls: index % 7, promptTokens: index % 5 }])
  const view: Omit<FleetView, 'index'> = {
    servers: new Map(servers.map((server) => [server.id, server])),
    expired: new Set(),
    silent: new Set(),
    loading: new Set(),
    loads: Object.fromEntries(loads),
    weights: {},
    weightsSince: {},
    versionTimes: {},
    softwareVersions: {},
    stores: [],
    routers: 1,
  }
  return { ...view, index: { table: { stores: [] } } } as unknown as FleetView
}

function recordSamples(speeds: ServerSpeeds, servers: readonly RegisteredServer[], now: number) {
  for (let turn = 0; turn < SAMPLES_PER_SERVER; turn += 1) {
    for (const [index, { id }] of servers.entries()) {
      const prefillMs = TOKENS / (TOKENS_PER_MS * SPEEDS[index % SPEEDS.length])
      const at = now - (SAMPLES_PER_SERVER - turn) * 100
      const sample = { group: GROUP.name, server: id, at, prefillMs }
      speeds.recordPrefill({ ...sample, ownTokens: TOKENS, aheadTokens: 0 })
    }
  }
}

/** Runs the benchmark, alternating between both ways so that noise of the machine affects both alike. */
export function runRankingBench(options: RankingBenchOptions): RankingBenchResult {
  const timers = createTimerService()
  const random = createRandomSource(options.seed)
  const servers = createServers(options.servers)
  const view = buildView(servers)
  const serverSpeeds = createServerSpeeds()
  recordSamples(serverSpeeds, servers, timers.now())
  const context: RankingContext = {
    serverStats: createServerStats(timers),
    backpressure: createBackpressure(),
    limits: createServerLimits(),
    prefixCache: createPrefixCacheIndex({ findCacheTokens: () => 100_000 }),
    liveness: { isUnreachable: () => false } as unknown as RankingContext['liveness'],
    random,
    enginePartition: createEnginePartition(timers),
    serviceTimes: createServiceTimes(),
    weightsExpiry: { isExpired: () => false, isStartInTime: () => true },
  }
  const buildInput = (turn: number, speeds: ServerSpeeds | undefined): RankingInput => ({
    view,
    group: GROUP,
    prompt: {
      model: 'm',
      parts: [
        { id: `shared-${turn % 50}`, tokens: 6_300 },
        { id: `own-${turn}`, tokens: 2_890 },
      ],
      promptTokens: TOKENS,
      maxTokens: 13,
    },
    formatScope: () => formatCacheScope(formatSharedOwner(1), 1),
    excluded: new Set(),
    hall: 'hall',
    now: timers.now(),
    targetMs: 620,
    serverSpeeds: speeds,
  })
  const without: number[] = []
  const withSpeeds: number[] = []
  const measure = (times: number[], input: RankingInput) => {
    const startedAt = performance.now()
    rankServers(context, input)
    times.push((performance.now() - startedAt) * US_PER_MS)
  }
  for (let turn = 0; turn < options.rankings; turn += 1) {
    measure(without, buildInput(turn, undefined))
    measure(withSpeeds, buildInput(turn, serverSpeeds))
  }
  const findTime = (times: number[], percentile: number) =>
    toRounded(findPercentile(times.slice(Math.ceil(times.length * WARM_UP_RATIO)), percentile))
  return {
    servers: options.servers,
    withoutSpeedsP50Us: findTime(without, 50),
    withoutSpeedsP99Us: findTime(without, 99),
    withSpeedsP50Us: findTime(withSpeeds, 50),
    withSpeedsP99Us: findTime(withSpeeds, 99),
  }
}
