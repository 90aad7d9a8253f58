/** Rates at which admission refuses requests, by priority band. */
import type { TimerService } from '@spoolgate/core'

/** See {@link createRefusalRates}. */
export interface RefusalRates {
  record(band: number): void
  /** Lists refusals per second of each band with recent ones, the most urgent band first. */
  listPerSecond(): readonly (readonly [band: number, perSecond: number])[]
}

/** Time constant of the average, in ms; several reports of a router to the leader. */
const AVERAGING_TIME_MS = 2_000
/** Rate below which a band counts as having no recent refusals, per second. */
const MIN_PER_SECOND = 0.05
const MS_PER_S = 1_000

/** Creates rates without refusals. */
export function createRefusalRates(timers: Pick<TimerService, 'now'>): RefusalRates {
  const rates = new Map<number, { perSecond: number; at: number }>()
  const decay = (band: number) => {
    const now = timers.now()
    const rate = rates.get(band) ?? { perSecond: 0, at: now }
    rate.perSecond *= Math.exp(-(now - rate.at) / AVERAGING_TIME_MS)
    rate.at = now
    return rate
  }
  return {
    record: (band) => {
      const rate = decay(band)
      rate.perSecond += MS_PER_S / AVERAGING_TIME_MS
      rates.set(band, rate)
    },
    listPerSecond: () => {
      const listed: [number, number][] = []
      for (const band of rates.keys()) {
        const { perSecond } = decay(band)
        if (perSecond < MIN_PER_SECOND) rates.delete(band)
        else listed.push([band, perSecond])
      }
      return listed.sort(([a], [b]) => a - b)
    },
  }
}
