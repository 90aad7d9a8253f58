/**
 * Rolls out the wanted weights version to every engine. Only the leader sends orders, and not to an engine while the
 * order lease of a previous leader may still be valid. A limited number of engines load at a time; superseded versions
 * are skipped. An engine holds a place only while it is out of service for a load: an order without a response frees it,
 * and the engine is watched because the order may still be executed.
 */
import {
  removeOldest,
  toSpoolgateError,
  waitFor,
  type BackendServerId,
  type Logger,
  type TimerService,
} from '@spoolgate/core'
import { setMaxListeners } from 'node:events'
import type { Observable } from 'rxjs'
import type { RaftMember } from '../raft/types.js'
import type { ControlStateMachine } from '../state/controlMachine.js'
import type { RegisteredServer } from '../state/serverState.js'
import type { EngineClient, EngineReport, OrderOutcome } from './engineClient.js'
import type { ServerLoads } from './feed.js'
import { createLoadOrders } from './loadOrders.js'
import { createLoadPlaces } from './loadPlaces.js'
import { createLoadQueue } from './loadQueue.js'
import type { LoadOutcome, LoadTask } from './loadTask.js'
import { createOrderLeases } from './orderLeases.js'
import { createUnconfirmedOrders, type UnconfirmedOrder } from './unconfirmedOrders.js'
import { createUnconfirmedWatch } from './unconfirmedWatch.js'
import { createWeightsLoad } from './weightsLoad.js'

/** Options of {@link createWeightsRollout}. */
export interface WeightsRolloutOptions {
  readonly member: RaftMember
  readonly machine: ControlStateMachine
  readonly engineClient: EngineClient
  readonly instance: string
  readonly timers: TimerService
  readonly logger: Logger
  /** Time for which orders of a previous leader may still take effect, in ms. */
  readonly orderLeaseMs: number
  readonly sumLoads: () => ServerLoads
  /** Returns the time since the last heartbeat of a server, in ms. */
  readonly findHeartbeatAgeMs: (id: BackendServerId) => number
  /** Lists the servers with expired weights, which get no requests. An equal list keeps its identity. */
  readonly listExpired: () => readonly BackendServerId[]
  /** Counts the outcome of an order. */
  readonly countOrder: (outcome: OrderOutcome) => void
}

/** See {@link createWeightsRollout}. */
export interface WeightsRollout {
  /** Lists the servers that are loading weights or about to. */
  listLoading(): readonly BackendServerId[]
  /** Emits when a load starts or ends. */
  readonly loadingChanges: Observable<void>
  close(): Promise<void>
}

/** Interval between scheduling passes, in ms; small compared with a load of 0.8 s. */
const SCHEDULE_PERIOD_MS = 50
/** Time without a heartbeat after which a server gets no orders, in ms: two heartbeat intervals of 1.2 s. */
const SILENT_MS = 2_400
/** Delay before an engine that has no newer weights is ordered again, in ms. */
const RETRY_DELAY_MS = 1_000
/** The same for engines with expired weights, in ms: they have no capacity to lose. */
const EXPIRED_RETRY_DELAY_MS = 400
/** Maximum number of engines whose delay is remembered. */
const MAX_TRACKED_SERVERS = 2_000

/** Creates a check by id that is rebuilt only when the list has changed. */
function createListCheck(list: () => readonly BackendServerId[]): (id: BackendServerId) => boolean {
  let listed: readonly BackendServerId[] = []
  let ids = new Set<BackendServerId>()
  return (id) => {
    const current = list()
    if (current !== listed) ids = new Set(current)
    listed = current
    return ids.has(id)
  }
}

