/**
 * Brings every engine to the wanted weights version. Only the leader orders, and not to an engine
 * that the one before it may have given orders to within a lease. A few engines load at a time;
 * versions that were overtaken are skipped.
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
import type { ControlMachine } from '../state/controlMachine.js'
import type { RegisteredServer } from '../state/serverState.js'
import type { EngineClient, EngineReport, OrderOutcome } from './engineClient.js'
import type { ServerLoads } from './feed.js'
import { createOrderLeases } from './orderLeases.js'

/** Options of {@link createWeightsRollout}. */
export interface WeightsRolloutOptions {
  readonly member: RaftMember
  readonly machine: ControlMachine
  readonly engineClient: EngineClient
  readonly instance: string
  readonly timers: TimerService
  readonly logger: Logger
  /** Time for which the orders of an earlier leader may still count, in ms. */
  readonly orderLeaseMs: number
  readonly sumLoads: () => ServerLoads
  /** Ms since the last heartbeat of a server. */
  readonly findHeartbeatAgeMs: (id: BackendServerId) => number
}

/** The rollout; see {@link createWeightsRollout}. */
export interface WeightsRollout {
  /** Servers that load weights now, or are about to. */
  listLoading(): readonly BackendServerId[]
  /** Emits when a load begins or ends. */
  readonly loadingChanges: Observable<void>
  close(): Promise<void>
}

/** Time between two looks at what is to be loaded, in ms; small against a load of 0.8 s. */
const SCHEDULE_PERIOD_MS = 50
/** Time between announcing a load and ordering it, in ms: routers get the news by a waiting poll. */
const ANNOUNCE_MS = 120
/**
 * Time of an engine without new work for which one more of its requests may go on under the new
 * weights, in ms: what that one makes from there on is worth less than what the others lose that wait
 * for a place. With waits of 1.5 to 3 s and one request a version took 9 s to reach six engines.
 */
const IDLE_MS_PER_RUNNING_REQUEST = 100
/** Longest wait for requests that the engine has not begun, in ms; the order would refuse them. */
const MAX_IDLE_WAIT_MS = 1_500
/** Time between two looks at an engine that loads, in ms; each look costs it a request. */
const POLL_PERIOD_MS = 80
/** Longest time for one load with all its tries, in ms; an order may be carried out 12 s late. */
const LOAD_TIMEOUT_MS = 15_000
/** Time after which an order without effect is repeated, in ms. */
const RESEND_ORDER_AFTER_MS = 1_000
/** Silence after which a server gets no orders, in ms: two heartbeats of 1.2 s. */
const SILENT_MS = 2_400
/** Pause before a server whose load failed is tried again, in ms. */
const FAILURE_BACKOFF_MS = 1_000
/** Part of the live engines of a group that load at once: more slow each other down, and the others carry the traffic. */
const LOADING_RATIO = 0.3
/** Orders that one leadership can number before it reaches the numbers of the next. */
const ORDERS_PER_TERM = 1_000_000

/** Outcomes after which the same order cannot succeed. */
const PERMANENT_FAILURES: ReadonlySet<OrderOutcome> = new Set(['otherServer', 'invalid'])

interface LoadTask {
  readonly server: RegisteredServer
  readonly model: string
  /** Version that the server held when the task was made. */
  readonly heldVersion: number
}

/** Whether an engine may be ordered to load after a wait. */
function isIdleEnough({ waiting, running }: EngineReport, waitedMs: number): boolean {
  if (waitedMs > MAX_IDLE_WAIT_MS) return true
  return waiting === 0 && running * IDLE_MS_PER_RUNNING_REQUEST <= waitedMs
}

/** Creates the rollout and starts its task. */
export function createWeightsRollout(options: WeightsRolloutOptions): WeightsRollout {
  const { member, machine, engineClient, timers, logger } = options
  const stopping = new AbortController()
  const loading = new Set<BackendServerId>()
  const backoffUntil = new Map<BackendServerId, number>()
  /** Engines with an order that got no answer, so that it may still be carried out. */
  const unanswered = new Set<BackendServerId>()
  const loadingChanges = new Subject<void>()
  const leases = createOrderLeases({
    loads: machine.loads,
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
  const createFencingToken = (term: number) => {
    orderCount += 1
    return term * ORDERS_PER_TERM + orderCount
  }
  const countMaxLoading = (group: string) => {
    const live = machine.servers.list().filter((server) => server.group === group && isLive(server))
    return Math.max(1, Math.round(live.length * LOADING_RATIO))
  }
  const isLive = ({ id, phase }: RegisteredServer) =>
    phase === 'ready' && options.findHeartbeatAgeMs(id) < SILENT_MS
  const findOutdatedWeights = (server: RegisteredServer) =>
    server.weights.find(({ model, version }) => version < (machine.weights.find(model) ?? 0))
  const listTasks = (): LoadTask[] => {
    const loads = options.sumLoads()
    const now = timers.now()
    const tasks = machine.servers.list().flatMap((server) => {
      const outdated = findOutdatedWeights(server)
      const isFree = !loading.has(server.id) && (backoffUntil.get(server.id) ?? 0) <= now
      if (!outdated || !isFree || !isLive(server) || !leases.isAvailable(server.name)) return []
      return [{ server, model: outdated.model, heldVersion: outdated.version }]
    })
    const findCalls = ({ server }: LoadTask) => loads[server.id]?.calls ?? 0
    // The oldest weights first: versions that follow each other closely would starve the rest.
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
      fencing: createFencingToken(term),
      keepsRunningRequests: report.running > 0,
      expectedOrders: report.ordersTaken,
    }
    const outcome = await engineClient.sendLoad(task.server, order)
    if (outcome === 'unknown') unanswered.add(task.server.id)
    const { model, fencing } = order
    const { waiting, running } = report
    const server = task.server.id
    logger.info('weights.order', { server, model, version, fencing, waiting, running, outcome })
    return outcome
  }
  /** Works until the engine holds the wanted version; false when it cannot be brought there. */
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
  /** Whoever leads next must know of the orders before the first of them is sent. */
  const startLoad = async (server: ServerName) => {
    await member.propose({ kind: 'load.begin', server })
    leases.acquire(server)
  }
  const runTask = async (task: LoadTask, term: number) => {
    const { id, name } = task.server
    loading.add(id)
    loadingChanges.next()
    try {
      await Promise.all([waitFor(timers, ANNOUNCE_MS), startLoad(name)])
      if (!(await loadWantedVersion(task, term)))
        backoffUntil.set(id, timers.now() + FAILURE_BACKOFF_MS)
      if (!unanswered.delete(id)) await member.propose({ kind: 'load.end', server: name })
    } catch (cause) {
      backoffUntil.set(id, timers.now() + FAILURE_BACKOFF_MS)
      logger.warn('weights.loadFailed', { server: id, reason: toSpoolgateError(cause).message })
    }
    loading.delete(id)
    loadingChanges.next()
  }
  const startTasks = () => {
    const { role, term, hasLease } = member.status()
    if (role !== 'leader' || !hasLease) return
    startTerm(term)
    for (const task of listTasks()) {
      const { group } = task.server
      const loadingCount = machine.servers
        .list()
        .filter((server) => server.group === group && loading.has(server.id)).length
      if (loadingCount < countMaxLoading(group)) void runTask(task, term)
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
