/** Demand of each priority band, as engine time that its accepted requests need per ms. */

/** See {@link createBandDemand}. */
export interface BandDemand {
  record(band: number, workMs: number, now: number): void
  /** Engine time that the bands before `band` need per ms. */
  findDemandBefore(band: number, now: number): number
}

/**
 * Time constant of the average, in ms. A burst of seconds must show within the target of a request; a shorter time would
 * follow the random gaps between the requests of one router.
 */
const AVERAGE_MS = 500

/** Creates an average without samples. */
export function createBandDemand(): BandDemand {
  const bands = new Map<number, { workMs: number; at: number }>()
  const findWork = ({ workMs, at }: { workMs: number; at: number }, now: number) =>
    workMs * Math.exp((at - now) / AVERAGE_MS)
  return {
    record: (band, workMs, now) => {
      const known = bands.get(band)
      bands.set(band, { workMs: (known ? findWork(known, now) : 0) + workMs, at: now })
    },
    findDemandBefore: (limit, now) => {
      let workMs = 0
      for (const [band, sample] of bands) if (band < limit) workMs += findWork(sample, now)
      return workMs / AVERAGE_MS
    },
  }
}