/** Creates the rollout and starts its scheduling loop. */
export function createWeightsRollout(options: WeightsRolloutOptions): WeightsRollout {
  const { member, machine, engineClient, timers, logger } = options
  const stopping = new AbortController()
  // Each wait of a load adds a listener; Node warns about more than ten by default.
  setMaxListeners(0, stopping.signal)
  /** Engines with a task, which may outlast its place. */
  const active = new Set<BackendServerId>()
  const retryAt = new Map<BackendServerId, number>()
  let leadingTerm: number | undefined

  const isLeading = (term: number) => {
    const status = member.status()
    const isLeader = status.role === 'leader' && status.term === term && status.hasLease
    return isLeader && !stopping.signal.aborted
  }
  const isLive = ({ id, phase }: RegisteredServer) =>
    phase === 'ready' && options.findHeartbeatAgeMs(id) < SILENT_MS
  const isExpired = createListCheck(options.listExpired)
  const hasNewerVersion = ({ server: { id }, model, heldVersion }: LoadTask) => {
    const weights = machine.servers.find(id)?.weights ?? []
    return weights.some((held) => held.model === model && held.version > heldVersion)
  }
  const recordVersion = async ({ server: { id }, model }: LoadTask, version: number) => {
    const server = machine.servers.find(id)
    if (!server?.weights.some((held) => held.model === model && held.version < version)) return
    const weights = server.weights.map((held) => (held.model === model ? { model, version } : held))
    await member.propose({ kind: 'server.observe', server: { ...server, weights } })
  }

  const leases = createOrderLeases({
    loads: machine.weightLoads,
    timers,
    orderLeaseMs: options.orderLeaseMs,
  })
  const unconfirmed = createUnconfirmedOrders(timers)
  const places = createLoadPlaces({ servers: machine.servers, isLive, isExpired })
  const orders = createLoadOrders({ ...options, leases, unconfirmed, isLeading })
  const queue = createLoadQueue({
    ...options,
    isAvailable: (server) =>
      !active.has(server.id) &&
      (retryAt.get(server.id) ?? 0) <= timers.now() &&
      isLive(server) &&
      leases.isAvailable(server.name),
  })
  const load = createWeightsLoad({
    ...options,
    orders,
    places,
    unconfirmed,
    isLeading,
    isLive,
    isExpired,
    hasNewerVersion,
    recordVersion,
    stopSignal: stopping.signal,
  })

  const describeTask = ({ server, model }: LoadTask) => {
    const wanted = machine.weights.find(model)
    return { server: server.id, model, wanted, places: places.list().length }
  }
  const delayRetry = (id: BackendServerId) => {
    retryAt.delete(id)
    const delayMs = isExpired(id) ? EXPIRED_RETRY_DELAY_MS : RETRY_DELAY_MS
    retryAt.set(id, timers.now() + delayMs)
    removeOldest(retryAt, MAX_TRACKED_SERVERS)
  }
  const logFailure = ({ server }: LoadTask, cause: unknown) => {
    const reason = toSpoolgateError(cause).message
    logger.warn('weights.loadFailed', { server: server.id, reason })
    return 'failed' as const
  }
  /** Runs a load in a place of its own. */
  const holdPlace = async (task: LoadTask, runLoad: () => Promise<LoadOutcome>) => {
    const { id } = task.server
    const startedAt = timers.now()
    places.take(id)
    logger.info('weights.loadStarted', { ...describeTask(task), version: task.heldVersion })
    const outcome = await runLoad().catch((cause: unknown) => logFailure(task, cause))
    places.release(id)
    if (outcome !== 'loaded') delayRetry(id)
    const { weights = [] } = machine.servers.find(id) ?? {}
    logger.info('weights.loadEnded', {
      ...describeTask(task),
      version: weights.find(({ model }) => model === task.model)?.version,
      ms: Math.round(timers.now() - startedAt),
      orders: task.orderCount,
      outcome,
    })
  }
  const runTask = async (task: LoadTask, term: number) => {
    const { id, name } = task.server
    active.add(id)
    queue.recordAttempt(task)
    await holdPlace(task, () => load.run(task, term))
    // The next task must not begin before the end is replicated.
    await orders.end(name).catch((cause: unknown) => logFailure(task, cause))
    active.delete(id)
  }
  const followTask = async (task: LoadTask, term: number) => {
    active.add(task.server.id)
    await holdPlace(task, () => load.follow(task, term))
    active.delete(task.server.id)
  }
  /** Handles the report of an engine that may execute an order late. */
  const handleReport = async ({ server, model }: UnconfirmedOrder, report: EngineReport) => {
    const term = leadingTerm
    if (term === undefined || !isLeading(term) || active.has(server.id)) return
    const heldVersion = report.version ?? 0
    const task = { server, model, heldVersion, orderCount: 0 }
    if (report.isBusy) void followTask(task, term)
    unconfirmed.settle(server, report)
    await recordVersion(task, heldVersion)
  }
  const watch = createUnconfirmedWatch({
    orders: unconfirmed,
    engineClient,
    timers,
    logger,
    isWatched: (id) => !active.has(id) && machine.servers.find(id) !== undefined,
    handleReport,
  })

  const startTasks = (term: number) => {
    const tasks = queue.list()
    const free = places.countFree(new Set(tasks.map(({ server }) => server.group)))
    for (const task of tasks) {
      const { group } = task.server
      const { loads = 0, inService = 0 } = free.get(group) ?? {}
      const isInService = !isExpired(task.server.id)
      if (loads <= 0 || (isInService && inService <= 0)) continue
      free.set(group, { loads: loads - 1, inService: inService - (isInService ? 1 : 0) })
      void runTask(task, term)
    }
  }
  const runPass = () => {
    const { role, term, hasLease } = member.status()
    if (role !== 'leader' || !hasLease) return
    if (term !== leadingTerm) orders.startLeading()
    leadingTerm = term
    startTasks(term)
    watch.poll()
  }
  const run = async () => {
    while (!stopping.signal.aborted) {
      runPass()
      await waitFor(timers, SCHEDULE_PERIOD_MS, stopping.signal)
    }
  }
  const loop = run()
  return {
    listLoading: places.list,
    loadingChanges: places.changes,
    close: async () => {
      stopping.abort()
      await loop
      leases.close()
    },
  }
}
