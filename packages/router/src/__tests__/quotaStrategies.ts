/** Ways to share the limit of a team among routers, for the simulation: the product's own, and what it is compared with. */
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

/** How a limit is shared among routers. */
export type SharingStrategy = 'credits' | 'evenShares' | 'demandShares' | 'reportedUse' | 'central'

/** Size of the fleet. */
export interface FleetSize {
  readonly routers: number
}

/** Tolerance as a deployment may state it. */
export const TOLERANCE = { ratio: 0.1, slack: 110_000, windowMs: 8_000 }
const DELAY_MS = 2
const POLL_MS = 100
const POLL_PER_ROUTER_MS = 2
const MS_PER_S = 1_000
const TEAM = toTeamId('t')

/** Creates time that moves in steps of 1 ms. */
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

/** Admission of the requests that reach routers. */
export interface SimulatedAdmission {
  admit(router: number, cost: number): Promise<boolean>
  /** Called for each router that is polling, at its pace. */
  poll(router: number): void
  restart(router: number): void
  newTerm(): void
  messages(): number
  bytes(): number
}

/** What a way has at hand. */
export interface StrategyContext {
  readonly clock: VirtualClock
  readonly options: FleetSize
  readonly findQuota: () => TeamQuota
  readonly isReachable: (router: number) => boolean
}

function createCreditsWay({
  clock: wheel,
  options,
  findQuota,
  isReachable,
}: StrategyContext): SimulatedAdmission {
  const { at, timers } = wheel
  let term = 1
  let messages = 0
  let bytes = 0
  const count = (message: unknown) => {
    bytes += JSON.stringify(message).length
  }
  const buckets = createQuotaBuckets({ timers, findQuota, tolerance: TOLERANCE })
  buckets.reset(term)
  /** Carries a report to the leader and the grants back; never called back where either is lost. */
  const send = (
    router: number,
    report: QuotaReport,
    onGrants: (grants: never) => void,
    heldMs = 0,
  ) => {
    messages += 1
    count(report)
    at(timers.now() + DELAY_MS, () => {
      if (!isReachable(router)) return
      buckets.applyReport(report)
      at(timers.now() + heldMs, () => {
        const grants = buckets.listGrants(report)
        count(grants)
        at(timers.now() + DELAY_MS, () => {
          if (isReachable(router)) onGrants(grants as never)
        })
      })
    })
  }
  const random = createRandomSource(1)
  let lives = 0
  const createRouter = (router: number) => {
    lives += 1
    const credits = createQuotaCredits({
      router: `r${router}`,
      incarnation: `l${lives}`,
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
      const askedAt = timers.now()
      const report = credits.buildReport([], askedAt)
      send(
        router,
        report,
        (grants) => credits.applyGrants(grants, askedAt),
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

/** Buckets of single routers, whose rates a leader may set anew each second. */
function createSharesWay(setting: StrategyContext, isByDemand: boolean): SimulatedAdmission {
  const { clock: wheel, options, findQuota, isReachable } = setting
  const { timers, at } = wheel
  let messages = 0
  const states = Array.from({ length: options.routers }, () => ({
    share: 1 / options.routers,
    level: findQuota().burst / options.routers,
    asked: 0,
    filledAt: 0,
  }))
  const divide = () => {
    const sum = states.reduce((total, { asked }) => total + asked + 1, 0)
    for (const [router, state] of states.entries()) {
      if (isReachable(router)) state.share = (state.asked + 1) / sum
      state.asked = 0
    }
    messages += options.routers
    at(timers.now() + MS_PER_S, divide)
  }
  if (isByDemand) at(1, divide)
  return {
    admit: async (router, cost) => {
      const state = states[router]
      const { perSecond, burst } = findQuota()
      const passedMs = timers.now() - state.filledAt
      const rate = perSecond * state.share
      const most = Math.max(burst, perSecond / 2) * state.share
      state.level = Math.min(most, state.level + (rate * passedMs) / MS_PER_S)
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

/** One bucket whose level all routers know as of their last poll, and spend from freely. */
function createReportedWay({
  clock: wheel,
  options,
  findQuota,
  isReachable,
}: StrategyContext): SimulatedAdmission {
  const { timers, at } = wheel
  let level = findQuota().burst
  let filledAt = 0
  let messages = 0
  const known = Array.from({ length: options.routers }, () => ({ level, spent: 0 }))
  const fill = () => {
    const { perSecond, burst } = findQuota()
    const filled = level + (perSecond * (timers.now() - filledAt)) / MS_PER_S
    level = Math.min(Math.max(burst, perSecond / 2), filled)
    filledAt = timers.now()
  }
  return {
    admit: async (router, cost) => {
      const state = known[router]
      if (state.level <= 0) return false
      state.level -= cost
      state.spent += cost
      return true
    },
    poll: (router) => {
      messages += 1
      at(timers.now() + DELAY_MS, () => {
        if (!isReachable(router)) return
        fill()
        level -= known[router].spent
        known[router].spent = 0
        at(timers.now() + findPollIntervalMs(options) + DELAY_MS, () => {
          fill()
          known[router].level = level - known[router].spent
        })
      })
    },
    restart: (router) => {
      known[router] = { level: 0, spent: 0 }
    },
    newTerm: () => {
      level = findQuota().burst
    },
    messages: () => messages,
    bytes: () => 0,
  }
}

/** One bucket that all routers see at once: what no fleet can do, as a measure for the others. */
function createCentralWay({ clock: { timers }, findQuota }: StrategyContext): SimulatedAdmission {
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

/** Ways to share a limit among routers. */
export const STRATEGIES: Record<SharingStrategy, (setting: StrategyContext) => SimulatedAdmission> =
  {
    credits: createCreditsWay,
    evenShares: (setting) => createSharesWay(setting, false),
    demandShares: (setting) => createSharesWay(setting, true),
    reportedUse: createReportedWay,
    central: createCentralWay,
  }

/** Finds the time between two polls of a router, in ms. */
export function findPollIntervalMs({ routers }: FleetSize): number {
  return Math.max(POLL_MS, routers * POLL_PER_ROUTER_MS)
}
