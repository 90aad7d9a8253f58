/**
 * Load and capacity of the engines of a group as this router knows them: its own calls, the capacity that it reserved for
 * requests about to be sent, and what the feed reported of all other routers.
 */
import type { FleetView, RegisteredServer } from '@spoolgate/control'
import type { BackendServerId, TimerService } from '@spoolgate/core'
import type { EngineCapacity, ServerGroup } from '@spoolgate/routing'
import { LRUCache } from 'lru-cache'
import { createEngineWaits } from '../admission/engineWaits.js'
import { estimateStartMs, findEngineQueueLimitMs, isRoomLeft } from '../admission/engineRoom.js'
import { createBandMix } from '../admission/bandMix.js'
import type { AdmissionRequest, EngineLoad, GroupCapacity } from '../admission/types.js'
import type { LivenessMonitor } from './livenessMonitor.js'
import {
  checkServerAvailability,
  isSendAllowed,
  type AvailabilityParts,
} from './serverAvailability.js'
import type { PromptInfo } from './protocols.js'
import { createPrefillRates } from './prefillRates.js'
import type { ServerStats } from './serverStats.js'
import type { ServiceTimes } from './serviceTimes.js'

/** State that the loads are derived from. */
export interface EngineLoadContext extends AvailabilityParts {
  readonly serverStats: Pick<ServerStats, 'findLoad' | 'findKvTokens'>
  readonly serviceTimes: Pick<ServiceTimes, 'findPrefillTokensPerMs'>
  readonly liveness: Pick<LivenessMonitor, 'isUnreachable'>
  /**
   * Finds the prefill rate of one engine, in prompt tokens per ms; undefined where all engines of its group count alike.
   * @default undefined, the rate of the group
   */
  readonly findEngineRate?: (group: ServerGroup, server: BackendServerId) => number | undefined
  readonly timers: TimerService
}

/** Capacity of an engine that is reserved for a request until its call is tracked. */
export interface Reservation {
  /** Returns the capacity; later calls have no effect. */
  release(): void
  /** Records the first event of the response, from which the prefill rate is estimated. */
  recordFirstEvent(): void
}

/** See {@link createEngineLoads}. */
export interface EngineLoads {
  /** Records that the feed delivered the loads of the other routers. */
  recordReport(): void
  /** Age of the loads of the other routers, in ms; Infinity before the first report. */
  reportAgeMs(): number
  /** Prompt tokens that an engine of the group prefills per ms. */
  findTokensPerMs(group: string): number
  /** Estimates how long a request of a band with a target waits at an engine beside its own prefill, in ms. */
  estimateWaitMs(band: number, targetMs: number): number
  /** Reserves capacity on an engine for a request that is about to be sent. */
  reserve(
    view: FleetView,
    group: ServerGroup,
    server: BackendServerId,
    request: Pick<AdmissionRequest, 'band' | 'kvTokens'>,
    uncachedTokens: number,
  ): Reservation
  /** Whether an engine has capacity for a request now. */
  hasRoom(
    view: FleetView,
    group: ServerGroup,
    server: BackendServerId,
    request: AdmissionRequest,
  ): boolean
  /** Measures the capacity of a group for a request; what waits at the router is left to the caller. */
  measureCapacity(view: FleetView, group: ServerGroup, request: AdmissionRequest): GroupCapacity
  /** Counts the engines of a group that accept requests. */
  countOpenEngines(view: FleetView, group: ServerGroup): number
  /** Whether engines of the group are far from full, so that routers need not divide their capacity. */
  isAmple(view: FleetView, group: ServerGroup, band: number): boolean
  /** Sums the prefill time that engines of the group still take before they count as full, in ms. */
  sumRoomMs(view: FleetView, group: ServerGroup): number
}

/** Options of {@link createEngineLoads}. */
export interface EngineLoadOptions {
  readonly context: EngineLoadContext
  /** Maximum time that pending prefills at an engine may take before it counts as full, in ms. */
  readonly maxEngineQueueMs: number
}

/** Age of the loads of other routers beyond which they are not used, in ms; routers poll several times a second. */
export const MAX_REPORT_AGE_MS = 2_000
/**
 * Part of the prefill time that idle engines take, above which a group is not short of capacity. A call that hangs at one
 * engine then does not use up its router's part of the others.
 */
const AMPLE_RATIO = 0.5
/** Engines whose mean call size is remembered: several times the engines of a large fleet. */
const MAX_ENGINES = 5_000
/** Time until an engine has capacity while none accepts requests, in ms. */
const NO_ENGINE_WAIT_MS = 1_000
/** Time for which the engines that accept requests are not listed again, in ms. */
const OPEN_TTL_MS = 25
/** Minimum time until an engine without capacity has some, in ms. */
const MIN_WAIT_MS = 25
/** Time of a request outside the prefill, in ms: one engine step and the connection. */
const FIRST_EVENT_OVERHEAD_MS = 10
/** Weight of the latest call in the mean size of the calls at an engine, which thus covers about ten calls. */
const SIZE_WEIGHT = 0.1

