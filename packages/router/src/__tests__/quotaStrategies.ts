/** Strategies that share a team quota among routers, for the simulation: the real one and those it is compared with. */
import { createQuotaBuckets, type QuotaReport } from '@spoolgate/control'
import {
  createQuietLogger,
  createRandomSource,
  toTeamId,
  type HttpClient,
  type TimerService,
} from '@spoolgate/core'
import type { TeamQuota } from '@spoolgate/routing'
import { Observable } from 'rxjs'
import { createQuotaAdmission } from '../limits/quotaAdmission.js'
import { createQuotaCredits } from '../limits/quotaCredits.js'

/** How a quota is shared among routers. */
export type SharingStrategy = 'credits' | 'evenShares' | 'demandShares' | 'reportedUse' | 'central'

/** Size of the fleet. */
export interface FleetSize {
  readonly routers: number
}

/** Example of a tolerance in a deployment's bounds. */
export const TOLERANCE = { ratio: 0.1, slack: 110_000, windowMs: 8_000 }
const NETWORK_DELAY_MS = 2
const MIN_POLL_INTERVAL_MS = 100
const POLL_INTERVAL_PER_ROUTER_MS = 2
const MS_PER_S = 1_000
const TEAM = toTeamId('t')

/** Creates a virtual clock with steps of 1 ms. */
export function createVirtualClock() {
  const due = new Map<number, (() => void)[]>()
  let now = 0
  const at = (ms: number, run: () => void) => {
    const slot = Math.max(now + 1, Math.ceil(ms))
    const tasks = due.get(slot)
    if (tasks) tasks.push(run)
    else due.set(slot, [run])
  }
  const timers = {
    now: () => now,
    promiseNow: () => now,
    after: (delay: number) =>
      new Observable<void>((subscriber) => {
        let isOpen = true
        at(now + delay, () => {
          if (isOpen) subscriber.next()
        })
        return () => {
          isOpen = false
        }
      }),
  } as TimerService
  const run = async (until: number) => {
    while (now < until) {
      now += 1
      const tasks = due.get(now)
      due.delete(now)
      if (!tasks) continue
      for (const task of tasks) task()
      await new Promise((resolve) => setImmediate(resolve))
    }
  }
  return { at, timers, run }
}

/** See {@link createVirtualClock}. */
export type VirtualClock = ReturnType<typeof createVirtualClock>

/** Simulated admission of requests at all routers. */
export interface SimulatedAdmission {
  admit(router: number, cost: number): Promise<boolean>
  /** Called at each poll of a router. */
  poll(router: number): void
  restart(router: number): void
  newTerm(): void
  messages(): number
  bytes(): number
}

/** Environment of a strategy. */
export interface StrategyContext {
  readonly clock: VirtualClock
  readonly options: FleetSize
  readonly findQuota: () => TeamQuota
  readonly isReachable: (router: number) => boolean
}

function createCreditStrategy({
  clock,
  options,
  findQuota,
  isReachable,
}: StrategyContext): SimulatedAdmission {
  const { at, timers } = clock
  let term = 1
  let messages = 0
  let bytes = 0
  const count = (message: unknown) => {
    bytes += JSON.stringify(message).length
  }
  const buckets = createQuotaBuckets({ timers, findQuota, tolerance: TOLERANCE })
  buckets.reset(term)
  /** Sends a report to the leader; `onGrants` is not called if the report or the reply is lost. */
  const send = (
    router: number,
    report: QuotaReport,
    onGrants: (grants: never) => void,
    heldMs = 0,
  ) => {
    messages += 1
    count(report)
    at(timers.now() + NETWORK_DELAY_MS, () => {
      if (!isReachable(router)) return
      buckets.applyReport(report)
      at(timers.now() + heldMs, () => {
        const grants = buckets.listGrants(report)
        count(grants)
        at(timers.now() + NETWORK_DELAY_MS, () => {
          if (isReachable(router)) onGrants(grants as never)
        })
      })
    })
  }
  const random = createRandomSource(1)
  let incarnations = 0
  const createRouter = (router: number) => {
    incarnations += 1
    const credits = createQuotaCredits({
      router: `r${router}`,
      incarnation: `l${incarnations}`,
      countRouters: () => options.routers,
      random,
    })
    const sendJson = ({ json, signal }: { json: QuotaReport; signal: AbortSignal }) =>
      new Promise((resolve, reject) => {
        signal.addEventListener('abort', () => reject(new Error('no answer')))
        send(router, json, resolve)
      })
    const admission = createQuotaAdmission({
      credits,
      client: { sendJson } as unknown as HttpClient,
      timers,
      logger: createQuietLogger(),
      findLeaderUrl: () => 'http://leader',
    })
    return { credits, admission }
  }
  const routers = Array.from({ length: options.routers }, (_, router) => createRouter(router))
  return {
    admit: async (router, cost) => {
      const verdict = await routers[router].admission.admit({
        team: TEAM,
        quota: findQuota(),
        cost,
      })
      return verdict.kind === 'admitted'
    },
    poll: (router) => {
      const { credits } = routers[router]
      const requestedAt = timers.now()
      const report = credits.buildReport([], requestedAt)
      send(
        router,
        report,
        (grants) => credits.applyGrants(grants, requestedAt),
        findPollIntervalMs(options) - 1,
      )
    },
    restart: (router) => {
      routers[router] = createRouter(router)
    },
    newTerm: () => {
      term += 1
      buckets.reset(term)
    },
    messages: () => messages,
    bytes: () => bytes,
  }
}

