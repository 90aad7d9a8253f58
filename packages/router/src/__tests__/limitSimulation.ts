/**
 * Simulates servers that announce rate limits, in virtual time and without a network. Server ranking, limits and
 * allocation are the real code; the simulated servers answer every request.
 */
import {
  createRateLimitAllocator,
  createLoadAggregator,
  type FleetView,
  type RegisteredServer,
} from '@spoolgate/control'
import { createManualTimerService, createRandomSource, type BackendServerId } from '@spoolgate/core'
import { rankServers } from '../direct/serverRanking.js'
import { createServerLimits } from '../limits/serverLimits.js'
import { buildView, createRankingContext, createEngineServer, GROUP } from './rankingFixtures.js'

/** A change of the limits that servers announce. */
export interface LimitChange {
  readonly atMs: number
  /** Number of affected servers, from the first one. */
  readonly servers: number
  /** Requests per second; undefined for no limit. */
  readonly perSecond: number | undefined
}

/** Options of {@link runLimitSimulation}. */
export interface LimitSimulationOptions {
  readonly routers: number
  readonly servers: number
  readonly requestsPerSecond: number
  readonly changes: readonly LimitChange[]
  readonly durationMs: number
  readonly seed: number
  /** Number of routers that receive requests, from the first one. @default all */
  readonly busyRouters?: number
  /** When a new leader takes over, in ms. @default never */
  readonly newLeaderAtMs?: number
  /** Time without a leader before that, in ms. @default 0 */
  readonly electionMs?: number
  /** Times at which a random router is restarted, in ms. @default never */
  readonly restartsAtMs?: readonly number[]
  /** Time from the start of a request to its end, in ms. @default 100 */
  readonly processingMs?: number
}

/** Result of a simulation. */
export interface LimitSimulationResult {
  readonly sent: number
  /** Requests for which no server was available. */
  readonly rejected: number
  /** Maximum number of counted requests in a window, as a fraction of the number allowed. */
  readonly maxWindowRatio: number
  /** Minimum request rate of a limited server from 3 s after it announced the limit, as a fraction of the limit. */
  readonly minUsedRatio: number
  /** Minimum rate of a server from 4 s to 6 s after its limit was withdrawn, as a fraction of the equal share. */
  readonly minRecoveredRatio: number
}

const STEP_MS = 5
const RESPONSE_DELAY_MS = 60
const MIN_POLL_INTERVAL_MS = 100
const POLL_INTERVAL_PER_ROUTER_MS = 2
const ROUTER_TTL_MS = 3_000
const FIRST_TERM = 1
/** The required bound: its window, from when it applies, and which routers count. */
const WINDOW_MS = 4_000
const SETTLING_MS = 3_000
const ROUTER_SETTLING_MS = 500
const ALLOWED_RATIO = 1.5
const ALLOWED_BURST = 5
const MS_PER_S = 1_000
const PROMPT = {
  model: 'm',
  parts: [{ id: 'own', tokens: 500 }],
  promptTokens: 500,
  maxTokens: 20,
}

interface SimulatedRouter {
  readonly name: string
  view: FleetView
  readonly context: ReturnType<typeof createRankingContext>
  readonly limits: ReturnType<typeof createServerLimits>
  term: number
  limitsSeen: number
  isRunning: boolean
  /** When this router first received a response with the current limit, by server. */
  readonly informedAt: Map<BackendServerId, number>
}

interface Arrival {
  readonly at: number
  readonly isCounted: boolean
}

class LimitSimulation {
  private readonly timers = createManualTimerService()
  private readonly random
  private loads
  private allocator
  private term = FIRST_TERM
  private readonly servers: readonly RegisteredServer[]
  private readonly routers: SimulatedRouter[]
  private readonly announcedLimits = new Map<BackendServerId, number>()
  private readonly arrivals = new Map<BackendServerId, Arrival[]>()
  private restarts = 0
  private sent = 0
  private rejected = 0