/** An engine that accepts requests, with the load that all other routers have there. */
interface OpenEngine {
  readonly id: BackendServerId
  readonly others: Reserved
  /** Prefill rate of this engine in prompt tokens per ms; undefined for that of the group. */
  readonly rate: number | undefined
}

/** Engines of a group that accepted requests at some time. */
interface OpenEngines {
  readonly view: FleetView
  readonly listedAt: number
  readonly engines: readonly OpenEngine[]
}

/** Sums over the engines of a group. */
interface GroupSums {
  readonly engines: number
  readonly calls: number
  /** Time until the pending prefills are done, in ms. */
  readonly workMs: number
  /** Prefill time that the engines take before they count as full, in ms. */
  readonly roomMs: number
  /** Time until the first engine has capacity for the request, in ms. */
  readonly nextCapacityMs: number
}

/** What does not differ between the engines of a group. */
interface EngineLimits {
  readonly slots: number
  readonly kvCapacityTokens: number
  readonly tokensPerMs: number
  readonly loadAgeMs: number
  /** How many times the own load counts: the number of routers, where the loads of the others are not known. */
  readonly ownFactor: number
  /** Part of the pending tokens that an engine prefills before a request of the band. */
  readonly aheadRatio: number
}

interface Reserved {
  readonly calls: number
  readonly tokens: number
  readonly kvTokens: number
}

const NOTHING_RESERVED: Reserved = { calls: 0, tokens: 0, kvTokens: 0 }

/** Counts the KV tokens that a request may occupy at an engine; 0 for requests to plain services. */
export function countKvTokens(prompt: PromptInfo | undefined): number {
  return prompt ? prompt.promptTokens + prompt.maxTokens : 0
}