/** One bucket per router, with equal rates or with rates that a leader divides by demand each second. */
function createShareStrategy(context: StrategyContext, isByDemand: boolean): SimulatedAdmission {
  const { clock, options, findQuota, isReachable } = context
  const { timers, at } = clock
  let messages = 0
  const states = Array.from({ length: options.routers }, () => ({
    share: 1 / options.routers,
    level: findQuota().burst / options.routers,
    asked: 0,
    filledAt: 0,
  }))
  const divideRate = () => {
    const sum = states.reduce((total, { asked }) => total + asked + 1, 0)
    for (const [router, state] of states.entries()) {
      if (isReachable(router)) state.share = (state.asked + 1) / sum
      state.asked = 0
    }
    messages += options.routers
    at(timers.now() + MS_PER_S, divideRate)
  }
  if (isByDemand) at(1, divideRate)
  return {
    admit: async (router, cost) => {
      const state = states[router]
      const { perSecond, burst } = findQuota()
      const elapsedMs = timers.now() - state.filledAt
      const rate = perSecond * state.share
      const capacity = Math.max(burst, perSecond / 2) * state.share
      state.level = Math.min(capacity, state.level + (rate * elapsedMs) / MS_PER_S)
      state.filledAt = timers.now()
      state.asked += cost
      if (state.level <= 0) return false
      state.level -= cost
      return true
    },
    poll: () => {},
    restart: (router) => {
      states[router].level = findQuota().burst / options.routers
    },
    newTerm: () => {},
    messages: () => messages,
    bytes: () => 0,
  }
}

/** One bucket, whose level as of their last poll all routers use without coordination. */
function createReportedUseStrategy({
  clock,
  options,
  findQuota,
  isReachable,
}: StrategyContext): SimulatedAdmission {
  const { timers, at } = clock
  let level = findQuota().burst
  let filledAt = 0
  let messages = 0
  const lastKnown = Array.from({ length: options.routers }, () => ({ level, spent: 0 }))
  const fill = () => {
    const { perSecond, burst } = findQuota()
    const filled = level + (perSecond * (timers.now() - filledAt)) / MS_PER_S
    level = Math.min(Math.max(burst, perSecond / 2), filled)
    filledAt = timers.now()
  }
  return {
    admit: async (router, cost) => {
      const state = lastKnown[router]
      if (state.level <= 0) return false
      state.level -= cost
      state.spent += cost
      return true
    },
    poll: (router) => {
      messages += 1
      at(timers.now() + NETWORK_DELAY_MS, () => {
        if (!isReachable(router)) return
        fill()
        level -= lastKnown[router].spent
        lastKnown[router].spent = 0
        at(timers.now() + findPollIntervalMs(options) + NETWORK_DELAY_MS, () => {
          fill()
          lastKnown[router].level = level - lastKnown[router].spent
        })
      })
    },
    restart: (router) => {
      lastKnown[router] = { level: 0, spent: 0 }
    },
    newTerm: () => {
      level = findQuota().burst
    },
    messages: () => messages,
    bytes: () => 0,
  }
}

/** One central bucket without delay: not feasible in a real fleet, but a reference for the others. */
function createCentralStrategy({
  clock: { timers },
  findQuota,
}: StrategyContext): SimulatedAdmission {
  let level = findQuota().burst
  let filledAt = 0
  return {
    admit: async (_, cost) => {
      const { perSecond, burst } = findQuota()
      const filled = level + (perSecond * (timers.now() - filledAt)) / MS_PER_S
      level = Math.min(Math.max(burst, perSecond / 2), filled)
      filledAt = timers.now()
      if (level <= 0) return false
      level -= cost
      return true
    },
    poll: () => {},
    restart: () => {},
    newTerm: () => {},
    messages: () => 0,
    bytes: () => 0,
  }
}

/** Creates the admission of each strategy. */
export const STRATEGIES: Record<SharingStrategy, (context: StrategyContext) => SimulatedAdmission> =
  {
    credits: createCreditStrategy,
    evenShares: (context) => createShareStrategy(context, false),
    demandShares: (context) => createShareStrategy(context, true),
    reportedUse: createReportedUseStrategy,
    central: createCentralStrategy,
  }

/** Returns the poll interval of a router, in ms. */
export function findPollIntervalMs({ routers }: FleetSize): number {
  return Math.max(MIN_POLL_INTERVAL_MS, routers * POLL_INTERVAL_PER_ROUTER_MS)
}
