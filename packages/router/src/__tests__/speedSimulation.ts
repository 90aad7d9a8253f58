/** Simulation of a router that distributes prompts over engines of different speeds, in virtual time. */
import { createRandomSource } from '@spoolgate/core'

/** Time in which an engine runs at a multiple of its time, in ms. */
export interface SlowPeriod {
  readonly engine: number
  readonly from: number
  readonly to: number
  readonly factor: number
  /** Whether a chooser that knows the true speeds knows of it; short noise is not known. */
  readonly isLasting: boolean
}

/** Estimates by which the simulated router chooses. */
export interface RateEstimator {
  record(engine: number, ownTokens: number, aheadTokens: number, ms: number, at: number): void
  findRate(engine: number, now: number): number
}

/** A prompt of the simulation. */
export interface SimulatedPrompt {
  readonly engine: number
  readonly sentAt: number
  readonly waitMs: number
  readonly expectedMs: number
}

/** Options of {@link runSpeedSimulation}. */
export interface SpeedSimulationOptions {
  readonly speeds: readonly number[]
  readonly slowPeriods: readonly SlowPeriod[]
  /** Part of the engines' capacity that the prompts use. */
  readonly load: number
  readonly seconds: number
  readonly seed: number
  /**
   * Part of the prompts whose times the router sees.
   * @default 1
   */
  readonly observedRatio?: number
  readonly createEstimator: (options: SpeedSimulationOptions) => RateEstimator
}

/** Prompt tokens that an engine of speed 1 prefills per ms, as customer K's. */
export const TOKENS_PER_MS = 52.4
const LONG_TOKENS = 9_190
const SHORT_TOKENS = 826
/** Smallest part of a prompt that is not cached; the part is drawn between it and 1. */
const MIN_UNCACHED_RATIO = 0.5

interface PendingPrompt extends SimulatedPrompt {
  readonly tokens: number
  readonly aheadTokens: number
}

/** Finds how much longer work takes at an engine at a time, by all periods or only by those that last. */
export function findSlowFactor(
  periods: readonly SlowPeriod[],
  engine: number,
  at: number,
  isLastingOnly = false,
): number {
  return periods
    .filter((period) => period.engine === engine && at >= period.from && at < period.to)
    .filter(({ isLasting }) => isLasting || !isLastingOnly)
    .reduce((product, { factor }) => product * factor, 1)
}

/** Draws noise: periods of 0.6 s in which an engine takes 2.5 times as long. */
export function drawNoise(engines: readonly number[], seconds: number, seed: number): SlowPeriod[] {
  const random = createRandomSource(seed)
  const periods: SlowPeriod[] = []
  for (const engine of engines) {
    let from = random.next() * 6_000
    while (from < seconds * 1_000) {
      periods.push({ engine, from, to: from + 600, factor: 2.5, isLasting: false })
      from += 3_000 + random.next() * 6_000
    }
  }
  return periods
}

/** Runs a simulation; the prompts are returned in order of their sends. */
export function runSpeedSimulation(options: SpeedSimulationOptions): SimulatedPrompt[] {
  const { speeds, slowPeriods, load, seconds, seed } = options
  const estimator = options.createEstimator(options)
  const random = createRandomSource(seed)
  const meanTokens = ((LONG_TOKENS + SHORT_TOKENS) / 2) * ((1 + MIN_UNCACHED_RATIO) / 2)
  const capacity = TOKENS_PER_MS * speeds.reduce((sum, speed) => sum + speed, 0)
  const intervalMs = meanTokens / (load * capacity)
  const observed = createRandomSource(seed + 1)
  const queues: PendingPrompt[][] = speeds.map(() => [])
  const done: SimulatedPrompt[] = []

  const findEnd = (engine: number, start: number, tokens: number): number => {
    let at = start
    for (let left = tokens; left > 0; at += 1) {
      const factor = findSlowFactor(slowPeriods, engine, at)
      left -= (TOKENS_PER_MS * speeds[engine]) / factor
    }
    return at
  }
  const endOf = ({ sentAt, waitMs }: SimulatedPrompt) => sentAt + waitMs
  const finishUntil = (now: number) => {
    const ended = queues.flatMap((queue) => {
      const firstLeft = queue.findIndex((prompt) => endOf(prompt) > now)
      return queue.splice(0, firstLeft === -1 ? queue.length : firstLeft)
    })
    ended.sort((a, b) => endOf(a) - endOf(b))
    for (const prompt of ended) {
      const { engine, tokens, aheadTokens, waitMs } = prompt
      if (observed.next() >= (options.observedRatio ?? 1)) continue
      estimator.record(engine, tokens, aheadTokens, waitMs, endOf(prompt))
    }
  }
  let now = 0
  while (now < seconds * 1_000) {
    now += -Math.log(1 - random.next()) * intervalMs
    finishUntil(now)
    const size = random.next() < 0.5 ? LONG_TOKENS : SHORT_TOKENS
    const tokens = size * (MIN_UNCACHED_RATIO + (1 - MIN_UNCACHED_RATIO) * random.next())
    const choices = queues.map((queue, engine) => {
      const aheadTokens = queue.reduce((sum, prompt) => sum + prompt.tokens, 0)
      const expectedMs = (aheadTokens + tokens) / estimator.findRate(engine, now)
      return { engine, aheadTokens, expectedMs }
    })
    const best = choices.reduce((a, b) => (b.expectedMs < a.expectedMs ? b : a))
    const last = queues[best.engine].at(-1)
    const start = Math.max(now, last ? endOf(last) : now)
    const waitMs = findEnd(best.engine, start, tokens) - now
    const prompt = { ...best, sentAt: now, waitMs, tokens }
    queues[best.engine].push(prompt)
    done.push(prompt)
  }
  return done
}

/** Mean time to the first token, in ms. */
export function findMeanWait(prompts: readonly SimulatedPrompt[]): number {
  return prompts.reduce((sum, { waitMs }) => sum + waitMs, 0) / prompts.length
}
