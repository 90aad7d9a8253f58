/**
 * Carries out the load of one engine: waits until routers know that it is out of service and it is idle enough, orders
 * the load, and follows it until the engine reports newer weights.
 */
import {
  toSpoolgateError,
  waitFor,
  type BackendServerId,
  type Logger,
  type TimerService,
} from '@spoolgate/core'
import type { RegisteredServer } from '../state/serverState.js'
import type { EngineClient, EngineReport, OrderOutcome } from './engineClient.js'
import type { LoadOrders } from './loadOrders.js'
import type { LoadPlaces } from './loadPlaces.js'
import type { LoadOutcome, LoadTask } from './loadTask.js'
import type { UnconfirmedOrders } from './unconfirmedOrders.js'

/** Options of {@link createWeightsLoad}. */
export interface WeightsLoadOptions {
  readonly engineClient: EngineClient
  readonly orders: LoadOrders
  readonly places: LoadPlaces
  readonly unconfirmed: UnconfirmedOrders
  readonly timers: TimerService
  readonly logger: Logger
  readonly isLeading: (term: number) => boolean
  readonly isLive: (server: RegisteredServer) => boolean
  readonly isExpired: (id: BackendServerId) => boolean
  /** Whether the replicated state has a newer version of the engine than its task, from a heartbeat. */
  readonly hasNewerVersion: (task: LoadTask) => boolean
  /** Records a newer version in the replicated state. */
  readonly recordVersion: (task: LoadTask, version: number) => Promise<void>
  readonly stopSignal: AbortSignal
}

/** See {@link createWeightsLoad}. */
export interface WeightsLoad {
  /** Loads newer weights; rejects when the engine cannot be reached before it has accepted an order. */
  run(task: LoadTask, term: number): Promise<LoadOutcome>
  /** Follows a load that the engine already carries out. */
  follow(task: LoadTask, term: number): Promise<LoadOutcome>
}

/** Time between announcing a load and ordering it, in ms: routers learn of it through a long poll. */
const ANNOUNCE_MS = 120
/**
 * Time without new work, in ms, for each request that may still be running when the load is ordered and then continues
 * under the new weights. Its remaining output is worth less than the capacity lost to requests that wait for a slot.
 */
const IDLE_MS_PER_RUNNING_REQUEST = 100
/** Maximum wait for queued requests, which a load order would reject, in ms. */
const MAX_IDLE_WAIT_MS = 1_500
/** Maximum time from the announcement to an accepted order, in ms; then other engines get their turn. */
const ORDER_TIMEOUT_MS = 4_000
/** Interval between status polls of a loading engine, in ms; each poll costs the engine a request. */
const POLL_PERIOD_MS = 80
/** Time after which an order to an engine that gets no traffic anyway counts as unanswered, in ms. */
const PROMPT_ANSWER_MS = 150
/** Age that a report may have, in ms. */
const REPORT_AGE_MS = 500
/** Timeout of a load that the engine has accepted, in ms. */
const LOAD_TIMEOUT_MS = 15_000
/** Time after which an engine that reports no order in flight no longer counts as loading, in ms. */
const NOT_BUSY_MS = 1_000
/** Time without a report after which a load no longer holds its place, in ms: two unanswered polls. */
const SILENT_MS = 1_000

/** Next step of a load, by the outcome of its order. */
const NEXT_STEPS: Readonly<Record<OrderOutcome, 'follow' | 'confirm' | 'retry' | 'rejected'>> = {
  taken: 'follow',
  held: 'follow',
  conflict: 'retry',
  unknown: 'confirm',
  fenced: 'rejected',
  otherServer: 'rejected',
  invalid: 'rejected',
}

/** Whether an engine is idle enough to be ordered to load, given how long it has had no new work. */
function isIdleEnough({ waiting, running }: EngineReport, waitedMs: number): boolean {
  if (waitedMs > MAX_IDLE_WAIT_MS) return true
  return waiting === 0 && running * IDLE_MS_PER_RUNNING_REQUEST <= waitedMs
}

