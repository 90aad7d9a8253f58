/**
 * Tracks which engines this leader may send orders to. Two instances must not send orders to the same engine within
 * one lease, so a new leader waits for the lease of its predecessor to expire. It waits only for engines that the
 * replicated load marks show as possibly ordered by a previous leader: waiting for all engines stalled a rollout for
 * 3.5 s after each leader change.
 */
import type { ServerName, TimerService } from '@spoolgate/core'
import type { WeightLoadState } from '../state/weightLoadState.js'

/** Options of {@link createOrderLeases}. */
export interface OrderLeasesOptions {
  readonly loads: WeightLoadState
  readonly timers: TimerService
  /** Time for which orders of a previous leader may still take effect, in ms. */
  readonly orderLeaseMs: number
}

/** See {@link createOrderLeases}. */
export interface OrderLeases {
  /** Records that this instance has become leader. */
  startLeading(): void
  /** Records that this leader now sends orders to the engine. */
  acquire(server: ServerName): void
  /** Whether orders of a previous leader to the engine can no longer take effect. */
  isAvailable(server: ServerName): boolean
  close(): void
}

/** Margin on the lease of a previous leader for orders still in transit, in ms. */
const LEASE_MARGIN_MS = 500

/** Creates the leases of an instance that is not the leader yet. */
export function createOrderLeases(options: OrderLeasesOptions): OrderLeases {
  const { loads, timers, orderLeaseMs } = options
  /** When this instance last saw the weight load status of an engine change. */
  const markChangedAt = new Map<ServerName, number>()
  const acquired = new Set<ServerName>()
  let leadingSince = timers.now()

  const recordChange = (server: ServerName) => void markChangedAt.set(server, timers.now())
  for (const [server] of loads.list()) recordChange(server)
  const subscription = loads.changes.subscribe(recordChange)
  /** Latest time at which a previous leader may have sent an order. */
  const findLastOrderAt = (server: ServerName): number => {
    const mark = loads.find(server)
    if (mark === undefined || acquired.has(server)) return -Infinity
    return mark === 'open' ? leadingSince : (markChangedAt.get(server) ?? leadingSince)
  }
  return {
    startLeading: () => {
      leadingSince = timers.now()
      acquired.clear()
    },
    acquire: (server) => void acquired.add(server),
    isAvailable: (server) =>
      timers.now() >= findLastOrderAt(server) + orderLeaseMs + LEASE_MARGIN_MS,
    close: () => subscription.unsubscribe(),
  }
}
