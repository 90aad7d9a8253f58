/**
 * Servers that name rate limits, in virtual time and without a network: the real choice, limits and division of limits,
 * on stand-in servers that answer whatever they receive.
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

/** A change of what servers name. */
export interface LimitChange {
  readonly atMs: number
  /** Servers concerned, the first ones. */
  readonly servers: number
  /** Requests a second; undefined for no limit. */
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
  /** Routers that receive requests, the first ones. @default all */
  readonly busyRouters?: number
  /** When a new leader takes over, in ms. @default never */
  readonly newLeaderAtMs?: number
  /** Time without a leader before that, in ms. @default 0 */
  readonly electionMs?: number
  /** When a router is replaced by a new one, in ms. @default never */
  readonly restartsAtMs?: readonly number[]
  /** Time from the head of an answer to a request's end, in ms. @default 100 */
  readonly processingMs?: number
}

/** What a simulation shows. */
export interface LimitSimulationResult {
  readonly sent: number
  /** Requests that no server was open for. */
  readonly rejected: number
  /** Largest number of counted requests in a window over the number that is allowed. */
  readonly maxWindowRatio: number
  /** Least requests a second of a limited server from 3 s after it named the limit, over the limit. */
  readonly minUsedRatio: number
  /** Least share of a server whose limit was withdrawn, from 4 s later for 2 s, over the even share. */
  readonly minRecoveredRatio: number
}

