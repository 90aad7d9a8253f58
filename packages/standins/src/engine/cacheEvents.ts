/** Cache events as engines publish them: numbered, late, and with entries that get lost. */
import type { RandomSource, TimerService } from '@spoolgate/core'
import type { CacheChange } from './blockCache.js'

/** One published event. */
export interface CacheEvent extends CacheChange {
  readonly sequence: number
}

/** Options of {@link createCacheEvents}. */
export interface CacheEventsOptions {
  readonly timers: TimerService
  readonly random: RandomSource
  /** Delay from the change to its publication, in ms. */
  readonly delayMs: number
  /** Share of the events that get lost, 0 to 1. */
  readonly lossRatio: number
}

/** The stream of one engine incarnation. */
export interface CacheEvents {
  /** Number of the last change, published or not. */
  lastSequence(): number
  add(change: CacheChange): void
  /** Waits until there are events after `sequence`, or until the wait ends. */
  waitAfter(sequence: number, timeoutMs: number): Promise<readonly CacheEvent[]>
  /** Changes the share of lost events. */
  changeLoss(lossRatio: number): void
  close(): void
}

/** Events kept for readers that fall behind; an older reader sees a gap. */
const MAX_KEPT_EVENTS = 4_096

/** Creates an event stream. */
export function createCacheEvents(options: CacheEventsOptions): CacheEvents {
  const { timers, random, delayMs } = options
  let lossRatio = options.lossRatio
  let last = 0
  let published: CacheEvent[] = []
  let isClosed = false
  const waiters = new Set<() => void>()

  const publish = (event: CacheEvent) => {
    if (isClosed) return
    published.push(event)
    if (published.length > MAX_KEPT_EVENTS) published = published.slice(-MAX_KEPT_EVENTS / 2)
    for (const wake of [...waiters]) wake()
  }
  const listAfter = (sequence: number) => published.filter((event) => event.sequence > sequence)

  return {
    lastSequence: () => last,
    add: (change) => {
      last += 1
      const event = { ...change, sequence: last }
      if (random.next() < lossRatio) return
      timers.after(delayMs).subscribe(() => publish(event))
    },
    waitAfter: (sequence, timeoutMs) =>
      new Promise((resolve) => {
        const found = listAfter(sequence)
        if (found.length > 0 || isClosed) return resolve(found)
        const wake = () => {
          waiters.delete(wake)
          timeout.unsubscribe()
          resolve(listAfter(sequence))
        }
        const timeout = timers.after(timeoutMs).subscribe(wake)
        waiters.add(wake)
      }),
    changeLoss: (ratio) => {
      lossRatio = ratio
    },
    close: () => {
      isClosed = true
      for (const wake of [...waiters]) wake()
    },
  }
}
