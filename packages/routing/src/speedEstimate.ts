/**
 * Estimates the speed of one server relative to its group from timed work. A slow average follows the samples; samples
 * far from the estimate are clipped, so that short noise barely moves it. A series of such samples over a second shows
 * a lasting change, and the estimate then moves to their average.
 */

/** Timed work of a server. */
export interface SpeedSample {
  /** Time that the work took, divided by the time that it takes at the group's speed. */
  readonly slowness: number
  /** Amount of work that the sample stands for, in prompt tokens. */
  readonly weight: number
  /** When the work ended, in ms of the monotonic clock. */
  readonly at: number
}

/** See {@link createSpeedEstimate}. */
export interface SpeedEstimate {
  record(sample: SpeedSample): void
  /** Replaces the evidence by a figure that includes it, from all observers, with the weight of theirs. */
  adopt(slowness: number, weight: number): void
  /** Finds the time of work at this server divided by the time at the group's speed. */
  findSlowness(now: number): number
  /** Weight of the evidence that still counts, in prompt tokens. */
  findWeight(now: number): number
  /** When the last sample ended; -Infinity before the first. */
  lastAt(): number
}

/**
 * Ratio to the estimate beyond which a sample deviates; smaller differences are followed by the slow average. Waits
 * behind calls of other routers that are not known yet make samples up to twice as long.
 */
const CHANGE_RATIO = 2
/** Ratio to the slow average to which samples are clipped, so that repeated noise of 0.6 s barely moves it. */
const CLIP_RATIO = 1.75
/** Time over which samples must deviate in the same direction to count as a lasting change, in ms. */
const CHANGE_EVIDENCE_MS = 1_000
/** Minimum number of deviating samples that show a lasting change. */
const MIN_CHANGE_SAMPLES = 3
/** Number of consecutive samples near the estimate that end a series; one of them may be chance. */
const SERIES_END_SAMPLES = 2
/** Weight of the group's figure, in prompt tokens: about one long prompt. */
const PRIOR_WEIGHT = 8_000
/** Time constant of the slow average, in ms. */
const AVERAGING_MS = 20_000
/** Weight of a new sample in the figure of a lasting change. */
const CHANGE_SAMPLE_WEIGHT = 0.25
/** Time without a confirming sample after which a change starts to be forgotten, in ms. */
const CHANGE_HOLD_MS = 1_000
/**
 * Time constant with which an unconfirmed change is forgotten, in ms. A server that gets no requests gives no samples;
 * after 3 s without any, most of the change is forgotten, so that requests show whether it has ended.
 */
const CHANGE_DECAY_MS = 1_000
/** Time without a confirming sample after which a change is dropped, in ms. */
const CHANGE_EXPIRY_MS = 10_000

/** A lasting change of the speed, in force beside the slow average. */
interface SpeedChange {
  slowness: number
  /** Time of the last sample that confirmed it. */
  confirmedAt: number
}

/** Consecutive samples that deviate from the estimate in the same direction. */
interface DeviationSeries {
  readonly isSlower: boolean
  readonly startedAt: number
  count: number
  weight: number
  weightedSlowness: number
  nearSamples: number
}

function toClipped(value: number, center: number): number {
  return Math.min(center * CLIP_RATIO, Math.max(center / CLIP_RATIO, value))
}

function isNear(a: number, b: number): boolean {
  return a <= b * CHANGE_RATIO && b <= a * CHANGE_RATIO
}

/** Creates an estimate at the group's speed. */
export function createSpeedEstimate(): SpeedEstimate {
  let prior = { slowness: 1, weight: PRIOR_WEIGHT }
  let mean = 1
  let weight = 0
  let lastAt = -Infinity
  let change: SpeedChange | undefined
  let series: DeviationSeries | undefined

  const findWeight = (now: number) => weight * Math.exp(-Math.max(0, now - lastAt) / AVERAGING_MS)
  /** Finds the slow average, shrunk towards the group's figure or the adopted one. */
  const findAverage = (now: number) => {
    const current = weight === 0 ? 0 : findWeight(now)
    return (prior.weight * prior.slowness + current * mean) / (prior.weight + current)
  }
  const addToAverage = (slowness: number, sample: SpeedSample) => {
    const current = weight === 0 ? 0 : findWeight(sample.at)
    weight = current + sample.weight
    mean = (current * mean + sample.weight * slowness) / weight
  }
  const confirmChange = ({ slowness, at }: SpeedSample) => {
    if (!change || !isNear(slowness, change.slowness)) return
    change.slowness += CHANGE_SAMPLE_WEIGHT * (slowness - change.slowness)
    change.confirmedAt = at
    if (isNear(findAverage(at), change.slowness)) change = undefined
  }
  /** Adds a deviating sample to its series; a complete series becomes the change in force. */
  const extendSeries = (sample: SpeedSample, isSlower: boolean) => {
    if (series?.isSlower !== isSlower) {
      const { at } = sample
      series = { isSlower, startedAt: at, count: 0, weight: 0, weightedSlowness: 0, nearSamples: 0 }
    }
    series.count += 1
    series.weight += sample.weight
    series.weightedSlowness += sample.weight * sample.slowness
    series.nearSamples = 0
    const isLasting = sample.at - series.startedAt >= CHANGE_EVIDENCE_MS
    if (!isLasting || series.count < MIN_CHANGE_SAMPLES) return
    const slowness = series.weightedSlowness / series.weight
    if (isNear(slowness, findAverage(sample.at))) {
      // The change is over; its samples must not keep the average up.
      change = undefined
      mean = slowness
      weight = series.weight
    } else change = { slowness, confirmedAt: sample.at }
    series = undefined
  }
  const updateSeries = (sample: SpeedSample, estimate: number) => {
    if (!isNear(sample.slowness, estimate)) return extendSeries(sample, sample.slowness > estimate)
    if (!series) return
    series.nearSamples += 1
    if (series.nearSamples >= SERIES_END_SAMPLES) series = undefined
  }
  return {
    record: (sample) => {
      if (change && sample.at - change.confirmedAt > CHANGE_EXPIRY_MS) change = undefined
      const average = findAverage(sample.at)
      addToAverage(toClipped(sample.slowness, average), sample)
      lastAt = Math.max(lastAt, sample.at)
      updateSeries(sample, change?.slowness ?? average)
      confirmChange(sample)
    },
    adopt: (slowness, adoptedWeight) => {
      prior = { slowness, weight: Math.max(PRIOR_WEIGHT, adoptedWeight) }
      weight = 0
      change = undefined
      series = undefined
    },
    findSlowness: (now) => {
      const average = findAverage(now)
      if (!change) return average
      const silentMs = Math.max(0, now - change.confirmedAt - CHANGE_HOLD_MS)
      return average * (change.slowness / average) ** Math.exp(-silentMs / CHANGE_DECAY_MS)
    },
    findWeight: (now) => (weight === 0 ? 0 : findWeight(now)),
    lastAt: () => lastAt,
  }
}