  constructor(private readonly options: LimitSimulationOptions) {
    this.random = createRandomSource(options.seed)
    this.loads = this.createLoads()
    this.allocator = this.createAllocator()
    this.servers = Array.from({ length: options.servers }, (_, index) =>
      createEngineServer(`s${index}`),
    )
    this.routers = Array.from({ length: options.routers }, (_, index) => this.createRouter(index))
  }

  private createLoads() {
    return createLoadAggregator({ timers: this.timers, routerLifeMs: ROUTER_TTL_MS })
  }

  private createAllocator() {
    return createRateLimitAllocator({
      timers: this.timers,
      listRouters: () => this.loads.listBusyRouters(),
      isRegistered: () => true,
    })
  }

  private createRouter(index: number): SimulatedRouter {
    const { options, timers } = this
    this.restarts += 1
    const context = createRankingContext(timers, options.seed + this.restarts)
    return {
      name: `r${index}`,
      view: buildView(this.servers, {}),
      context,
      limits: context.limits,
      term: -1,
      limitsSeen: -1,
      isRunning: true,
      informedAt: new Map(),
    }
  }

  private isLeaderless(): boolean {
    const { newLeaderAtMs = Infinity, electionMs = 0 } = this.options
    const now = this.timers.now()
    return now < newLeaderAtMs && now >= newLeaderAtMs - electionMs
  }

  private poll(router: SimulatedRouter): void {
    const { timers, options, random } = this
    if (!router.isRunning) return
    const requestedAt = timers.now()
    const waitMs =
      Math.max(MIN_POLL_INTERVAL_MS, options.routers * POLL_INTERVAL_PER_ROUTER_MS) *
      (0.5 + random.next())
    if (this.isLeaderless()) {
      timers.after(waitMs).subscribe(() => this.poll(router))
      return
    }
    const { term } = this
    const observed = router.limits.listUnreported(router.term, requestedAt)
    this.loads.record(router.name, router.context.serverStats.listLoads())
    this.allocator.record(observed.reports)
    timers.after(waitMs).subscribe(() => {
      if (term === this.term && router.isRunning) this.applyReply(router, observed, requestedAt)
      this.poll(router)
    })
  }

  private applyReply(
    router: SimulatedRouter,
    observed: ReturnType<SimulatedRouter['limits']['listUnreported']>,
    requestedAt: number,
  ): void {
    const { term, allocator } = this
    if (observed.term === term) router.limits.recordAcknowledged(observed)
    const revision = allocator.revision()
    if (router.term !== term || router.limitsSeen !== revision) {
      router.limits.applyUpdate(allocator.buildUpdate(router.name), requestedAt, this.timers.now())
    }
    Object.assign(router, { term, limitsSeen: revision })
    router.view = { ...router.view, loads: this.loads.sumExcept(router.name) }
  }

  private send(router: SimulatedRouter): void {
    const { timers } = this
    const { context, view, limits, informedAt } = router
    const now = timers.now()
    const input = { view, group: GROUP, prompt: PROMPT, formatScope: () => '', hall: 'h', now }
    const best = rankServers(context, { ...input, excluded: new Set() }).at(0)
    if (!best) {
      this.rejected += 1
      return
    }
    const { id } = best.server
    const trackedCall = context.serverStats.startCall(id, best.uncachedTokens)
    limits.recordSend(id, now)
    const isCounted = now >= (informedAt.get(id) ?? Infinity) + ROUTER_SETTLING_MS
    this.arrivals.set(id, [...(this.arrivals.get(id) ?? []), { at: now, isCounted }])
    timers.after(RESPONSE_DELAY_MS).subscribe(() => {
      const perSecond = this.announcedLimits.get(id)
      if (perSecond === undefined) informedAt.delete(id)
      else if (!informedAt.has(id)) informedAt.set(id, timers.now())
      limits.recordResponse(id, { perSecond, sentAt: now }, timers.now())
      trackedCall.recordFirstChunk()
    })
    timers.after(this.options.processingMs ?? 100).subscribe(() => trackedCall.finish('ok'))
  }