/** Creates the loads of a rollout. */
export function createWeightsLoad(options: WeightsLoadOptions): WeightsLoad {
  const { engineClient, orders, places, unconfirmed, timers, logger, isLeading, stopSignal } =
    options

  const waitForPoll = () => waitFor(timers, POLL_PERIOD_MS, stopSignal)
  const fetchReport = async ({ server, model }: LoadTask) => {
    const report = await engineClient.fetchReport(server, model)
    unconfirmed.settle(server, report)
    return report
  }
  /** Records newer weights; resolves to false when the engine has none. */
  const observeVersion = async (task: LoadTask, { version = 0 }: EngineReport) => {
    if (version <= task.heldVersion) return false
    await options.recordVersion(task, version)
    return true
  }
  /** Fetches a report without failing: an accepted load continues while the engine cannot be reached. */
  const tryReport = async (task: LoadTask) => {
    try {
      return await fetchReport(task)
    } catch (cause) {
      const reason = toSpoolgateError(cause).message
      logger.debug('weights.pollFailed', { server: task.server.id, reason })
      return undefined
    }
  }
  const follow = async (task: LoadTask, term: number): Promise<LoadOutcome> => {
    const deadline = timers.now() + LOAD_TIMEOUT_MS
    let busyAt = timers.now()
    let reportedAt = timers.now()
    while (isLeading(term)) {
      const report = await tryReport(task)
      if (report && (await observeVersion(task, report))) return 'loaded'
      if (options.hasNewerVersion(task)) return 'loaded'
      const now = timers.now()
      if (!report || report.isBusy) busyAt = now
      if (report) reportedAt = now
      if (now - busyAt >= NOT_BUSY_MS) return 'notLoaded'
      if (now >= deadline || now - reportedAt >= SILENT_MS) return 'timedOut'
      if (!options.isLive(task.server)) return 'timedOut'
      await waitForPoll()
    }
    return 'stopped'
  }
  /** Looks for the effect of an order without a response until a report must show it. */
  const confirm = async (task: LoadTask, term: number, sentAt: number): Promise<LoadOutcome> => {
    if (options.isExpired(task.server.id)) return 'unconfirmed'
    while (isLeading(term)) {
      const isCurrent = timers.now() - sentAt >= REPORT_AGE_MS
      const report = await fetchReport(task)
      if (await observeVersion(task, report)) return 'loaded'
      if (report.isBusy) return follow(task, term)
      if (isCurrent) return 'unconfirmed'
      await waitForPoll()
    }
    return 'stopped'
  }
  /** Sends an order; while it is unanswered, it holds no place at an engine with expired weights. */
  const sendOrder = async (task: LoadTask, term: number, report: EngineReport) => {
    const { id } = task.server
    if (!options.isExpired(id)) return orders.send(task, term, report)
    const release = timers.after(PROMPT_ANSWER_MS).subscribe(() => places.release(id))
    const outcome = await orders.send(task, term, report)
    release.unsubscribe()
    if (outcome !== 'unknown' || !options.isExpired(id)) places.take(id)
    return outcome
  }
  /** Sends an order and follows its effect; resolves to undefined when it has to be sent again. */
  const orderLoad = async (
    task: LoadTask,
    term: number,
    report: EngineReport,
  ): Promise<LoadOutcome | undefined> => {
    const sentAt = timers.now()
    const step = NEXT_STEPS[await sendOrder(task, term, report)]
    if (step === 'follow') return follow(task, term)
    if (step === 'confirm') return confirm(task, term, sentAt)
    return step === 'rejected' ? step : undefined
  }
  /** An engine that may load at any time, or that gets no traffic, gains nothing from a wait for idleness. */
  const needsIdle = ({ id, name }: RegisteredServer) =>
    !options.isExpired(id) && !unconfirmed.isInTransit(name)
  /** Waits until the engine is idle enough and orders the load. */
  const prepare = async (task: LoadTask, term: number): Promise<LoadOutcome> => {
    const startedAt = timers.now()
    while (isLeading(term)) {
      const waitedMs = timers.now() - startedAt
      if (waitedMs > ORDER_TIMEOUT_MS) return 'timedOut'
      const report = await fetchReport(task)
      if (await observeVersion(task, report)) return 'loaded'
      if (report.isBusy) return follow(task, term)
      const mayOrder = !needsIdle(task.server) || isIdleEnough(report, waitedMs)
      const outcome = mayOrder && isLeading(term) ? await orderLoad(task, term, report) : undefined
      if (outcome) return outcome
      await waitForPoll()
    }
    return 'stopped'
  }
  return {
    run: async (task, term) => {
      const { id, name } = task.server
      // Engines with expired weights get no traffic that would have to move away first.
      const announced = options.isExpired(id) ? undefined : waitFor(timers, ANNOUNCE_MS, stopSignal)
      const [mayOrder] = await Promise.all([orders.begin(name, term), announced])
      return mayOrder ? prepare(task, term) : 'stopped'
    },
    follow,
  }
}
