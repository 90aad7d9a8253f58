/**
 * Simulates the rollout of weights in virtual time: real rollouts and the real monitor, on engines that leave orders
 * unanswered and may execute them late.
 */
import {
  createManualTimerService,
  createQuietLogger,
  createRandomSource,
  toServerName,
  waitFor,
  type BackendServerId,
} from '@spoolgate/core'
import type { RaftMember, RaftStatus } from '../raft/types.js'
import type { EngineReport, LoadOrder, OrderOutcome } from '../registry/engineClient.js'
import { createServerMonitor } from '../registry/serverMonitor.js'
import { createWeightsRollout, type WeightsRollout } from '../registry/weightsRollout.js'
import { createControlStateMachine } from '../state/controlMachine.js'
import { buildServerIdentity, type RegisteredServer } from '../state/serverState.js'

/** Fleet and disruptions of a simulation; times in ms from its start. */
export interface RolloutSimulationOptions {
  readonly seed: number
  readonly engines: number
  /** Fraction of orders that get no response and are executed late. */
  readonly unansweredRatio: number
  /** When versions 2, 3 and so on are named. */
  readonly namedAt: readonly number[]
  /** When the first leader loses its leadership; the second begins to lead {@link ELECTION_MS} later. */
  readonly leaderLostAt?: number
  readonly durationMs: number
}

/** Result of a simulation. */
export interface RolloutSimulationResult {
  /** By version, longest time from its naming until an engine has an order for it or newer weights, in ms. */
  readonly maxOrderDelayMs: readonly number[]
  /** Largest number of engines out of service for loads that a leader began. */
  readonly maxOutOfService: number
  /** Orders sent or executed that would replace newer weights. */
  readonly downgrades: number
  /** Orders of two leaders to one engine within an order lease. */
  readonly alternations: number
  /** Largest number of reports in a second from engines that hold no place. */
  readonly maxWatchPolls: number
  /** Time from naming the last version until all engines have it, in ms; undefined if some have not. */
  readonly allLoadedMs: number | undefined
  readonly orders: number
}

/** Time for which orders of a previous leader may still take effect, in ms. */
export const ORDER_LEASE_MS = 3_000
/** Time between the leaderships of two instances, in ms: longer than a load. */
export const ELECTION_MS = 1_000
/** Age of a newer version at which older weights expire, in ms. */
export const EXPIRE_MS = 7_000

const STEP_MS = 10
/** Event loop turns per step, so that pending promises settle. */
const TURNS_PER_STEP = 3
const LOAD_MS = 800
/** Timeout of an order, in ms. */
const ANSWER_MS = 600
/** Range of the delay of an order that is executed late, in ms. */
const LATE_MS = { min: 2_000, max: 12_000 }
/** Age of reports, in ms. */
const REPORT_AGE_MS = 300
/** Time from the end of a late load until the leader has polled it, in ms. */
const LATE_REPORT_MS = REPORT_AGE_MS + 200
const HEARTBEAT_MS = 1_200
const MAX_RUNNING = 10
const MODEL = 'm'

interface Engine {
  readonly server: RegisteredServer
  readonly running: number
  version: number
  ordersTaken: number
  busyUntil: number
  /** When the end of the last late load is known to the leader, in ms. */
  lateUntil: number
  lastIssuer: string
  lastOrderAt: number
  /** By index of the version, time of the first order for it or of the first newer weights. */
  readonly servedAt: (number | undefined)[]
  readonly history: { readonly at: number; readonly report: EngineReport }[]
}

function createServer(index: number): RegisteredServer {
  return {
    ...buildServerIdentity(toServerName(`engine-${index}`), undefined),
    group: 'g',
    address: `engine-${index}`,
    hall: 'h',
    phase: 'ready',
    slots: 16,
    weights: [{ model: MODEL, version: 1 }],
  }
}

