/**
 * Simulates a team quota in virtual time: routers with uneven traffic, a leader, network delays and faults. The strategy
 * `credits` uses the real quota admission; the others serve as a comparison.
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

/** A temporary fault of some routers. */
export interface SimulatedFault {
  /** `cut` routers cannot reach the leader; `frozen` ones are suspended and then process what has arrived. */
  readonly kind: 'cut' | 'frozen' | 'noLeader' | 'restart'
  readonly atMs: number
  readonly durationMs: number
  /** Number of affected routers, from the first one. */
  readonly routers?: number
}

/** Distribution of requests over routers. */
export type Spread = 'even' | 'few' | 'moving'

/** Options of {@link runQuotaSimulation}. */
export interface QuotaSimulationOptions {
  readonly seed: number
  readonly routers: number
  readonly quota: TeamQuota
  /** Demand as a fraction of the quota's rate. */
  readonly demand: number
  /** Minimum and maximum cost of a request; costs are log-uniformly distributed. */
  readonly costs: readonly [least: number, most: number]
  readonly spread: Spread
  readonly durationMs: number
  readonly faults?: readonly SimulatedFault[]
  /** Period with a different demand, as a fraction of the quota's rate. */
  readonly surge?: { readonly atMs: number; readonly durationMs: number; readonly demand: number }
  readonly quotaChange?: { readonly atMs: number; readonly quota: TeamQuota }
  /** @default credits */
  readonly strategy?: SharingStrategy
}

/** Result of a simulation. */
export interface QuotaSimulationResult {
  /** Maximum cost admitted in any window, as a fraction of rate and burst. */
  readonly maxWindowRatio: number
  /** The same as a fraction of what the tolerance allows. */
  readonly maxToleratedRatio: number
  /** Admitted cost, as a fraction of the rate and one burst. */
  readonly usedRatio: number
  /** Refused cost, as a fraction of the demand. */
  readonly refusedRatio: number
  /** Messages to the leader per second and router. */
  readonly messagesPerS: number
  /** Bytes of reports and grants per second and router. */
  readonly bytesPerS: number
}

const WARM_UP_MS = 1_000
const NETWORK_DELAY_MS = 2
const FIRST_POLL_MS = 100
const MS_PER_S = 1_000
/** Number of routers that receive requests unless the spread is even. */
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

function findMaxWindowCost(
  admitted: readonly { at: number; cost: number }[],
  windowMs: number,
): number {
  let maxWindowCost = 0
  let sum = 0
  let first = 0
  for (const { at, cost } of admitted) {
    sum += cost
    while (admitted[first].at <= at - windowMs) {
      sum -= admitted[first].cost
      first += 1
    }
    maxWindowCost = Math.max(maxWindowCost, sum)
  }
  return maxWindowCost
}

/** Runs one simulation; the same options give the same result. */
export async function runQuotaSimulation(
  options: QuotaSimulationOptions,
): Promise<QuotaSimulationResult> {
  const { seed, routers, durationMs, faults = [], costs, quotaChange } = options
  const random = createRandomSource(seed)
  const clock = createVirtualClock()
  const { at, timers } = clock
  const findQuota = () =>
    quotaChange && timers.now() >= quotaChange.atMs ? quotaChange.quota : options.quota
  const isFaultActive = (kind: SimulatedFault['kind'], router: number) =>
    faults.some((fault) => {
      const isInProgress =
        timers.now() >= fault.atMs && timers.now() < fault.atMs + fault.durationMs
      return fault.kind === kind && isInProgress && router < (fault.routers ?? routers)
    })
  const isReachable = (router: number) =>
    !isFaultActive('noLeader', router) &&
    !isFaultActive('cut', router) &&
    !isFaultActive('frozen', router)
  const strategy = STRATEGIES[options.strategy ?? 'credits']({
    clock,
    options,
    findQuota,
    isReachable,
  })
  for (const { kind, atMs, durationMs: faultMs, routers: affected = routers } of faults) {
    if (kind === 'noLeader') at(atMs + faultMs, strategy.newTerm)
    if (kind !== 'restart') continue
    for (let router = 0; router < affected; router += 1) at(atMs, () => strategy.restart(router))
    at(atMs, strategy.newTerm)
  }
  const poll = (router: number) => {
    strategy.poll(router)
    at(timers.now() + findPollIntervalMs(options) + 2 * NETWORK_DELAY_MS, () => poll(router))
  }
  for (let router = 0; router < routers; router += 1)
    at(1 + random.nextInt(FIRST_POLL_MS), () => poll(router))

  const [minCost, maxCost] = costs
  const drawCost = () => Math.round(minCost * (maxCost / minCost) ** random.next())
  const meanCost = maxCost === minCost ? minCost : (maxCost - minCost) / Math.log(maxCost / minCost)
  const findDemand = () => {
    const { surge } = options
    const isSurging =
      surge && timers.now() >= surge.atMs && timers.now() < surge.atMs + surge.durationMs
    return isSurging ? surge.demand : options.demand
  }
  const findGapMs = () => (meanCost / (options.quota.perSecond * findDemand())) * MS_PER_S
  const admitted: { at: number; cost: number }[] = []
  let demandedCost = 0
  let refusedCost = 0
  const serve = async (router: number, cost: number) => {
    demandedCost += cost
    if (await strategy.admit(router, cost)) admitted.push({ at: timers.now(), cost })
    else refusedCost += cost
  }
  const startCall = (router: number) => {
    const cost = drawCost()
    // A frozen router processes its requests when it resumes.
    const [freeze] = faults.filter(({ kind }) => kind === 'frozen')
    if (freeze && isFaultActive('frozen', router))
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

  const admittedCost = admitted.reduce((sum, { cost }) => sum + cost, 0)
  const { perSecond, burst } = options.quota
  const maxWindowCost = findMaxWindowCost(admitted, TOLERANCE.windowMs)
  const allowedCost = (perSecond * TOLERANCE.windowMs) / MS_PER_S + burst
  const seconds = (WARM_UP_MS + durationMs) / MS_PER_S
  return {
    maxWindowRatio: maxWindowCost / allowedCost,
    maxToleratedRatio: maxWindowCost / (allowedCost * (1 + TOLERANCE.ratio) + TOLERANCE.slack),
    usedRatio: admittedCost / ((perSecond * durationMs) / MS_PER_S + burst),
    refusedRatio: refusedCost / demandedCost,
    messagesPerS: strategy.messages() / seconds / routers,
    bytesPerS: strategy.bytes() / seconds / routers,
  }
}
