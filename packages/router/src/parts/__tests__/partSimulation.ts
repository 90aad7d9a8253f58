/**
 * Simulates parts of prompts that crash engines, in virtual time and without a network: uses the real router quarantines,
 * coordinator and replicated state, with simulated engines. Sound requests share their other parts with harmful ones.
 */
import {
  createControlStateMachine,
  createPartCoordinator,
  createPartCrashBuffer,
  type ListedPart,
} from '@spoolgate/control'
import {
  createManualTimerService,
  createQuietLogger,
  createRandomSource,
  toBackendServerId,
  toPromptPartId,
  type BackendServerId,
  type PromptPartId,
} from '@spoolgate/core'
import { createAnsweredParts } from '../answeredParts.js'
import { createPartShares, type PartShares } from '../partShares.js'
import { createPartQuarantine, type PartQuarantine } from '../partQuarantine.js'

/** Parameters of a simulation. */
export interface PartSimulationOptions {
  readonly routers: number
  readonly engines: number
  /** Number of harmful parts. */
  readonly harmful: number
  /**
   * Whether a harmful part is the first of its prompt.
   * @default false
   */
  readonly isFirst?: boolean
  /** Rate of requests with each harmful part; no two are alike. */
  readonly harmfulPerSecond: number
  readonly soundPerSecond: number
  /**
   * Number of sound requests after which all topics are replaced by new ones.
   * @default 300
   */
  readonly topicRequests?: number
  /** Mean time between crashes that no request causes, in ms; Infinity for none. */
  readonly chanceCrashMs?: number
  readonly seed: number
  /** Times at which another leader takes over after an outage, and at which routers restart, in ms. */
  readonly leaderChanges?: readonly number[]
  readonly routerRestarts?: readonly number[]
  /** Times at which all routers restart and another leader takes over, in ms. */
  readonly fullRestarts?: readonly number[]
  /** Times at which all engines crash at once without being caused by a request, in ms. */
  readonly powerLosses?: readonly number[]
  readonly durationMs: number
}

/** Requests by outcome. */
export interface RequestCount {
  sent: number
  answered: number
}

/** Results of a simulation. */
export interface PartSimulationResult {
  /** Crashes by harmful part, in the order of the parts. */
  readonly crashes: readonly number[]
  /** Sends with each harmful part later than {@link CONTACT_MS} after its fifth crash. */
  readonly lateSends: readonly number[]
  /** Sound requests before the first harmful one, until {@link RECOVERY_MS} after the fifth crash, and later. */
  readonly calm: RequestCount
  readonly during: RequestCount
  readonly after: RequestCount
  /** Sound parts that were ever quarantined, and those that still are at the end. */
  readonly wrongVerdicts: number
  readonly wrongAtEnd: number
  /** Whether the part that all prompts have was ever quarantined. */
  readonly isCommonQuarantined: boolean
}

/** Time within which machines in touch must know of a crash, in ms. */
export const CONTACT_MS = 3_000
/** Time after the fifth crash from which sound requests must be served, in ms. */
export const RECOVERY_MS = 2 * CONTACT_MS
/** Time before the first harmful request, in ms. */
export const CALM_MS = 5_000
const CRASHES_ALLOWED = 5
const STEP_MS = 5
const CRASH_AFTER_MS = 40
const RESTART_MS = 2_500
const MIN_WORK_MS = 100
const WORK_JITTER_MS = 600
const DETECTION_MS = 5
const MESSAGE_MS = 2
const COMMIT_MS = 8
/** Time without a leader at a change. */
const ELECTION_MS = 1_000
const POLL_MS = 100
const POLL_MS_PER_ROUTER = 2
const MAX_SENDS = 2
const TOPICS = 20
const GROUP = 'engines'
const COMMON = 'common'
interface SimulatedRequest {
  readonly parts: readonly PromptPartId[]
  readonly router: number
  readonly harmful: number | undefined
  readonly count: RequestCount | undefined
  sends: number
}

interface SimulatedEngine {
  id: BackendServerId
  starts: number
  isUp: boolean
  readonly running: Set<() => void>
}

interface SimulatedRouter {
  readonly quarantine: PartQuarantine
  readonly answered: ReturnType<typeof createAnsweredParts>
  readonly shares: PartShares
  readonly buffer: ReturnType<typeof createPartCrashBuffer>
  term: number
  seen: number | undefined
}

