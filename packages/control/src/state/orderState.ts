/**
 * Replicated orders to backend servers. The log index of an order is its fencing number, so that no later leader can
 * issue the same number or a lower one. Each weight load occupies one of a limited number of slots.
 */
import type { BackendServerId } from '@spoolgate/core'

/** Action that a backend server can be ordered to perform. */
export type OrderAction = 'loadWeights' | 'loadAdapter' | 'changeRole'

/** Issues an order. */
export interface IssueOrder {
  readonly kind: 'order.issue'
  readonly server: BackendServerId
  readonly action: OrderAction
  readonly value: string
  readonly at: number
}

/** Records the outcome of an order. */
export interface FinishOrder {
  readonly kind: 'order.finish'
  readonly server: BackendServerId
  readonly fencing: number
  readonly outcome: 'done' | 'failed'
  readonly at: number
}

/** An order with its fencing number. */
export interface Order {
  readonly server: BackendServerId
  readonly action: OrderAction
  readonly value: string
  readonly fencing: number
  readonly at: number
}

/** Result of {@link IssueOrder}. */
export type IssueOrderResult =
  | { readonly kind: 'issued'; readonly order: Order }
  | { readonly kind: 'noSlot'; readonly held: readonly BackendServerId[] }

/** State as stored in a snapshot. */
export interface SavedOrders {
  readonly open: readonly Order[]
  readonly highest: readonly (readonly [BackendServerId, number])[]
}

/** Open orders, and the highest fencing number of each backend server. */
export interface OrderState {
  issue(command: IssueOrder, index: number): IssueOrderResult
  finish(command: FinishOrder): { readonly isKnown: boolean }
  /** Highest fencing number issued to a backend server; 0 before the first order. */
  findHighestFencing(server: BackendServerId): number
  open(): readonly Order[]
  save(): SavedOrders
  load(saved: SavedOrders): void
}

/** Maximum number of concurrent weight loads; with more, the platform slows down. */
export const MAX_CONCURRENT_WEIGHT_LOADS = 2

/** Creates a state without orders. */
export function createOrderState(): OrderState {
  /** Open order of each backend server; a newer order replaces it. */
  const openOrders = new Map<BackendServerId, Order>()
  const highestFencing = new Map<BackendServerId, number>()
  const listLoading = (except: BackendServerId) =>
    [...openOrders.values()]
      .filter((order) => order.action === 'loadWeights' && order.server !== except)
      .map(({ server }) => server)

  return {
    issue: ({ server, action, value, at }, index) => {
      const held = listLoading(server)
      if (action === 'loadWeights' && held.length >= MAX_CONCURRENT_WEIGHT_LOADS)
        return { kind: 'noSlot', held }
      const order: Order = { server, action, value, fencing: index, at }
      openOrders.set(server, order)
      highestFencing.set(server, index)
      return { kind: 'issued', order }
    },
    finish: ({ server, fencing }) => {
      if (openOrders.get(server)?.fencing !== fencing) return { isKnown: false }
      openOrders.delete(server)
      return { isKnown: true }
    },
    findHighestFencing: (server) => highestFencing.get(server) ?? 0,
    open: () => [...openOrders.values()],
    save: () => ({ open: [...openOrders.values()], highest: [...highestFencing] }),
    load: (saved) => {
      openOrders.clear()
      for (const order of saved.open) openOrders.set(order.server, order)
      highestFencing.clear()
      for (const [server, fencing] of saved.highest) highestFencing.set(server, fencing)
    },
  }
}