/** Runs a simulation. */
export async function runRolloutSimulation(
  options: RolloutSimulationOptions,
): Promise<RolloutSimulationResult> {
  const { namedAt } = options
  const timers = createManualTimerService()
  const random = createRandomSource(options.seed)
  const machine = createControlStateMachine()
  const engines = new Map<BackendServerId, Engine>()
  const leaders: { status: RaftStatus; rollout: WeightsRollout }[] = []
  const watchPolls = new Map<number, number>()
  const figures = { maxOutOfService: 0, downgrades: 0, alternations: 0, orders: 0 }
  let lastVersion = 1
  let allLoadedAt: number | undefined

  const recordHistory = (engine: Engine) => {
    const { version, running, ordersTaken, busyUntil } = engine
    const isBusy = busyUntil > timers.now()
    const report = { version, isBusy, waiting: 0, running, ordersTaken }
    engine.history.push({ at: timers.now(), report })
  }
  /** Records that the engine has an order for a version, or newer weights. */
  const recordServed = (engine: Engine, version: number) => {
    for (let index = 0; index < version - 1; index += 1) engine.servedAt[index] ??= timers.now()
  }
  const executeOrder = (engine: Engine, order: LoadOrder, isLate: boolean): OrderOutcome => {
    const now = timers.now()
    if (engine.busyUntil > now || engine.ordersTaken !== order.expectedOrders) return 'conflict'
    if (engine.version === order.version) return 'held'
    if (engine.version > order.version) figures.downgrades += 1
    engine.ordersTaken += 1
    engine.busyUntil = now + LOAD_MS
    if (isLate) engine.lateUntil = now + LOAD_MS + LATE_REPORT_MS
    recordHistory(engine)
    timers.after(LOAD_MS).subscribe(() => {
      engine.version = order.version
      recordServed(engine, order.version)
      recordHistory(engine)
    })
    return 'taken'
  }
  const recordOrder = (engine: Engine, { issuer, version }: LoadOrder) => {
    const now = timers.now()
    figures.orders += 1
    if (version < engine.version) figures.downgrades += 1
    const isOther = engine.lastIssuer !== '' && engine.lastIssuer !== issuer
    if (isOther && now - engine.lastOrderAt < ORDER_LEASE_MS) figures.alternations += 1
    Object.assign(engine, { lastIssuer: issuer, lastOrderAt: now })
    recordServed(engine, version)
  }
  const sendLoad = async ({ id }: RegisteredServer, order: LoadOrder): Promise<OrderOutcome> => {
    const engine = engines.get(id) as Engine
    recordOrder(engine, order)
    if (random.next() >= options.unansweredRatio) return executeOrder(engine, order, false)
    const lateMs = LATE_MS.min + random.next() * (LATE_MS.max - LATE_MS.min)
    timers.after(lateMs).subscribe(() => void executeOrder(engine, order, true))
    await waitFor(timers, ANSWER_MS)
    return 'unknown'
  }
  const listLoading = () => new Set(leaders.flatMap(({ rollout }) => [...rollout.listLoading()]))
  const fetchReport = async ({ id }: RegisteredServer): Promise<EngineReport> => {
    const { history } = engines.get(id) as Engine
    if (!leaders.some(({ rollout }) => rollout.listLoading().includes(id))) {
      const second = Math.floor(timers.now() / 1_000)
      watchPolls.set(second, (watchPolls.get(second) ?? 0) + 1)
    }
    const visible = timers.now() - REPORT_AGE_MS
    return (history.findLast(({ at }) => at <= visible) ?? history[0]).report
  }
  const monitor = createServerMonitor({
    machine,
    timers,
    findHeartbeatAgeMs: () => 0,
    silentAfterMs: 2_000,
    weightsExpireMs: EXPIRE_MS,
  })
  const addLeader = (instance: string, status: RaftStatus) => {
    const leader = { status } as { status: RaftStatus; rollout: WeightsRollout }
    const member = {
      status: () => leader.status,
      propose: async (command: unknown) => machine.apply(command, 1),
    } as unknown as RaftMember
    leader.rollout = createWeightsRollout({
      member,
      machine,
      engineClient: { fetchReport, sendLoad },
      instance,
      timers,
      logger: createQuietLogger(),
      orderLeaseMs: ORDER_LEASE_MS,
      sumLoads: () => ({}),
      findHeartbeatAgeMs: () => 0,
      listExpired: monitor.listExpired,
      countOrder: () => undefined,
    })
    leaders.push(leader)
    return leader
  }
  const sendHeartbeat = ({ server, version }: Engine) => {
    const known = machine.servers.find(server.id)?.weights[0].version
    if (known === version) return
    const weights = [{ model: MODEL, version }]
    machine.apply({ kind: 'server.observe', server: { ...server, weights } }, 1)
  }
  const startEngine = (index: number) => {
    const engine: Engine = {
      server: createServer(index),
      running: random.nextInt(MAX_RUNNING + 1),
      version: 1,
      ordersTaken: 7,
      busyUntil: -Infinity,
      lateUntil: -Infinity,
      lastIssuer: '',
      lastOrderAt: -Infinity,
      servedAt: namedAt.map(() => undefined),
      history: [],
    }
    engines.set(engine.server.id, engine)
    machine.apply({ kind: 'server.observe', server: engine.server }, 1)
    recordHistory(engine)
    timers
      .after(random.nextInt(HEARTBEAT_MS))
      .subscribe(() => timers.every(HEARTBEAT_MS).subscribe(() => sendHeartbeat(engine)))
  }
  const nameVersion = (version: number) => {
    lastVersion = version
    machine.apply({ kind: 'weights.name', model: MODEL, version }, 1)
  }
  const checkStep = () => {
    const now = timers.now()
    const loading = listLoading()
    const isOut = ({ server, busyUntil, lateUntil }: Engine) =>
      lateUntil <= now && (busyUntil > now || loading.has(server.id))
    const out = [...engines.values()].filter(isOut).length
    figures.maxOutOfService = Math.max(figures.maxOutOfService, out)
    const isDone = [...engines.values()].every(({ version }) => version === lastVersion)
    if (isDone && lastVersion === namedAt.length + 1) allLoadedAt ??= now
  }

  for (let index = 0; index < options.engines; index += 1) startEngine(index)
  const first = addLeader('control-1', { role: 'leader', term: 1, hasLease: true } as RaftStatus)
  const second = addLeader('control-2', { role: 'follower', term: 1 } as RaftStatus)
  for (const [index, at] of namedAt.entries())
    timers.after(at).subscribe(() => nameVersion(index + 2))
  if (options.leaderLostAt !== undefined) {
    timers.after(options.leaderLostAt).subscribe(() => {
      first.status = { role: 'follower', term: 2 } as RaftStatus
    })
    timers.after(options.leaderLostAt + ELECTION_MS).subscribe(() => {
      second.status = { role: 'leader', term: 2, hasLease: true } as RaftStatus
    })
  }
  const runStep = async () => {
    timers.advance(STEP_MS)
    for (let turn = 0; turn < TURNS_PER_STEP; turn += 1)
      await new Promise((resolve) => setImmediate(resolve))
  }
  while (timers.now() < options.durationMs) {
    await runStep()
    checkStep()
  }
  const closing = Promise.all(leaders.map(({ rollout }) => rollout.close()))
  await runStep()
  await closing
  monitor.close()
  const findDelay = (index: number) => {
    const delays = [...engines.values()].map(({ servedAt }) => servedAt[index] ?? Infinity)
    return Math.max(...delays) - namedAt[index]
  }
  return {
    ...figures,
    maxOrderDelayMs: namedAt.map((_, index) => findDelay(index)),
    maxWatchPolls: Math.max(0, ...watchPolls.values()),
    allLoadedMs: allLoadedAt && allLoadedAt - namedAt[namedAt.length - 1],
  }
}
