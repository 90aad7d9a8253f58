/**
 * Rolls out the wanted weights version to every engine. Only the leader sends orders, and not to an engine while the
 * order lease of a previous leader may still be valid. A limited number of engines load at a time; superseded versions
 * are skipped.
 */
import {
  toSpoolgateError,
  waitFor,
  type BackendServerId,
  type Logger,
  type ServerName,
  type TimerService,
} from '@spoolgate/core'
import { Subject, type Observable } from 'rxjs'
import type { RaftMember } from '../raft/types.js'
import type { ControlStateMachine } from '../state/controlMachine.js'
import type { RegisteredServer } from '../state/serverState.js'
import type { EngineClient, EngineReport, OrderOutcome } from './engineClient.js'
import type { ServerLoads } from './feed.js'
import { createOrderLeases } from './orderLeases.js'

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
/** Time between announcing a load and ordering it, in ms: routers learn of it through a long poll. */
const ANNOUNCE_MS = 120
/**
 * Time without new work, in ms, for each request that may still be running when the load is ordered and then continues
 * under the new weights. Its remaining output is worth less than the capacity lost to requests that wait for a slot.
 * With waits of 1.5 to 3 s and one such request allowed, a version took 9 s to reach six engines.
 */
const IDLE_MS_PER_RUNNING_REQUEST = 100
/** Maximum wait for queued requests, which a load order would reject, in ms. */
const MAX_IDLE_WAIT_MS = 1_500
/** Interval between status polls of a loading engine, in ms; each poll costs the engine a request. */
const POLL_PERIOD_MS = 80
/** Timeout of one load including retries, in ms; an order may be executed 12 s late. */
const LOAD_TIMEOUT_MS = 15_000
/** Time after which an order without effect is sent again, in ms. */
const RESEND_ORDER_AFTER_MS = 1_000
/** Time without a heartbeat after which a server gets no orders, in ms: two heartbeat intervals of 1.2 s. */
const SILENT_MS = 2_400
/** Delay before a failed load is retried, in ms. */
const FAILURE_BACKOFF_MS = 1_000
/** Fraction of a group's live engines that load at a time: more would slow each other, and the rest carry the traffic. */
const LOADING_RATIO = 0.3
/** Range of fencing tokens per term: the maximum number of orders before the tokens reach those of the next term. */
const ORDERS_PER_TERM = 1_000_000

/** Outcomes after which a retry of the order cannot succeed. */
const PERMANENT_FAILURES: ReadonlySet<OrderOutcome> = new Set(['otherServer', 'invalid'])

interface LoadTask {
  readonly server: RegisteredServer
  readonly model: string
  /** Version held by the server when the task was created. */
  readonly heldVersion: number
  /** Number of orders sent so far. */
  orderCount: number
}

/** How a load ended, for the log. */
type LoadOutcome = 'loaded' | 'notLoaded' | 'failed'

/** Whether an engine is idle enough to be ordered to load, given how long it has had no new work. */
function isIdleEnough({ waiting, running }: EngineReport, waitedMs: number): boolean {
  if (waitedMs > MAX_IDLE_WAIT_MS) return true
  return waiting === 0 && running * IDLE_MS_PER_RUNNING_REQUEST <= waitedMs
}

