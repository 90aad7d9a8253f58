/**
 * Times that requests of a priority wait at the engines after they were sent. A request has to leave the router's queue
 * that much earlier to be on time: in an overload most requests start just before it is too late.
 */

/** See {@link createEngineWaits}. */
export interface EngineWaits {
  /** Records the time from the send of a request to its first event, without the prefill. */
  record(priority: number, waitMs: number): void
  /** Returns the time to allow for the wait of a request with a target, in ms. */
  estimate(priority: number, targetMs: number): number
}

/** Weight of a new sample. */
const SAMPLE_WEIGHT = 0.1
/** Number of mean deviations above the mean that are allowed for. */
const DEVIATIONS = 2
/**
 * Upper bound, as a part of the target. Without it nothing would count as on time after a long wait, and there would be no
 * further samples.
 */
const MAX_TARGET_RATIO = 0.5

/** Creates estimates without samples. */
export function createEngineWaits(): EngineWaits {
  const waits = new Map<number, { meanMs: number; deviationMs: number }>()
  return {
    record: (priority, waitMs) => {
      const known = waits.get(priority) ?? { meanMs: waitMs, deviationMs: 0 }
      const errorMs = waitMs - known.meanMs
      waits.set(priority, {
        meanMs: known.meanMs + errorMs * SAMPLE_WEIGHT,
        deviationMs: known.deviationMs + (Math.abs(errorMs) - known.deviationMs) * SAMPLE_WEIGHT,
      })
    },
    estimate: (priority, targetMs) => {
      const { meanMs, deviationMs } = waits.get(priority) ?? { meanMs: 0, deviationMs: 0 }
      return Math.min(targetMs * MAX_TARGET_RATIO, meanMs + DEVIATIONS * deviationMs)
    },
  }
}
