/** Remembers load orders that got no response and may still be executed. */
import { removeOldest, type ServerName, type TimerService } from '@spoolgate/core'
import type { RegisteredServer } from '../state/serverState.js'
import type { EngineReport } from './engineClient.js'

/** An order without a response. */
export interface UnconfirmedOrder {
  readonly server: RegisteredServer
  readonly model: string
  /** Number of accepted orders on which the order is conditional. */
  readonly expectedOrders: number
}

/** See {@link createUnconfirmedOrders}. */
export interface UnconfirmedOrders {
  /** Records that an order got no response; it replaces an earlier one to the same engine. */
  add(order: UnconfirmedOrder): void
  /** Finds the last order to an engine that may still be executed. */
  find(server: RegisteredServer): UnconfirmedOrder | undefined
  /** Lists the orders that may still be executed. */
  list(): readonly UnconfirmedOrder[]
  /** Whether an order may still arrive at an engine, with or without an effect. */
  isInTransit(server: ServerName): boolean
  /** Applies a report: the engine executes no order that expects fewer accepted orders than it has. */
  settle(server: RegisteredServer, report: EngineReport): void
}

/** Time after which an order without a response is no longer executed, in ms. */
const LATE_ORDER_MS = 12_000
/** Maximum number of engines remembered: several times the size of a large fleet. */
const MAX_TRACKED_SERVERS = 2_000

interface Entry {
  readonly order: UnconfirmedOrder
  readonly expiresAt: number
  /** Whether the engine can no longer execute the order. */
  isSettled: boolean
}

/** Creates a memory without orders. */
export function createUnconfirmedOrders(timers: TimerService): UnconfirmedOrders {
  // By name: an order in transit reaches whichever incarnation runs when it arrives.
  const entries = new Map<ServerName, Entry>()
  const removeExpired = () => {
    for (const [name, { expiresAt }] of entries) {
      if (expiresAt > timers.now()) return
      entries.delete(name)
    }
  }
  const findEntry = (name: ServerName) => {
    removeExpired()
    return entries.get(name)
  }
  const findOpen = ({ id, name }: RegisteredServer) => {
    const entry = findEntry(name)
    return entry && !entry.isSettled && entry.order.server.id === id ? entry : undefined
  }
  return {
    add: (order) => {
      const { name } = order.server
      entries.delete(name)
      entries.set(name, { order, expiresAt: timers.now() + LATE_ORDER_MS, isSettled: false })
      removeOldest(entries, MAX_TRACKED_SERVERS)
    },
    find: (server) => findOpen(server)?.order,
    list: () => {
      removeExpired()
      return [...entries.values()].filter(({ isSettled }) => !isSettled).map(({ order }) => order)
    },
    isInTransit: (name) => findEntry(name) !== undefined,
    settle: (server, report) => {
      const entry = findOpen(server)
      if (entry && !report.isBusy && report.ordersTaken > entry.order.expectedOrders)
        entry.isSettled = true
    },
  }
}
