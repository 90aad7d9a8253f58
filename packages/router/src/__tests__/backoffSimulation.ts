/**
 * Simulation of servers that reject requests and request backoff, in virtual time and without a network: the routers'
 * real server ranking and backoff handling, on simulated servers that shed load in turn.
 */
import { createLoadAggregator, type FleetView, type RegisteredServer } from '@spoolgate/control'
import { createManualTimerService, createRandomSource, type BackendServerId } from '@spoolgate/core'
import { addBackoffs } from '../direct/responseSignals.js'
import { rankServers, type Candidate } from '../direct/serverRanking.js'
import { createRetryBudget, type RetryBudget } from '../direct/retryBudget.js'
import { buildView, createRankingContext, createEngineServer, GROUP } from './rankingFixtures.js'

/** Options of {@link runBackoffSimulation}. */
export interface BackoffSimulationOptions {
  readonly routers: number
  readonly servers: number
  readonly requestsPerSecond: number
  /** Ratio of the servers that shed load in a phase; in the next such phase as many others do. */
  readonly sheddingRatio: number
  /** Backoff that they request, in ms. */
  readonly retryAfterMs: number
  /** Length of a phase, in ms; servers shed load in every second phase. */
  readonly phaseMs: number
  readonly durationMs: number
  readonly seed: number
}

/** Result of a simulation. */
export interface BackoffSimulationResult {
  readonly sent: number
  readonly answered: number
  /** Backoffs requested, each from one router. */
  readonly backoffs: number
  /** Most requests that one router sent within one backoff, from {@link SIGNAL_DELAY_MS} on. */
  readonly mostInBackoff: number
  /** Largest number of requests to a server in the second after its last backoff, relative to an even share. */
  readonly largestShare: number
}

/** Time after which a router must have applied a signal, in ms. */
const SIGNAL_DELAY_MS = 500
const ANSWER_MS = 5
const WORK_MS = 100
const STEP_MS = 5
const MAX_SENDS = 2
const POLL_MS = 100
const POLL_MS_PER_ROUTER = 2
const ROUTER_LIFE_MS = 3_000
const BOUNDS = { ratio: 0.2, slack: 40, windowMs: 10_000 }
/** Prompt without shared parts. */
const PROMPT = {
  model: 'm',
  parts: [{ id: 'own', tokens: 500 }],
  promptTokens: 500,
  maxTokens: 20,
}

/** A backoff that a server requested from one router. */
interface SimulatedBackoff {
  readonly server: BackendServerId
  readonly from: number
  readonly until: number
  /** Requests that the router sent to the server during the backoff, from {@link SIGNAL_DELAY_MS} on. */
  sends: number
}

interface SimulatedRouter {
  readonly name: string
  /** Fleet view with the load of the other routers as last reported by the leader. */
  view: FleetView
  readonly context: ReturnType<typeof createRankingContext>
  readonly retryBudget: RetryBudget
  readonly backoffs: SimulatedBackoff[]
}

class BackoffSimulation {
  private readonly timers = createManualTimerService()
  private readonly random
  private readonly leader
  private readonly servers: readonly RegisteredServer[]
  private readonly routers: readonly SimulatedRouter[]
  private readonly sends: { server: BackendServerId; at: number }[] = []
  private sent = 0
  private answered = 0

  constructor(private readonly options: BackoffSimulationOptions) {
    const { timers } = this
    this.random = createRandomSource(options.seed)
    this.leader = createLoadAggregator({ timers, routerLifeMs: ROUTER_LIFE_MS })
    this.servers = Array.from({ length: options.servers }, (_, index) =>
      createEngineServer(`s${index}`),
    )
    this.routers = Array.from({ length: options.routers }, (_, index) => this.createRouter(index))
  }

  private createRouter(index: number): SimulatedRouter {
    const { timers, options } = this
    return {
      name: `r${index}`,
      view: buildView(this.servers, {}),
      context: createRankingContext(timers, options.seed + index),
      retryBudget: createRetryBudget({
        timers,
        bounds: BOUNDS,
        countRouters: () => options.routers,
      }),
      backoffs: [],
    }
  }

  private isShedding(server: RegisteredServer): boolean {
    const { servers, phaseMs: turnMs, sheddingRatio: sheddingPart } = this.options
    const count = Math.round(servers * sheddingPart)
    const phase = Math.floor(this.timers.now() / turnMs)
    const first = (Math.floor(phase / 2) * count) % servers
    const place = (this.servers.indexOf(server) - first + servers) % servers
    return phase % 2 === 1 && place < count
  }