  private applyEvents(): void {
    const { options, timers } = this
    const now = timers.now()
    const isDue = (at: number | undefined) => at !== undefined && at >= now && at < now + STEP_MS
    for (const { atMs, servers, perSecond } of options.changes) {
      if (!isDue(atMs)) continue
      for (const { id } of this.servers.slice(0, servers)) {
        if (perSecond === undefined) this.announcedLimits.delete(id)
        else this.announcedLimits.set(id, perSecond)
      }
    }
    if (isDue(options.newLeaderAtMs)) {
      this.term += 1
      this.loads = this.createLoads()
      this.allocator = this.createAllocator()
    }
    for (const at of options.restartsAtMs ?? []) {
      if (isDue(at)) this.restartRouter()
    }
  }

  private restartRouter(): void {
    const index = Math.floor(this.random.next() * this.routers.length)
    this.routers[index].isRunning = false
    this.routers[index] = this.createRouter(index)
    this.poll(this.routers[index])
  }

  /** Lists each limit with the requests to its server and the period for which it was announced. */
  private listLimits() {
    const { changes, durationMs } = this.options
    return changes.flatMap(({ atMs, servers, perSecond }, index) => {
      const untilMs = changes.at(index + 1)?.atMs ?? durationMs
      return this.servers
        .slice(0, servers)
        .map(({ id }) => ({ arrivals: this.arrivals.get(id) ?? [], perSecond, atMs, untilMs }))
    })
  }

  private findMaxWindowRatio(): number {
    const ratios = this.listLimits().map(({ arrivals, perSecond, atMs, untilMs }) => {
      if (perSecond === undefined) return 0
      const from = atMs + SETTLING_MS
      const times = arrivals
        .filter(({ at, isCounted }) => isCounted && at >= from && at < untilMs)
        .map(({ at }) => at)
      const allowed = ALLOWED_RATIO * perSecond * (WINDOW_MS / MS_PER_S) + ALLOWED_BURST
      let first = 0
      let maxCount = 0
      for (const [index, at] of times.entries()) {
        while (times[first] <= at - WINDOW_MS) first += 1
        maxCount = Math.max(maxCount, index - first + 1)
      }
      return maxCount / allowed
    })
    return Math.max(0, ...ratios)
  }

  private findMinUsedRatio(): number {
    const ratios = this.listLimits().map(({ arrivals, perSecond, atMs, untilMs }) => {
      if (perSecond === undefined || perSecond === 0) return Infinity
      const from = atMs + SETTLING_MS
      const count = arrivals.filter(({ at }) => at >= from && at < untilMs).length
      return count / (((untilMs - from) / MS_PER_S) * perSecond)
    })
    return Math.min(...ratios)
  }

  private findMinRecoveredRatio(): number {
    const { requestsPerSecond, servers } = this.options
    const shares = this.listLimits().map(({ arrivals, perSecond, atMs, untilMs }) => {
      if (perSecond !== undefined || untilMs < atMs + 6_000) return Infinity
      const count = arrivals.filter(({ at }) => at >= atMs + 4_000 && at < atMs + 6_000).length
      return (count * servers) / (2 * requestsPerSecond)
    })
    return Math.min(...shares)
  }

  run(): LimitSimulationResult {
    const { timers, random, options } = this
    for (const router of this.routers) this.poll(router)
    const perStep = (options.requestsPerSecond * STEP_MS) / MS_PER_S
    const busy = options.busyRouters ?? options.routers
    let due = 0
    for (let now = 0; now < options.durationMs; now += STEP_MS) {
      this.applyEvents()
      for (due += perStep; due >= 1; due -= 1) {
        this.sent += 1
        this.send(this.routers[Math.floor(random.next() * busy)])
      }
      timers.advance(STEP_MS)
    }
    return {
      sent: this.sent,
      rejected: this.rejected,
      maxWindowRatio: this.findMaxWindowRatio(),
      minUsedRatio: this.findMinUsedRatio(),
      minRecoveredRatio: this.findMinRecoveredRatio(),
    }
  }
}

/** Runs a simulation. */
export function runLimitSimulation(options: LimitSimulationOptions): LimitSimulationResult {
  return new LimitSimulation(options).run()
}
