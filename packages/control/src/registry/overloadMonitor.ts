/** Measures the event loop delay of a control instance, and decides when it is overloaded. */
import type { Logger, TimerService } from '@spoolgate/core'

/** Decides from event loop delays whether an instance is overloaded. */
export interface OverloadDetector {
  /** Records a delay; returns whether the state changed. */
  record(delayMs: number, now: number): boolean
  isOverloaded(): boolean
  /** Highest delay since the instance became overloaded, in ms; 0 when it is not. */
  maxDelayMs(): number
}

/** Event loop delay above which an instance is overloaded, in ms: the interval of the leader's Raft heartbeats. */
export const OVERLOAD_DELAY_MS = 100
/** Time without such a delay after which an instance has recovered, in ms. */
const RECOVERY_MS = 1_000
/** Interval between measurements, in ms. */
const MEASURE_PERIOD_MS = 50

/** Creates a detector that is not overloaded. */
export function createOverloadDetector(): OverloadDetector {
  let overloadedAt: number | undefined
  let maxDelayMs = 0
  return {
    isOverloaded: () => overloadedAt !== undefined,
    maxDelayMs: () => maxDelayMs,
    record: (delayMs, now) => {
      const before = overloadedAt !== undefined
      if (delayMs > OVERLOAD_DELAY_MS) {
        overloadedAt = now
        maxDelayMs = Math.max(maxDelayMs, delayMs)
      } else if (overloadedAt !== undefined && now - overloadedAt >= RECOVERY_MS) {
        overloadedAt = undefined
        maxDelayMs = 0
      }
      return before !== (overloadedAt !== undefined)
    },
  }
}

/** Options of {@link createOverloadMonitor}. */
export interface OverloadMonitorOptions {
  readonly timers: TimerService
  readonly logger: Logger
}

/** See {@link createOverloadMonitor}. */
export interface OverloadMonitor {
  isOverloaded(): boolean
  close(): void
}

/** Creates the monitor and starts measuring. */
export function createOverloadMonitor({ timers, logger }: OverloadMonitorOptions): OverloadMonitor {
  const detector = createOverloadDetector()
  let measuredAt = timers.now()
  const measure = () => {
    const now = timers.now()
    const delayMs = now - measuredAt - MEASURE_PERIOD_MS
    measuredAt = now
    const worstMs = Math.round(Math.max(delayMs, detector.maxDelayMs()))
    if (!detector.record(delayMs, now)) return
    if (detector.isOverloaded()) logger.warn('control.overloaded', { delayMs: worstMs })
    else logger.info('control.recovered', { delayMs: worstMs })
  }
  const subscription = timers.every(MEASURE_PERIOD_MS).subscribe(measure)
  return {
    isOverloaded: detector.isOverloaded,
    close: () => subscription.unsubscribe(),
  }
}
