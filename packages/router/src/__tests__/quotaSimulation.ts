/**
 * A team with a limit in virtual time: routers that callers reach unevenly, a leader, delays, and what fails. Admission is the product's own
 * in the way `credits`; the other ways are what it is compared with.
 */
import { createRandomSource, type RandomSource } from '@spoolgate/core'
import type { TeamQuota } from '@spoolgate/routing'
import {
  createVirtualClock,
  findPollIntervalMs,
  TOLERANCE,
  STRATEGIES,
  type SharingStrategy,
} from './quotaStrategies.js'

/** What happens to a part of the fleet for some time. */
export interface SimulatedFault {
  /** `cut` routers serve without reaching the leader; `frozen` ones stand still, and go on with what has arrived. */
  readonly kind: 'cut' | 'frozen' | 'noLeader' | 'restart'
  readonly atMs: number
  readonly durationMs: number
  /** Routers that it hits, from the first on. */
  readonly routers?: number
}

/** How callers are spread over routers. */
export type Spread = 'even' | 'few' | 'moving'

/** Options of {@link runQuotaSimulation}. */
export interface QuotaSimulationOptions {
  readonly seed: number
  readonly routers: number
  readonly quota: TeamQuota
  /** Demand as a part of the limit's rate. */
  readonly demand: number
  /** Smallest and largest cost of a request; logarithms are spread evenly. */
  readonly costs: readonly [least: number, most: number]
  readonly spread: Spread
  readonly durationMs: number
  readonly faults?: readonly SimulatedFault[]
  /** Time in which the demand is another part of the limit's rate. */
  readonly surge?: { readonly atMs: number; readonly durationMs: number; readonly demand: number }
  readonly quotaChange?: { readonly atMs: number; readonly quota: TeamQuota }
  /** @default credits */
  readonly strategy?: SharingStrategy
}

/** What was observed. */
export interface QuotaSimulationResult {
  /** Most that ran in any window, as a part of rate and burst. */
  readonly maxWindowRatio: number
  /** The same as a part of what the tolerance allows. */
  readonly maxToleratedRatio: number
  /** Cost that ran, as a part of what the rate and one burst allow. */
  readonly usedRatio: number
  /** Cost that was refused, as a part of the demand. */
  readonly refusedRatio: number
  /** Messages to the leader a second and router. */
  readonly messagesPerS: number
  /** Bytes of reports and grants a second and router. */
  readonly bytesPerS: number
}

const WARM_UP_MS = 1_000
const DELAY_MS = 2
const FIRST_POLL_MS = 100
const MS_PER_S = 1_000
/** Routers that callers reach where they are spread over few. */
const FEW_ROUTERS = 3

function drawRouter(
  { routers, spread }: QuotaSimulationOptions,
  now: number,
  random: RandomSource,
) {
  if (spread === 'even') return random.nextInt(routers)
  const few = Math.min(FEW_ROUTERS, routers)
  const first = spread === 'moving' ? Math.floor(now / MS_PER_S) * few : 0
  return (first + random.nextInt(few)) % routers
}

function findWorst(runs: readonly { at: number; cost: number }[], windowMs: number): number {
  let worst = 0
  let sum = 0
  let first = 0
  for (const { at, cost } of runs) {
    sum += cost
    while (runs[first].at <= at - windowMs) {
      sum -= runs[first].cost
      first += 1
    }
    worst = Math.max(worst, sum)
  }
  return worst
}

/** Runs one simulation; the same options give the same figures. */
export async function runQuotaSimulation(
  options: QuotaSimulationOptions,
): Promise<QuotaSimulationResult> {
  const { seed, routers, durationMs, faults = [], costs, quotaChange } = options
  const random = createRandomSource(seed)
  const clock = createVirtualClock()
  const { at, timers } = clock
  const findQuota = () =>
    quotaChange && timers.now() >= quotaChange.atMs ? quotaChange.quota : options.quota
  const isHit = (kind: SimulatedFault['kind'], router: number) =>
    faults.some((fault) => {
      const isNow = timers.now() >= fault.atMs && timers.now() < fault.atMs + fault.durationMs
      return fault.kind === kind && isNow && router < (fault.routers ?? routers)
    })
  const isReachable = (router: number) =>
    !isHit('noLeader', router) && !isHit('cut', router) && !isHit('frozen', router)
  const strategy = STRATEGIES[options.strategy ?? 'credits']({
    clock: clock,
    options,
    findQuota,
    isReachable,
  })
  for (const { kind, atMs, durationMs: faultMs, routers: hit = routers } of faults) {
    if (kind === 'noLeader') at(atMs + faultMs, strategy.newTerm)
    if (kind !== 'restart') continue
    for (let router = 0; router < hit; router += 1) at(atMs, () => strategy.restart(router))
    at(atMs, strategy.newTerm)
  }
  const poll = (router: number) => {
    strategy.poll(router)
    at(timers.now() + findPollIntervalMs(options) + 2 * DELAY_MS, () => poll(router))
  }
  for (let router = 0; router < routers; router += 1)
    at(1 + random.nextInt(FIRST_POLL_MS), () => poll(router))

  const [least, most] = costs
  const drawCost = () => Math.round(least * (most / least) ** random.next())
  const meanCost = most === least ? least : (most - least) / Math.log(most / least)
  const findDemand = () => {
    const { surge } = options
    const isSurge =
      surge && timers.now() >= surge.atMs && timers.now() < surge.atMs + surge.durationMs
    return isSurge ? surge.demand : options.demand
  }
  const findGapMs = () => (meanCost / (options.quota.perSecond * findDemand())) * MS_PER_S
  const runs: { at: number; cost: number }[] = []
  let asked = 0
  let refused = 0
  const serve = async (router: number, cost: number) => {
    asked += cost
    if (await strategy.admit(router, cost)) runs.push({ at: timers.now(), cost })
    else refused += cost
  }
  const startCall = (router: number) => {
    const cost = drawCost()
    // A frozen router takes what arrived once it wakes.
    const [freeze] = faults.filter(({ kind }) => kind === 'frozen')
    if (freeze && isHit('frozen', router))
      at(freeze.atMs + freeze.durationMs, () => void serve(router, cost))
    else void serve(router, cost)
  }
  const arrive = (due: number) => {
    startCall(drawRouter(options, timers.now(), random))
    const next = due - findGapMs() * Math.log(1 - random.next())
    at(next, () => arrive(next))
  }
  at(WARM_UP_MS, () => arrive(WARM_UP_MS))
  await clock.run(WARM_UP_MS + durationMs)

  const ran = runs.reduce((sum, { cost }) => sum + cost, 0)
  const { perSecond, burst } = options.quota
  const worst = findWorst(runs, TOLERANCE.windowMs)
  const inWindow = (perSecond * TOLERANCE.windowMs) / MS_PER_S + burst
  const seconds = (WARM_UP_MS + durationMs) / MS_PER_S
  return {
    maxWindowRatio: worst / inWindow,
    maxToleratedRatio: worst / (inWindow * (1 + TOLERANCE.ratio) + TOLERANCE.slack),
    usedRatio: ran / ((perSecond * durationMs) / MS_PER_S + burst),
    refusedRatio: refused / asked,
    messagesPerS: strategy.messages() / seconds / routers,
    bytesPerS: strategy.bytes() / seconds / routers,
  }
}
