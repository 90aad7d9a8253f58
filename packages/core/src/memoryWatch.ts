/** Watches the memory of a process against its bounds: V8 ends a process whose heap is exhausted without a log line. */
import { getHeapStatistics } from 'node:v8'
import type { Logger } from './logger.js'
import type { MemoryBudget } from './memoryBudget.js'
import type { TimerService } from './timers.js'

/** Options of {@link startMemoryWatch}. */
export interface MemoryWatchOptions {
  readonly memory: MemoryBudget
  /** Memory that the process may have resident, in bytes. */
  readonly limitBytes: number
  readonly logger: Pick<Logger, 'warn'>
  readonly timers: Pick<TimerService, 'every'>
  /** @default those of this process */
  readonly readUse?: () => MemoryUse
}

/** Memory of a process, in bytes. */
export interface MemoryUse {
  readonly heapBytes: number
  readonly heapLimitBytes: number
  readonly residentBytes: number
}

/** Interval between two looks, in ms. */
const CHECK_MS = 500
/** Part of a bound from which it counts as near. */
const NEAR_RATIO = 0.85

function readProcessUse(): MemoryUse {
  const { used_heap_size: heapBytes, heap_size_limit: heapLimitBytes } = getHeapStatistics()
  return { heapBytes, heapLimitBytes, residentBytes: process.memoryUsage.rss() }
}

/** Logs each time that the use of memory comes near a bound. */
export function startMemoryWatch(options: MemoryWatchOptions): { close(): void } {
  const { memory, limitBytes, logger, timers, readUse = readProcessUse } = options
  let isNear = false
  const check = () => {
    const use = readUse()
    const { heapBytes, heapLimitBytes, residentBytes } = use
    const wasNear = isNear
    isNear = heapBytes >= heapLimitBytes * NEAR_RATIO || residentBytes >= limitBytes * NEAR_RATIO
    if (!isNear || wasNear) return
    logger.warn('memory.nearLimit', {
      ...use,
      limitBytes,
      heldBytes: memory.usedBytes(),
      heapHeldBytes: memory.heap.usedBytes(),
      remedy: 'see the metrics on what is held; send less at a time, or raise the limit',
    })
  }
  const subscription = timers.every(CHECK_MS).subscribe(check)
  return { close: () => subscription.unsubscribe() }
}
