/**
 * Which engines this leader may give orders to. Two instances must not give orders to one engine by
 * turns within a lease; so a new leader waits, but only at engines to which the one before it may
 * have given orders, as the replicated marks of loads say. Waiting at all engines kept a rollout
 * still for 3.5 s after each change of leader.
 */
import type { ServerName, TimerService } from '@spoolgate/core'
import type { LoadState } from '../state/loadState.js'

/** Options of {@link createOrderLeases}. */
export interface OrderLeasesOptions {
  readonly loads: LoadState
  readonly timers: TimerService
  /** Time for which the orders of an earlier leader may still count, in ms. */
  readonly orderLeaseMs: number
}

/** The turns; see {@link createOrderLeases}. */
export interface OrderLeases {
  /** Notes that this instance leads from now on. */
  startLeading(): void
  /** Notes that the engine gets orders from this leader from now on. */
  take(server: ServerName): void
  /** Whether the orders of an earlier leader to the engine no longer count. */
  isFree(server: ServerName): boolean
  close(): void
}

/** Added to the lease of an earlier leader, for orders that were still on their way, in ms. */
const LEASE_MARGIN_MS = 500

/** Creates the turns of an instance that does not lead. */
export function createOrderLeases(options: OrderLeasesOptions): OrderLeases {
  const { loads, timers, orderLeaseMs } = options
  /** When this instance saw the mark of an engine change. */
  const seenAt = new Map<ServerName, number>()
  const taken = new Set<ServerName>()
  let leadingSince = timers.now()

  const noteChange = (server: ServerName) => void seenAt.set(server, timers.now())
  for (const [server] of loads.list()) noteChange(server)
  const watch = loads.changes.subscribe(noteChange)
  /** When the last order of an earlier leader may have been sent. */
  const findLastOrderAt = (server: ServerName): number => {
    const mark = loads.find(server)
    if (mark === undefined || taken.has(server)) return -Infinity
    return mark === 'open' ? leadingSince : (seenAt.get(server) ?? leadingSince)
  }
  return {
    startLeading: () => {
      leadingSince = timers.now()
      taken.clear()
    },
    take: (server) => void taken.add(server),
    isFree: (server) => timers.now() >= findLastOrderAt(server) + orderLeaseMs + LEASE_MARGIN_MS,
    close: () => watch.unsubscribe(),
  }
}
