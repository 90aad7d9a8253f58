/** Polls engines with an unconfirmed order at a bounded rate over all engines, to notice late loads. */
import {
  removeOldest,
  toSpoolgateError,
  type BackendServerId,
  type Logger,
  type TimerService,
} from '@spoolgate/core'
import type { EngineClient, EngineReport } from './engineClient.js'
import type { UnconfirmedOrder, UnconfirmedOrders } from './unconfirmedOrders.js'

/** Options of {@link createUnconfirmedWatch}. */
export interface UnconfirmedWatchOptions {
  readonly orders: UnconfirmedOrders
  readonly engineClient: EngineClient
  readonly timers: TimerService
  readonly logger: Logger
  /** Whether to poll an engine. */
  readonly isWatched: (id: BackendServerId) => boolean
  readonly handleReport: (order: UnconfirmedOrder, report: EngineReport) => Promise<void>
}

/** See {@link createUnconfirmedWatch}. */
export interface UnconfirmedWatch {
  /** Starts the polls that are due; called periodically. */
  poll(): void
}

/** Minimum time between two polls of an engine, in ms: a load takes 0.8 s. */
const POLL_PERIOD_MS = 200
/** Maximum number of polls started in one pass, which bounds their rate over all engines. */
const MAX_POLLS_PER_PASS = 8
/** Maximum number of engines whose last poll is remembered. */
const MAX_TRACKED_SERVERS = 2_000

/** Creates a watch that polls only when called. */
export function createUnconfirmedWatch(options: UnconfirmedWatchOptions): UnconfirmedWatch {
  const { orders, engineClient, timers, logger } = options
  const polledAt = new Map<BackendServerId, number>()
  const inFlight = new Set<BackendServerId>()

  const findPolledAt = ({ server }: UnconfirmedOrder) => polledAt.get(server.id) ?? -Infinity
  const pollEngine = async (order: UnconfirmedOrder) => {
    const { server, model } = order
    const { id } = server
    polledAt.delete(id)
    polledAt.set(id, timers.now())
    removeOldest(polledAt, MAX_TRACKED_SERVERS)
    inFlight.add(id)
    try {
      await options.handleReport(order, await engineClient.fetchReport(server, model))
    } catch (cause) {
      logger.debug('weights.pollFailed', { server: id, reason: toSpoolgateError(cause).message })
    }
    inFlight.delete(id)
  }
  return {
    poll: () => {
      const dueBefore = timers.now() - POLL_PERIOD_MS
      const due = orders.list().filter((order) => {
        const { id } = order.server
        return !inFlight.has(id) && findPolledAt(order) <= dueBefore && options.isWatched(id)
      })
      due.sort((a, b) => findPolledAt(a) - findPolledAt(b))
      for (const order of due.slice(0, MAX_POLLS_PER_PASS)) void pollEngine(order)
    },
  }
}
