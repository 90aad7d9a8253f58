/** Logs and metrics that show which engines load weights and which hold expired ones. */
import type { BackendServerId, Logger, Metrics } from '@spoolgate/core'
import type { ServerState } from '../state/serverState.js'
import type { OrderOutcome } from './engineClient.js'
import type { ServerMonitor } from './serverMonitor.js'
import type { WeightsRollout } from './weightsRollout.js'

/** Options of {@link startWeightsReport}. */
export interface WeightsReportOptions {
  readonly servers: ServerState
  readonly monitor: ServerMonitor
  readonly rollout: WeightsRollout
  readonly logger: Logger
  readonly metrics: Metrics
}

/** Creates a counter of load orders by outcome. */
export function createOrderCounter(metrics: Metrics): (outcome: OrderOutcome) => void {
  const counter = metrics.counter('weight_orders', 'Orders to load weights by outcome')
  return (outcome) => counter.add(1, { outcome })
}

/** Starts to report; each server is logged once when its weights expire. */
export function startWeightsReport(options: WeightsReportOptions): void {
  const { servers, monitor, rollout, logger, metrics } = options
  let logged: readonly BackendServerId[] = []

  const logServer = (id: BackendServerId, expired: number) => {
    for (const held of servers.find(id)?.weights ?? []) {
      const ageMs = monitor.findNewerAgeMs(held)
      if (ageMs === undefined) continue
      const newerAgeMs = Math.round(ageMs)
      logger.info('weights.expired', { server: id, ...held, newerAgeMs, expired })
    }
  }
  const logExpired = () => {
    const ids = monitor.listExpired()
    if (ids === logged) return
    const known = new Set(logged)
    logged = ids
    for (const id of ids) if (!known.has(id)) logServer(id, ids.length)
  }
  monitor.changes.subscribe(logExpired)
  metrics.gauge(
    'loading_engines',
    'Engines out of service for a load of weights',
    () => rollout.listLoading().length,
  )
  metrics.gauge(
    'expired_engines',
    'Engines with expired weights',
    () => monitor.listExpired().length,
  )
}
