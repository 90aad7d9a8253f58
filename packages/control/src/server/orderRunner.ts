/**
 * Executes orders and reconciles the fleet with its configuration, on the leader only. Each period it queries
 * a bounded number of sidecars, compares the last reported statuses with the configuration, issues no more orders than
 * there are free slots, and backs off from backend servers whose orders failed.
 */
import type { BackendServer, Fleet } from '@spoolgate/config'
import {
  ConnectionError,
  type BackendServerId,
  type HttpClient,
  type Logger,
  type TimerService,
  waitFor,
} from '@spoolgate/core'
import type { RaftMember } from '../raft/types.js'
import type { ControlStateMachine } from '../state/controlMachine.js'
import type { IssueOrderResult, Order } from '../state/orderState.js'

/** Options of {@link createOrderRunner}. */
export interface OrderRunnerOptions {
  readonly member: RaftMember
  readonly machine: ControlStateMachine
  readonly client: HttpClient
  readonly timers: TimerService
  readonly logger: Logger
  readonly findFleet: () => Fleet | undefined
  /**
   * Time between two checks of the fleet, in ms.
   * @default 1000
   */
  readonly periodMs?: number
}

/** Running repair task. */
export interface OrderRunner {
  close(): Promise<void>
}

/** Status that a sidecar reports for its backend server. */
interface SidecarStatus {
  readonly isLeaving: boolean
  readonly backend: { readonly isReady: boolean; readonly weightsVersion: string }
}

interface Backoff {
  failures: number
  until: number
}

const DEFAULT_PERIOD_MS = 1_000
const STATUS_TIMEOUT_MS = 1_000
const ORDER_TIMEOUT_MS = 600_000
/** Consecutive status queries without a response after which the outcome of a sidecar's open order counts as unknown. */
const MAX_UNANSWERED_QUERIES = 5
const INITIAL_BACKOFF_MS = 2_000
const MAX_BACKOFF_MS = 120_000
/** Sidecars queried per period. */
const STATUS_BATCH_SIZE = 4
/** Maximum share of a model's engines that repair may take out of service at once. */
const MAX_UNAVAILABLE_RATIO = 0.34

