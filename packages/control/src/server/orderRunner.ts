/**
 * Carries out orders and repairs the fleet, on the leader only. One bounded step at a time: it looks
 * at what the sidecars report against what the configuration wants, issues at most the orders for
 * which there are slots, and backs off from a backend server whose order failed.
 */
import type { BackendServer, Fleet } from '@spoolgate/config'
import {
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
   * Time between two looks at the fleet, in ms.
   * @default 1000
   */
  readonly periodMs?: number
}

/** A running repair. */
export interface OrderRunner {
  close(): Promise<void>
}

/** What a sidecar reports of its backend server. */
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
const INITIAL_BACKOFF_MS = 2_000
const MAX_BACKOFF_MS = 120_000
/** Sidecars that are asked in one period. */
const STATUS_BATCH_SIZE = 4
/** Most engines of one model that repair may take out of service at once, as a share of them. */
const MAX_UNAVAILABLE_RATIO = 0.34

/** Creates the repair of a control instance; it rests while the instance does not lead. */
export function createOrderRunner(options: OrderRunnerOptions): OrderRunner {
  const { member, machine, client, timers, logger } = options
  const stopping = new AbortController()
  const backoffs = new Map<BackendServerId, Backoff>()
  /** Fencing numbers of orders that this leadership is carrying out. */
  const running = new Map<number, Promise<void>>()

  /** What each sidecar last reported; undefined when it did not answer. */
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
  const runOrder = async (order: Order, server: BackendServer) => {
    const { fencing, action, value } = order
    let outcome: 'done' | 'failed' = 'done'
    try {
      const url = `${server.sidecarUrl}/orders`
      await client.sendJson({ method: 'POST', url, json: order, timeoutMs: ORDER_TIMEOUT_MS })
      backoffs.delete(server.id)
      statuses.delete(server.id)
    } catch (cause) {
      outcome = 'failed'
      recordFailure(server.id)
      logger.warn('order.failed', { server: server.id, fencing, reason: String(cause) })
    }
    logger.info('order.finished', { server: server.id, action, value, fencing, outcome })
    const at = timers.wallNow()
    await member
      .propose({ kind: 'order.finish', server: server.id, fencing, outcome, at })
      .catch(() => logger.warn('order.unrecorded', { server: server.id, fencing }))
  }
  const startOrder = (order: Order, server: BackendServer) => {
    if (running.has(order.fencing)) return
    const work = runOrder(order, server).finally(() => running.delete(order.fencing))
    running.set(order.fencing, work)
  }
  /** Takes up orders that an earlier leader issued and did not see finished. */
  const resumeOpenOrders = (fleet: Fleet) => {
    for (const order of machine.orders.open()) {
      const server = fleet.backendServers.get(order.server)
      if (server) startOrder(order, server)
    }
  }
  const fetchStatus = async (server: BackendServer): Promise<SidecarStatus | undefined> => {
    try {
      const url = `${server.sidecarUrl}/status`
      return await client.sendJson<SidecarStatus>({
        method: 'GET',
        url,
        timeoutMs: STATUS_TIMEOUT_MS,
      })
    } catch {
      return undefined
    }
  }
  /**
   * Asks the next few sidecars in turn, so that a look at a large fleet costs no more than one at a
   * small fleet; a fleet of 600 is seen whole every 150 periods.
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
  /** Whether an engine is up, stays, and runs other weights than it should. */
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
      await waitFor(timers, options.periodMs ?? DEFAULT_PERIOD_MS, stopping.signal)
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