/** Runs a simulation and returns its results. */
export async function runPartSimulation(
  options: PartSimulationOptions,
): Promise<PartSimulationResult> {
  const timers = createManualTimerService()
  const random = createRandomSource(options.seed)
  const logger = createQuietLogger()
  const machine = createControlStateMachine()
  const wrong = new Set<PromptPartId>()
  let term = 1
  let isLeaderUp = true
  const after = (ms: number, run: () => void) => void timers.after(ms).subscribe(run)
  const isHarmful = (part: PromptPartId) => part.startsWith('bad')
  const member = {
    status: () => ({ term }) as never,
    propose: (command: unknown) =>
      new Promise<unknown>((resolve) => after(COMMIT_MS, () => resolve(machine.apply(command, 1)))),
  }
  const createLeader = () =>
    createPartCoordinator({
      member,
      parts: machine.quarantinedParts,
      countServers: () => options.engines,
      readWallClock: timers.now,
      timers,
      logger,
    })
  let leader = createLeader()
  machine.fleetChanges.subscribe(() => {
    for (const { part } of machine.quarantinedParts.list()) if (!isHarmful(part)) wrong.add(part)
    notify()
  })
  /** Answers the polls that the leader holds, each after the time of a message. */
  const notify = () => {
    routers.forEach((router) => after(MESSAGE_MS * (1 + random.next()), () => applyList(router)))
  }
  const applyList = (router: SimulatedRouter) => {
    if (!isLeaderUp || (router.term === term && router.seen === leader.revision())) return
    router.term = term
    router.seen = leader.revision()
    router.quarantine.applyListed(JSON.parse(JSON.stringify(leader.list())) as ListedPart[])
  }
  const createSimulatedRouter = (): SimulatedRouter => {
    const answered = createAnsweredParts({
      timers,
      isServing: () => true,
      onAnswered: (part, at) => router.quarantine.recordAnswered(part, at),
    })
    const { findAnsweredAt, hasEnoughResponses } = answered
    const buffer = createPartCrashBuffer({ timers, findAnsweredAt, hasEnoughResponses })
    const sendReport = () => after(MESSAGE_MS, () => sendUrgent(router))
    const parts = { buffer, findAnsweredAt, hasEnoughResponses, sendReport, timers, logger }
    const router: SimulatedRouter = {
      quarantine: createPartQuarantine(parts),
      answered,
      shares: createPartShares(),
      buffer,
      term: 0,
      seen: undefined,
    }
    return router
  }
  const sendUrgent = ({ buffer }: SimulatedRouter) => {
    const urgent = isLeaderUp ? buffer.takeUrgent() : undefined
    if (!urgent) return
    leader.record(urgent.report)
    buffer.finishUrgent(urgent, term)
  }
  const pollLeader = (router: SimulatedRouter) => {
    if (!isLeaderUp) return
    const unreported = router.buffer.listUnreported(router.term)
    const trial = leader.record(unreported.report)
    router.buffer.recordReported(unreported, term)
    applyList(router)
    if (trial !== undefined) router.quarantine.grantTrial(trial)
  }
  const poll = (index: number) => {
    pollLeader(routers[index])
    const periodMs = Math.max(POLL_MS, options.routers * POLL_MS_PER_ROUTER)
    after(periodMs * (0.5 + random.next()), () => poll(index))
  }
  const routers = Array.from({ length: options.routers }, createSimulatedRouter)
  const engines = Array.from({ length: options.engines }, (_, index): SimulatedEngine => {
    return { id: toBackendServerId(`e${index}@1`), starts: 1, isUp: true, running: new Set() }
  })
  const counts = { calm: createCount(), during: createCount(), after: createCount() }
  const crashes = Array.from({ length: options.harmful }, () => 0)
  const lateSends = Array.from({ length: options.harmful }, () => 0)
  const fifthAt = Array.from({ length: options.harmful }, () => Infinity)
  let lastCrashAt = -Infinity

  const findCount = () => {
    const now = timers.now()
    if (now > options.durationMs - 2_000) return undefined
    if (now < CALM_MS) return counts.calm
    const settledAt = Math.max(...fifthAt.map((at) => (at === Infinity ? lastCrashAt : at)))
    return now > settledAt + RECOVERY_MS ? counts.after : counts.during
  }
  const crashEngine = (engine: SimulatedEngine) => {
    if (!engine.isUp) return
    engine.isUp = false
    const interrupted = [...engine.running]
    engine.running.clear()
    for (const interrupt of interrupted) interrupt()
    after(RESTART_MS, () => {
      engine.starts += 1
      engine.id = toBackendServerId(`${engine.id.split('@')[0]}@${engine.starts}`)
      engine.isUp = true
    })
  }
  const recordHarm = (index: number) => {
    crashes[index] += 1
    lastCrashAt = timers.now()
    if (crashes[index] === CRASHES_ALLOWED) fifthAt[index] = timers.now()
  }
  const countLate = ({ harmful }: SimulatedRequest) => {
    if (harmful !== undefined && timers.now() > fifthAt[harmful] + CONTACT_MS)
      lateSends[harmful] += 1
  }
  const send = (request: SimulatedRequest): void => {
    const router = routers[request.router]
    const { parts, harmful } = request
    if (request.sends >= MAX_SENDS || router.quarantine.findRefusal(parts)) return
    const up = engines.filter(({ isUp }) => isUp)
    if (up.length === 0) return
    request.sends += 1
    countLate(request)
    const engine = random.choose(up)
    const { id } = engine
    const sentAt = timers.now()
    const interrupt = () => {
      const crashedAt = timers.now()
      after(DETECTION_MS, () => {
        const sharesPercent = router.shares.measure(GROUP, parts)
        router.quarantine.recordCrash({ server: id, parts, sharesPercent, sentAt, crashedAt })
        void router.quarantine.waitForVerdict(parts).then(() => send(request))
      })
    }
    engine.running.add(interrupt)
    if (harmful !== undefined) {
      after(CRASH_AFTER_MS, () => {
        if (!engine.running.has(interrupt)) return
        recordHarm(harmful)
        crashEngine(engine)
      })
      return
    }
    after(MIN_WORK_MS + random.next() * WORK_JITTER_MS, () => {
      if (!engine.running.delete(interrupt)) return
      router.answered.record({ server: id, parts, isFramed: true })
      if (request.count) request.count.answered += 1
    })
  }
  const startRequest = (parts: readonly string[], harmful: number | undefined) => {
    const count = harmful === undefined ? findCount() : undefined
    if (count) count.sent += 1
    const router = random.nextInt(routers.length)
    const ids = parts.map(toPromptPartId)
    routers[router].shares.recordRequest(GROUP, ids)
    send({ parts: ids, router, harmful, count, sends: 0 })
  }
  let requests = 0
  const { topicRequests = 300, chanceCrashMs = Infinity } = options
  const drawTopic = () => `topic-${random.nextInt(TOPICS)}-${Math.floor(requests / topicRequests)}`
  const repeat = (periodMs: number, run: () => void) => {
    after(periodMs * (0.5 + random.next()), () => {
      run()
      repeat(periodMs, run)
    })
  }
  routers.forEach((_, index) => poll(index))
  repeat(1_000 / options.soundPerSecond, () => {
    requests += 1
    startRequest([COMMON, drawTopic()], undefined)
  })
  for (let index = 0; index < options.harmful; index += 1) {
    after(CALM_MS, () =>
      repeat(1_000 / options.harmfulPerSecond, () => {
        const part = `bad-${index}`
        const parts = options.isFirst ? [part, COMMON] : [COMMON, part]
        startRequest([...parts, drawTopic()], index)
      }),
    )
  }
  if (chanceCrashMs < Infinity) repeat(chanceCrashMs, () => crashEngine(random.choose(engines)))
  const changeLeader = () => {
    isLeaderUp = false
    after(ELECTION_MS, () => {
      term += 1
      leader = createLeader()
      isLeaderUp = true
    })
  }
  const restartRouter = (index: number) => {
    routers[index] = createSimulatedRouter()
    // A router serves no requests before its first response from control.
    pollLeader(routers[index])
  }
  const runAt = (times: readonly number[] | undefined, run: () => void) =>
    times?.forEach((at) => after(at, run))
  runAt(options.leaderChanges, changeLeader)
  runAt(options.routerRestarts, () => restartRouter(random.nextInt(routers.length)))
  runAt(options.fullRestarts, () => {
    changeLeader()
    routers.forEach((_, index) => restartRouter(index))
  })
  runAt(options.powerLosses, () => engines.forEach(crashEngine))
  for (let now = 0; now < options.durationMs; now += STEP_MS) {
    timers.advance(STEP_MS)
    await new Promise((resolve) => setImmediate(resolve))
  }
  const wrongAtEnd = machine.quarantinedParts.list().filter(({ part }) => !isHarmful(part)).length
  const isCommonQuarantined = wrong.has(toPromptPartId(COMMON))
  const verdicts = { wrongVerdicts: wrong.size, wrongAtEnd, isCommonQuarantined }
  return { crashes, lateSends, ...counts, ...verdicts }
}

function createCount(): RequestCount {
  return { sent: 0, answered: 0 }
}