/** Starts the repair task of a control instance; it is idle while the instance is not the leader. */
export function createOrderRunner(options: OrderRunnerOptions): OrderRunner {
  const { member, machine, client, timers, logger } = options
  const periodMs = options.periodMs ?? DEFAULT_PERIOD_MS
  const stopping = new AbortController()
  const backoffs = new Map<BackendServerId, Backoff>()
  /** Orders in progress on this instance, by fencing number. */
  const running = new Map<number, Promise<void>>()

  /** Last status of each sidecar; undefined when it did not answer. */
  const statuses = new Map<BackendServerId, SidecarStatus | undefined>()
  let nextIndex = 0

  const isLeading = () => {
    const { role, hasLease } = member.status()
    return role === 'leader' && hasLease
  }
  const recordFailure = (server: BackendServerId) => {
    const backoff = backoffs.get(server) ?? { failures: 0, until: 0 }
    backoff.until =
      timers.now() + Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** backoff.failures)
    backoff.failures += 1
    backoffs.set(server, backoff)
  }
  const querySidecar = (server: BackendServer, signal?: AbortSignal) =>
    client.sendJson<SidecarStatus>({
      method: 'GET',
      url: `${server.sidecarUrl}/status`,
      timeoutMs: STATUS_TIMEOUT_MS,
      signal,
    })
  /** Whether a sidecar responds at all; an error response is one too. */
  const isResponding = (server: BackendServer, signal: AbortSignal): Promise<boolean> =>
    querySidecar(server, signal).then(
      () => true,
      (cause) => !(cause instanceof ConnectionError),
    )
  /** Watches the sidecar of an open order; aborts the order once the sidecar has stopped responding. */
  const watchSidecar = async (order: Order, server: BackendServer, open: AbortController) => {
    const signal = AbortSignal.any([open.signal, stopping.signal])
    let unanswered = 0
    while (unanswered < MAX_UNANSWERED_QUERIES) {
      await waitFor(timers, periodMs, signal)
      const hasResponded = signal.aborted || (await isResponding(server, signal))
      if (signal.aborted) return
      unanswered = hasResponded ? 0 : unanswered + 1
    }
    logger.warn('order.abandoned', { server: server.id, fencing: order.fencing, unanswered })
    open.abort()
  }
  const sendOrder = async (order: Order, server: BackendServer) => {
    const open = new AbortController()
    const url = `${server.sidecarUrl}/orders`
    const request = { method: 'POST', url, json: order, timeoutMs: ORDER_TIMEOUT_MS }
    const watch = watchSidecar(order, server, open)
    try {
      await client.sendJson({ ...request, signal: open.signal })
    } finally {
      open.abort()
      await watch
    }
  }
  const finishOrder = async (order: Order, outcome: 'done' | 'failed') => {
    const { server, fencing, action, value } = order
    logger.info('order.finished', { server, action, value, fencing, outcome })
    const at = timers.wallNow()
    await member
      .propose({ kind: 'order.finish', server, fencing, outcome, at })
      .catch(() => logger.warn('order.unrecorded', { server, fencing }))
  }
  const runOrder = async (order: Order, server: BackendServer | undefined) => {
    if (!server) return finishOrder(order, 'failed')
    const { fencing } = order
    let outcome: 'done' | 'failed' = 'done'
    try {
      await sendOrder(order, server)
      backoffs.delete(server.id)
      statuses.delete(server.id)
    } catch (cause) {
      outcome = 'failed'
      recordFailure(server.id)
      logger.warn('order.failed', { server: server.id, fencing, reason: String(cause) })
    }
    await finishOrder(order, outcome)
  }
  const startOrder = (order: Order, server: BackendServer | undefined) => {
    if (running.has(order.fencing)) return
    const work = runOrder(order, server).finally(() => running.delete(order.fencing))
    running.set(order.fencing, work)
  }
  /** Resumes open orders of an earlier leader; those to backend servers that were removed are finished as failed. */
  const resumeOpenOrders = (fleet: Fleet) => {
    for (const order of machine.orders.open())
      startOrder(order, fleet.backendServers.get(order.server))
  }
  const fetchStatus = async (server: BackendServer): Promise<SidecarStatus | undefined> => {
    try {
      return await querySidecar(server)
    } catch {
      return undefined
    }
  }
  /**
   * Queries the next batch of sidecars in round-robin order, so that the cost per period does not grow with the
   * fleet. A fleet of 600 is covered every 150 periods.
   */
  const fetchNextStatuses = async (servers: readonly BackendServer[]) => {
    const count = Math.min(STATUS_BATCH_SIZE, servers.length)
    const batch = Array.from(
      { length: count },
      (_, index) => servers[(nextIndex + index) % servers.length],
    )
    nextIndex += count
    const replies = await Promise.all(batch.map(fetchStatus))
    batch.forEach((server, index) => statuses.set(server.id, replies[index]))
  }
  const issueWeightLoad = async (server: BackendServer, weights: string): Promise<boolean> => {
    const command = {
      kind: 'order.issue',
      server: server.id,
      action: 'loadWeights',
      value: weights,
    }
    const result = (await member.propose({ ...command, at: timers.wallNow() })) as IssueOrderResult
    if (result.kind === 'noSlot') return false
    logger.info('order.issued', {
      server: server.id,
      value: weights,
      fencing: result.order.fencing,
    })
    startOrder(result.order, server)
    return true
  }
  const isLoading = (server: BackendServer) =>
    machine.orders.open().some((order) => order.server === server.id)
  const isBackingOff = (server: BackendServer) =>
    (backoffs.get(server.id)?.until ?? 0) > timers.now()
  const hasWeights = (server: BackendServer, weights: string) => {
    const backend = statuses.get(server.id)?.backend
    return backend?.isReady === true && backend.weightsVersion === weights
  }
  /** Whether an engine is ready, is not leaving, and runs weights other than the configured version. */
  const isOutdated = (server: BackendServer, weights: string) => {
    const status = statuses.get(server.id)
    if (!status?.backend.isReady || status.isLeaving) return false
    return status.backend.weightsVersion !== weights
  }
  const repairModel = async (servers: readonly BackendServer[], weights: string) => {
    const hasUpdatedServer = servers.some((server) => hasWeights(server, weights))
    const maxUnavailable = Math.max(1, Math.floor(servers.length * MAX_UNAVAILABLE_RATIO))
    let unavailable = servers.filter(isLoading).length
    const outdated = servers.filter(
      (server) => isOutdated(server, weights) && !isLoading(server) && !isBackingOff(server),
    )
    for (const server of outdated) {
      if (hasUpdatedServer && unavailable >= maxUnavailable) return
      if (!(await issueWeightLoad(server, weights))) return
      unavailable += 1
    }
  }
  const repairFleet = async () => {
    const fleet = options.findFleet()
    if (!fleet || !isLeading()) return
    resumeOpenOrders(fleet)
    const engines = [...fleet.backendServers.values()].filter(
      ({ kind, leaving }) => kind === 'engine' && !leaving,
    )
    if (engines.length === 0) return
    await fetchNextStatuses(engines)
    for (const model of fleet.models.values()) {
      if (!isLeading()) return
      const servers = engines.filter(({ serves }) => serves === model.id)
      await repairModel(servers, model.weightsVersion)
    }
  }
  const runRepairs = async () => {
    while (!stopping.signal.aborted) {
      await waitFor(timers, periodMs, stopping.signal)
      if (stopping.signal.aborted) return
      await repairFleet().catch((cause) =>
        logger.debug('repair.interrupted', { reason: String(cause) }),
      )
    }
  }
  const task = runRepairs()
  return {
    close: async () => {
      stopping.abort()
      await task
    },
  }
}