  private poll(router: SimulatedRouter): void {
    const { timers, leader, options, random } = this
    const { serverStats, backpressure } = router.context
    leader.record(
      router.name,
      addBackoffs(serverStats.listLoads(), backpressure.listBackingOff(timers.now())),
    )
    router.view = { ...router.view, loads: leader.sumExcept(router.name) }
    const periodMs = Math.max(POLL_MS, options.routers * POLL_MS_PER_ROUTER)
    timers.after(periodMs * (0.5 + random.next())).subscribe(() => this.poll(router))
  }

  private choose({ context, view }: SimulatedRouter, excluded: ReadonlySet<BackendServerId>) {
    const [best] = rankServers(context, {
      view,
      group: GROUP,
      prompt: PROMPT,
      formatScope: () => '',
      excluded,
      hall: 'h',
      now: this.timers.now(),
    })
    return best as Candidate | undefined
  }

  private countSend({ backoffs }: SimulatedRouter, server: BackendServerId): void {
    const now = this.timers.now()
    for (const backoff of backoffs) {
      const isWithin =
        backoff.server === server && now >= backoff.from + SIGNAL_DELAY_MS && now < backoff.until
      if (isWithin) backoff.sends += 1
    }
    this.sends.push({ server, at: now })
  }

  /** Sends a request, or retries it at a server that has not rejected it yet. */
  private send(router: SimulatedRouter, excluded: Set<BackendServerId>): void {
    const { timers, random } = this
    const { context, retryBudget: retryBudget } = router
    const best = this.choose(router, excluded)
    if (!best) return
    const { id } = best.server
    const trackedCall = context.serverStats.startCall(id, best.uncachedTokens)
    context.backpressure.recordSend(id, timers.now())
    this.countSend(router, id)
    if (excluded.size === 0) retryBudget.recordFirstSend(GROUP.name)
    if (this.isShedding(best.server)) {
      timers.after(ANSWER_MS).subscribe(() => {
        trackedCall.finish('none')
        this.rejectRequest(router, id, excluded)
      })
      return
    }
    timers.after(WORK_MS * (0.5 + random.next())).subscribe(() => {
      trackedCall.finish('ok')
      this.answered += 1
    })
  }

  private rejectRequest(
    router: SimulatedRouter,
    server: BackendServerId,
    excluded: Set<BackendServerId>,
  ): void {
    const { retryAfterMs } = this.options
    const from = this.timers.now()
    router.context.backpressure.recordBackoff(server, retryAfterMs, from)
    router.backoffs.push({ server, from, until: from + retryAfterMs, sends: 0 })
    excluded.add(server)
    if (excluded.size < MAX_SENDS && router.retryBudget.takeRetry(GROUP.name))
      this.send(router, excluded)
  }

  /** Requests to a server in the second after its last backoff, relative to an even share; 0 without such a second. */
  private findRelativeShare(
    { id }: RegisteredServer,
    backoffs: readonly SimulatedBackoff[],
  ): number {
    const own = backoffs.filter(({ server }) => server === id)
    const endedAt = Math.max(0, ...own.map(({ until }) => until))
    if (endedAt === 0 || endedAt + 1_000 > this.options.durationMs) return 0
    const inSecond = this.sends.filter(({ at }) => at >= endedAt && at < endedAt + 1_000)
    const count = inSecond.filter(({ server }) => server === id).length
    return (count * this.servers.length) / inSecond.length
  }

  run(): BackoffSimulationResult {
    const { timers, random, routers, options } = this
    for (const router of routers) this.poll(router)
    const perStep = (options.requestsPerSecond * STEP_MS) / 1_000
    let due = 0
    for (let now = 0; now < options.durationMs; now += STEP_MS) {
      for (due += perStep; due >= 1; due -= 1) {
        this.sent += 1
        this.send(random.choose(routers), new Set())
      }
      timers.advance(STEP_MS)
    }
    timers.advance(2 * WORK_MS)
    const backoffs = routers.flatMap((router) => router.backoffs)
    return {
      sent: this.sent,
      answered: this.answered,
      backoffs: backoffs.length,
      mostInBackoff: Math.max(0, ...backoffs.map(({ sends }) => sends)),
      largestShare: Math.max(
        ...this.servers.map((server) => this.findRelativeShare(server, backoffs)),
      ),
    }
  }
}

/** Runs a simulation to its end. */
export function runBackoffSimulation(options: BackoffSimulationOptions): BackoffSimulationResult {
  return new BackoffSimulation(options).run()
}