/** Creates the rollout and starts its scheduling loop. */
export function createWeightsRollout(options: WeightsRolloutOptions): WeightsRollout {
  const { member, machine, engineClient, timers, logger } = options
  const stopping = new AbortController()
  const loading = new Set<BackendServerId>()
  const backoffUntil = new Map<BackendServerId, number>()
  /** Servers with an order that got no response and may still be executed. */
  const unanswered = new Set<BackendServerId>()
  const loadingChanges = new Subject<void>()
  const leases = createOrderLeases({
    loads: machine.weightLoads,
    timers,
    orderLeaseMs: options.orderLeaseMs,
  })
  let leadingTerm: number | undefined
  let orderCount = 0

  const isLeading = (term: number) => {
    const status = member.status()
    return status.role === 'leader' && status.term === term && status.hasLease
  }
  const startTerm = (term: number) => {
    if (term === leadingTerm) return
    leadingTerm = term
    orderCount = 0
    leases.startLeading()
  }
  const createFencingNumber = (term: number) => {
    orderCount += 1
    return term * ORDERS_PER_TERM + orderCount
  }
  const isLive = ({ id, phase }: RegisteredServer) =>
    phase === 'ready' && options.findHeartbeatAgeMs(id) < SILENT_MS
  /** Counts, for each group, the engines that may still begin to load. */
  const countFree = (groups: ReadonlySet<string>): Map<string, number> => {
    const live = new Map<string, number>()
    const loadingCounts = new Map<string, number>()
    const increment = (counts: Map<string, number>, group: string) =>
      counts.set(group, (counts.get(group) ?? 0) + 1)
    for (const server of machine.servers.list()) {
      if (!groups.has(server.group)) continue
      if (isLive(server)) increment(live, server.group)
      if (loading.has(server.id)) increment(loadingCounts, server.group)
    }
    const countGroup = (group: string) =>
      Math.max(1, Math.round((live.get(group) ?? 0) * LOADING_RATIO)) -
      (loadingCounts.get(group) ?? 0)
    return new Map([...groups].map((group) => [group, countGroup(group)]))
  }
  const findOutdatedWeights = (server: RegisteredServer) =>
    server.weights.find(({ model, version }) => version < (machine.weights.find(model) ?? 0))
  const listTasks = (): LoadTask[] => {
    const now = timers.now()
    const tasks = machine.servers.list().flatMap((server) => {
      const outdated = findOutdatedWeights(server)
      const isFree = !loading.has(server.id) && (backoffUntil.get(server.id) ?? 0) <= now
      if (!outdated || !isFree || !isLive(server) || !leases.isAvailable(server.name)) return []
      return [{ server, model: outdated.model, heldVersion: outdated.version, orderCount: 0 }]
    })
    // Sums the loads of the whole fleet, so only if there is something to order by them.
    const loads = tasks.length > 1 ? options.sumLoads() : {}
    const findCalls = ({ server }: LoadTask) => loads[server.id]?.calls ?? 0
    // Oldest weights first: with versions in quick succession, other orders would starve some engines.
    return tasks.sort((a, b) => a.heldVersion - b.heldVersion || findCalls(a) - findCalls(b))
  }

  const recordVersion = async ({ server, model }: LoadTask, version: number) => {
    const weights = server.weights.map((held) => (held.model === model ? { model, version } : held))
    await member.propose({ kind: 'server.observe', server: { ...server, weights } })
  }
  const sendLoad = async (task: LoadTask, version: number, term: number, report: EngineReport) => {
    const order = {
      model: task.model,
      version,
      issuer: options.instance,
      fencing: createFencingNumber(term),
      keepsRunningRequests: report.running > 0,
      expectedOrders: report.ordersTaken,
    }
    task.orderCount += 1
    const outcome = await engineClient.sendLoad(task.server, order)
    options.countOrder(outcome)
    if (outcome === 'unknown') unanswered.add(task.server.id)
    const { model, fencing } = order
    const { waiting, running } = report
    const server = task.server.id
    logger.info('weights.order', { server, model, version, fencing, waiting, running, outcome })
    return outcome
  }
  /** Sends load orders until the engine holds the wanted version; resolves to false on failure. */
  const loadWantedVersion = async (task: LoadTask, term: number): Promise<boolean> => {
    const deadline = timers.now() + LOAD_TIMEOUT_MS
    let orderedAt = -Infinity
    const startedAt = timers.now()
    const mayContinue = () => timers.now() < deadline && isLeading(term) && !stopping.signal.aborted
    while (mayContinue()) {
      const wanted = machine.weights.find(task.model) ?? 0
      const report = await engineClient.fetchReport(task.server, task.model)
      const { version = 0, isBusy } = report
      if (version >= wanted) {
        await recordVersion(task, version)
        return true
      }
      const isIdle = isIdleEnough(report, timers.now() - startedAt)
      const mayOrder = !isBusy && isIdle && timers.now() - orderedAt > RESEND_ORDER_AFTER_MS
      if (mayOrder && mayContinue()) {
        orderedAt = timers.now()
        const outcome = await sendLoad(task, wanted, term, report)
        if (PERMANENT_FAILURES.has(outcome)) return false
        if (outcome === 'conflict') orderedAt = -Infinity
      }
      await waitFor(timers, POLL_PERIOD_MS, stopping.signal)
    }
    return false
  }
  /** Replicates the start of the load before the first order is sent, so that the next leader knows of it. */
  const startLoad = async (server: ServerName) => {
    await member.propose({ kind: 'load.begin', server })
    leases.acquire(server)
  }
  const describeTask = ({ server, model, heldVersion }: LoadTask) => {
    const wanted = machine.weights.find(model)
    return { server: server.id, model, version: heldVersion, wanted }
  }
  const runTask = async (task: LoadTask, term: number) => {
    const { id, name } = task.server
    const startedAt = timers.now()
    let outcome: LoadOutcome = 'failed'
    loading.add(id)
    loadingChanges.next()
    logger.info('weights.loadStarted', { ...describeTask(task), loading: loading.size })
    try {
      await Promise.all([waitFor(timers, ANNOUNCE_MS), startLoad(name)])
      outcome = (await loadWantedVersion(task, term)) ? 'loaded' : 'notLoaded'
      if (outcome !== 'loaded') backoffUntil.set(id, timers.now() + FAILURE_BACKOFF_MS)
      if (!unanswered.delete(id)) await member.propose({ kind: 'load.end', server: name })
    } catch (cause) {
      backoffUntil.set(id, timers.now() + FAILURE_BACKOFF_MS)
      logger.warn('weights.loadFailed', { server: id, reason: toSpoolgateError(cause).message })
    }
    loading.delete(id)
    loadingChanges.next()
    const ms = Math.round(timers.now() - startedAt)
    logger.info('weights.loadEnded', {
      ...describeTask(task),
      ms,
      orders: task.orderCount,
      outcome,
    })
  }
  const startTasks = () => {
    const { role, term, hasLease } = member.status()
    if (role !== 'leader' || !hasLease) return
    startTerm(term)
    const tasks = listTasks()
    const free = countFree(new Set(tasks.map(({ server }) => server.group)))
    for (const task of tasks) {
      const { group } = task.server
      const left = free.get(group) ?? 0
      if (left <= 0) continue
      free.set(group, left - 1)
      void runTask(task, term)
    }
  }
  const run = async () => {
    while (!stopping.signal.aborted) {
      startTasks()
      await waitFor(timers, SCHEDULE_PERIOD_MS, stopping.signal)
    }
  }
  const loop = run()
  return {
    listLoading: () => [...loading],
    loadingChanges,
    close: async () => {
      stopping.abort()
      await loop
      leases.close()
    },
  }
}