/** Creates the loads of a router that has not sent any request. */
export function createEngineLoads({ context, maxEngineQueueMs }: EngineLoadOptions): EngineLoads {
  const { timers, serverStats, serviceTimes, liveness } = context
  const reserved = new Map<BackendServerId, Reserved>()
  /** Mean KV tokens of a call; other routers report only the number of their calls. */
  const meanKvTokens = new LRUCache<BackendServerId, number>({ max: MAX_ENGINES })
  const mix = createBandMix(timers)
  const openEngines = new Map<string, OpenEngines>()
  let reportedAt = -Infinity

  const reportAgeMs = () => timers.promiseNow() - reportedAt
  const addReserved = (server: BackendServerId, change: Reserved, sign: 1 | -1) => {
    const known = reserved.get(server) ?? NOTHING_RESERVED
    const calls = known.calls + sign * change.calls
    const tokens = known.tokens + sign * change.tokens
    const kvTokens = known.kvTokens + sign * change.kvTokens
    if (calls <= 0) reserved.delete(server)
    else reserved.set(server, { calls, tokens, kvTokens })
  }
  const findOwnLoad = (server: BackendServerId): Reserved => {
    const { calls, promptTokens } = serverStats.findLoad(server)
    const held = reserved.get(server) ?? NOTHING_RESERVED
    return {
      calls: calls + held.calls,
      tokens: promptTokens + held.tokens,
      kvTokens: serverStats.findKvTokens(server) + held.kvTokens,
    }
  }
  const rates = createPrefillRates(timers)
  const waits = createEngineWaits()
  const findTokensPerMs = (group: string) =>
    rates.find(group) ?? serviceTimes.findPrefillTokensPerMs(group)
  const findLimits = (
    view: FleetView,
    group: ServerGroup,
    engine: EngineCapacity,
    band: number,
  ): EngineLimits => {
    const loadAgeMs = reportAgeMs()
    return {
      slots: engine.slots,
      kvCapacityTokens: engine.cacheTokens,
      tokensPerMs: findTokensPerMs(group.name),
      loadAgeMs,
      // Without news of the others, each router uses an even share: as if all had as much in progress as this one.
      ownFactor: loadAgeMs > MAX_REPORT_AGE_MS ? Math.max(1, view.routers) : 1,
      aheadRatio: mix.findRatioUpTo(group.name, band),
    }
  }
  const findOthersLoad = ({ loads }: FleetView, id: BackendServerId): Reserved => {
    const { calls = 0, promptTokens: tokens = 0 } = loads[id] ?? {}
    return { calls, tokens, kvTokens: calls * (meanKvTokens.get(id) ?? 0) }
  }
  const addLoads = (
    { slots, kvCapacityTokens, tokensPerMs, loadAgeMs, ownFactor, aheadRatio }: EngineLimits,
    own: Reserved,
    others: Reserved,
    engineRate: number | undefined,
  ): EngineLoad => {
    const known = loadAgeMs > MAX_REPORT_AGE_MS ? NOTHING_RESERVED : others
    return {
      slots,
      kvCapacityTokens,
      tokensPerMs: engineRate ?? tokensPerMs,
      loadAgeMs,
      calls: own.calls * ownFactor + known.calls,
      pendingTokens: (own.tokens * ownFactor + known.tokens) * aheadRatio,
      kvTokens: own.kvTokens * ownFactor + known.kvTokens,
    }
  }
  const isOpen = (view: FleetView, { id, phase }: RegisteredServer, now: number) =>
    phase === 'ready' &&
    !view.expired.has(id) &&
    !view.loading.has(id) &&
    !liveness.isUnreachable(id) &&
    isSendAllowed(checkServerAvailability(context, id, now))
  /** Lists the engines that accept requests; in a large group this takes longer than a decision may. */
  const listOpenEngines = (view: FleetView, group: ServerGroup): readonly OpenEngine[] => {
    const now = timers.now()
    const known = openEngines.get(group.name)
    if (known?.view === view && now - known.listedAt < OPEN_TTL_MS) return known.engines
    const engines: OpenEngine[] = []
    for (const server of view.servers.values()) {
      if (server.group === group.name && isOpen(view, server, now))
        engines.push({
          id: server.id,
          others: findOthersLoad(view, server.id),
          rate: context.findEngineRate?.(group, server.id),
        })
    }
    openEngines.set(group.name, { view, listedAt: now, engines })
    return engines
  }
  /** Sums over the engines of a group as a request of the band finds them. */
  const sumEngines = (
    view: FleetView,
    group: ServerGroup,
    band: number,
    request?: AdmissionRequest,
  ): GroupSums => {
    const open = group.engine ? listOpenEngines(view, group) : []
    const sums = { engines: open.length, calls: 0, workMs: 0, roomMs: 0 }
    let nextCapacityMs = NO_ENGINE_WAIT_MS
    if (!group.engine) return { ...sums, nextCapacityMs }
    const limits = findLimits(view, group, group.engine, band)
    const limitMs = request ? findEngineQueueLimitMs(request, maxEngineQueueMs) : 0
    for (const { id, others, rate } of open) {
      const own = findOwnLoad(id)
      const load = addLoads(limits, own, others, rate)
      const startMs = estimateStartMs(load)
      sums.calls += load.calls
      sums.workMs += startMs
      sums.roomMs += Math.max(0, maxEngineQueueMs - startMs)
      if (!request || nextCapacityMs === 0) continue
      // An engine without a free slot or memory has capacity once a call ends, which no report predicts.
      const isFree = isRoomLeft(load, request, maxEngineQueueMs)
      const waitMs = isFree ? 0 : Math.max(MIN_WAIT_MS, startMs - limitMs)
      nextCapacityMs = Math.min(nextCapacityMs, waitMs)
    }
    return { ...sums, nextCapacityMs }
  }
  return {
    recordReport: () => {
      reportedAt = timers.promiseNow()
    },
    reportAgeMs,
    findTokensPerMs,
    estimateWaitMs: waits.estimate,
    reserve: (view, group, server, { band, kvTokens }, uncachedTokens) => {
      const reservedAt = timers.now()
      const aheadTokens = findOwnLoad(server).tokens + (view.loads[server]?.promptTokens ?? 0)
      const held = { calls: 1, tokens: uncachedTokens, kvTokens }
      const mean = meanKvTokens.get(server) ?? kvTokens
      meanKvTokens.set(server, mean + SIZE_WEIGHT * (kvTokens - mean))
      addReserved(server, held, 1)
      let isHeld = true
      let isMeasured = reportAgeMs() <= MAX_REPORT_AGE_MS
      return {
        release: () => {
          if (isHeld) addReserved(server, held, -1)
          isHeld = false
        },
        recordFirstEvent: () => {
          if (!isMeasured) return
          isMeasured = false
          const ms = timers.now() - reservedAt
          mix.record(group.name, band, uncachedTokens, ms)
          waits.record(band, Math.max(0, ms - uncachedTokens / findTokensPerMs(group.name)))
          rates.record(group.name, aheadTokens + uncachedTokens, ms - FIRST_EVENT_OVERHEAD_MS)
        },
      }
    },
    hasRoom: (view, group, server, request) => {
      if (!group.engine) return true
      const limits = findLimits(view, group, group.engine, request.band)
      const rate = context.findEngineRate?.(group, server)
      const load = addLoads(limits, findOwnLoad(server), findOthersLoad(view, server), rate)
      return isRoomLeft(load, request, maxEngineQueueMs)
    },
    measureCapacity: (view, group, request) => {
      const sums = sumEngines(view, group, request.band, request)
      return {
        slots: sums.engines * (group.engine?.slots ?? 0),
        calls: sums.calls,
        workPerMs: sums.engines,
        waitingWorkMs: sums.workMs,
        nextCapacityMs: sums.nextCapacityMs,
      }
    },
    countOpenEngines: (view, group) => listOpenEngines(view, group).length,
    isAmple: (view, group, band) => {
      const { engines, roomMs } = sumEngines(view, group, band)
      return roomMs >= engines * maxEngineQueueMs * AMPLE_RATIO
    },
    sumRoomMs: (view, group) => sumEngines(view, group, Infinity).roomMs,
  }
}