const STEP_MS = 5
const ANSWER_MS = 60
const POLL_MS = 100
const POLL_MS_PER_ROUTER = 2
const ROUTER_LIFE_MS = 3_000
const FIRST_TERM = 1
/** The users' rule: the window, from when on it counts, and which routers count. */
const WINDOW_MS = 4_000
const COUNTED_AFTER_MS = 3_000
const INFORMED_AFTER_MS = 500
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
  readonly parts: ReturnType<typeof createRankingContext>
  readonly limits: ReturnType<typeof createServerLimits>
  term: number
  limitsSeen: number
  isRunning: boolean
  /** When it first passed on an answer with the limit in force, by server. */
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
  private limitParts
  private term = FIRST_TERM
  private readonly servers: readonly RegisteredServer[]
  private readonly routers: SimulatedRouter[]
  private readonly named = new Map<BackendServerId, number>()
  private readonly arrivals = new Map<BackendServerId, Arrival[]>()
  private restarts = 0
  private sent = 0
  private rejected = 0

  constructor(private readonly options: LimitSimulationOptions) {
    this.random = createRandomSource(options.seed)
    this.loads = this.createLoads()
    this.limitParts = this.createParts()
    this.servers = Array.from({ length: options.servers }, (_, index) =>
      createEngineServer(`s${index}`),
    )
    this.routers = Array.from({ length: options.routers }, (_, index) => this.createRouter(index))
  }

  private createLoads() {
    return createLoadAggregator({ timers: this.timers, routerLifeMs: ROUTER_LIFE_MS })
  }

  private createParts() {
    return createRateLimitAllocator({
      timers: this.timers,
      listRouters: () => this.loads.listBusyRouters(),
      isRegistered: () => true,
    })
  }

  private createRouter(index: number): SimulatedRouter {
    const { options, timers } = this
    this.restarts += 1
    const parts = createRankingContext(timers, options.seed + this.restarts)
    return {
      name: `r${index}`,
      view: buildView(this.servers, {}),
      parts,
      limits: parts.limits,
      term: -1,
      limitsSeen: -1,
      isRunning: true,
      informedAt: new Map(),
    }
  }

  private isLeaderAway(): boolean {
    const { newLeaderAtMs = Infinity, electionMs = 0 } = this.options
    const now = this.timers.now()
    return now < newLeaderAtMs && now >= newLeaderAtMs - electionMs
  }

  private poll(router: SimulatedRouter): void {
    const { timers, options, random } = this
    if (!router.isRunning) return
    const askedAt = timers.now()
    const waitMs = Math.max(POLL_MS, options.routers * POLL_MS_PER_ROUTER) * (0.5 + random.next())
    if (this.isLeaderAway()) {
      timers.after(waitMs).subscribe(() => this.poll(router))
      return
    }
    const { term } = this
    const observed = router.limits.listUnreported(router.term, askedAt)
    this.loads.record(router.name, router.parts.serverStats.listLoads())
    this.limitParts.record(observed.reports)
    timers.after(waitMs).subscribe(() => {
      if (term === this.term && router.isRunning) this.applyReply(router, observed, askedAt)
      this.poll(router)
    })
  }

  private applyReply(
    router: SimulatedRouter,
    observed: ReturnType<SimulatedRouter['limits']['listUnreported']>,
    askedAt: number,
  ): void {
    const { term, limitParts } = this
    if (observed.term === term) router.limits.recordAcknowledged(observed)
    const revision = limitParts.revision()
    if (router.term !== term || router.limitsSeen !== revision) {
      router.limits.applyUpdate(limitParts.buildUpdate(router.name), askedAt, this.timers.now())
    }
    Object.assign(router, { term, limitsSeen: revision })
    router.view = { ...router.view, loads: this.loads.sumExcept(router.name) }
  }

  private send(router: SimulatedRouter): void {
    const { timers } = this
    const { parts, view, limits, informedAt } = router
    const now = timers.now()
    const input = { view, group: GROUP, prompt: PROMPT, formatScope: () => '', hall: 'h', now }
    const best = rankServers(parts, { ...input, excluded: new Set() }).at(0)
    if (!best) {
      this.rejected += 1
      return
    }
    const { id } = best.server
    const ticket = parts.serverStats.startCall(id, best.uncachedTokens)
    limits.recordSend(id, now)
    const isCounted = now >= (informedAt.get(id) ?? Infinity) + INFORMED_AFTER_MS
    this.arrivals.set(id, [...(this.arrivals.get(id) ?? []), { at: now, isCounted }])
    timers.after(ANSWER_MS).subscribe(() => {
      const perSecond = this.named.get(id)
      if (perSecond === undefined) informedAt.delete(id)
      else if (!informedAt.has(id)) informedAt.set(id, timers.now())
      limits.recordResponse(id, { perSecond, sentAt: now }, timers.now())
      ticket.recordFirstChunk()
    })
    timers.after(this.options.processingMs ?? 100).subscribe(() => ticket.finish('ok'))
  }

  private applyEvents(): void {
    const { options, timers } = this
    const now = timers.now()
    const isNow = (at: number | undefined) => at !== undefined && at >= now && at < now + STEP_MS
    for (const { atMs, servers, perSecond } of options.changes) {
      if (!isNow(atMs)) continue
      for (const { id } of this.servers.slice(0, servers)) {
        if (perSecond === undefined) this.named.delete(id)
        else this.named.set(id, perSecond)
      }
    }
    if (isNow(options.newLeaderAtMs)) {
      this.term += 1
      this.loads = this.createLoads()
      this.limitParts = this.createParts()
    }
    for (const at of options.restartsAtMs ?? []) {
      if (isNow(at)) this.restartRouter()
    }
  }

  private restartRouter(): void {
    const index = Math.floor(this.random.next() * this.routers.length)
    this.routers[index].isRunning = false
    this.routers[index] = this.createRouter(index)
    this.poll(this.routers[index])
  }

  /** Each limit with its server and the time for which it was named. */
  private listLimits() {
    const { changes, durationMs } = this.options
    return changes.flatMap(({ atMs, servers, perSecond }, index) => {
      const untilMs = changes.at(index + 1)?.atMs ?? durationMs
      return this.servers
        .slice(0, servers)
        .map(({ id }) => ({ arrivals: this.arrivals.get(id) ?? [], perSecond, atMs, untilMs }))
    })
  }

  private findWorstWindow(): number {
    const excesses = this.listLimits().map(({ arrivals, perSecond, atMs, untilMs }) => {
      if (perSecond === undefined) return 0
      const from = atMs + COUNTED_AFTER_MS
      const times = arrivals
        .filter(({ at, isCounted }) => isCounted && at >= from && at < untilMs)
        .map(({ at }) => at)
      const allowed = ALLOWED_RATIO * perSecond * (WINDOW_MS / MS_PER_S) + ALLOWED_BURST
      let first = 0
      let most = 0
      for (const [index, at] of times.entries()) {
        while (times[first] <= at - WINDOW_MS) first += 1
        most = Math.max(most, index - first + 1)
      }
      return most / allowed
    })
    return Math.max(0, ...excesses)
  }

  private findLeastUsed(): number {
    const used = this.listLimits().map(({ arrivals, perSecond, atMs, untilMs }) => {
      if (perSecond === undefined || perSecond === 0) return Infinity
      const from = atMs + COUNTED_AFTER_MS
      const count = arrivals.filter(({ at }) => at >= from && at < untilMs).length
      return count / (((untilMs - from) / MS_PER_S) * perSecond)
    })
    return Math.min(...used)
  }

  private findLeastShareAfter(): number {
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
      maxWindowRatio: this.findWorstWindow(),
      minUsedRatio: this.findLeastUsed(),
      minRecoveredRatio: this.findLeastShareAfter(),
    }
  }
}

/** Simulates a load and reports what became of it. */
export function runLimitSimulation(options: LimitSimulationOptions): LimitSimulationResult {
  return new LimitSimulation(options).run()
}
