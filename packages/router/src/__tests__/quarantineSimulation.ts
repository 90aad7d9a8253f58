/**
 * Simulates harmful requests beside harmless ones in virtual time, without a network: uses the real router quarantines,
 * quarantine coordinator and replicated state, with simulated servers that crash under harmful requests.
 */
import {
  createCrashReportBuffer,
  createQuarantineCoordinator,
  createControlStateMachine,
  type SuspectedRequest,
} from '@spoolgate/control'
import {
  createManualTimerService,
  createQuietLogger,
  createRandomSource,
  toBackendServerId,
  toRequestFingerprint,
  type BackendServerId,
  type RequestFingerprint,
} from '@spoolgate/core'
import { createRequestQuarantine, type RequestQuarantine } from '../direct/requestQuarantine.js'

/** Parameters of a simulation. */
export interface QuarantineSimulationOptions {
  readonly routers: number
  readonly servers: number
  /** Number of harmful requests, each sent every 250 ms. */
  readonly harmful: number
  /** Rate of ordinary requests, each with its own body. */
  readonly ordinaryPerSecond: number
  /** Rate of harmless requests that all have the same body. */
  readonly popularPerSecond: number
  readonly seed: number
  /** Times at which another leader takes over, and at which all routers restart, in ms. */
  readonly leaderChanges?: readonly number[]
  readonly routerRestarts?: readonly number[]
  /** Times at which all servers crash at once without being caused by a request, in ms. */
  readonly powerLosses?: readonly number[]
  /**
   * Time from which harmless requests are counted, in ms.
   * @default {@link SETTLED_MS}
   */
  readonly countedFrom?: number
  readonly durationMs: number
}

/** Sent and answered requests of one kind. */
export interface RequestCount {
  sent: number
  answered: number
}

/** Results of a simulation. */
export interface QuarantineSimulationResult {
  /** Crashes of servers under harmful requests. */
  readonly crashes: number
  /** By harmful request: sends later than {@link REPORT_DELAY_MS} after the third crash under it. */
  readonly lateSends: readonly number[]
  /** Requests sent from {@link QuarantineSimulationOptions.countedFrom} on, except for the last {@link UNCOUNTED_MS}. */
  readonly ordinary: RequestCount
  readonly popular: RequestCount
  /** Harmless requests in quarantine at the end. */
  readonly harmlessQuarantined: number
}

/** Time after the third crash within which routers need not know of it yet, in ms. */
export const REPORT_DELAY_MS = 3_000
/** Time after which harmless requests must be answered despite harmful ones, in ms. */
export const SETTLED_MS = 9_000
/** Requests sent this long before the end are not counted, as they may be in flight at the end, in ms. */
const UNCOUNTED_MS = 2_500
const CRASHES_ALLOWED = 3
const STEP_MS = 10
const HARMFUL_PERIOD_MS = 250
/** Time from the start of a harmful request to the crash of its server, in ms. */
const CRASH_AFTER_MS = 40
/** Time from the crash of a server to its restart, in ms. */
export const RESTART_MS = 2_500
const MIN_WORK_MS = 100
const WORK_JITTER_MS = 900
/** Time until a router detects a crash, and until a log entry of the leader is committed, in ms. */
const DETECTION_DELAY_MS = 20
const POLL_MS = 100
const POLL_MS_PER_ROUTER = 2
const MAX_SENDS = 2
const POPULAR = toRequestFingerprint('popular.0')

interface SimulatedRequest {
  readonly fingerprint: RequestFingerprint
  readonly router: number
  readonly isHarmful: boolean
  readonly count: RequestCount | undefined
  sends: number
}

interface SimulatedServer {
  id: BackendServerId
  starts: number
  isUp: boolean
  /** Callbacks of the running requests, called when the server crashes. */
  readonly running: Set<() => void>
}

interface SimulatedRouter {
  quarantine: RequestQuarantine
  crashReports: ReturnType<typeof createCrashReportBuffer>
  term: number
  suspectsSeen: number | undefined
}

/** Runs a simulation and returns its results. */
export async function runQuarantineSimulation(
  options: QuarantineSimulationOptions,
): Promise<QuarantineSimulationResult> {
  const timers = createManualTimerService()
  const random = createRandomSource(options.seed)
  const logger = createQuietLogger()
  const machine = createControlStateMachine()
  let term = 1
  let crashes = 0
  const after = (ms: number, run: () => void) => void timers.after(ms).subscribe(run)
  const member = {
    status: () => ({ term }) as never,
    propose: (command: unknown) =>
      new Promise<unknown>((resolve) => {
        after(DETECTION_DELAY_MS, () => resolve(machine.apply(command, 1)))
      }),
  }
  const createLeader = () =>
    createQuarantineCoordinator({ member, quarantine: machine.quarantine, timers, logger })
  let leader = createLeader()
  const createRouter = (): SimulatedRouter => {
    const crashReports = createCrashReportBuffer(timers)
    const quarantine = createRequestQuarantine({ crashReports, timers, logger })
    return { quarantine, crashReports, term: 0, suspectsSeen: undefined }
  }
  const routers = Array.from({ length: options.routers }, createRouter)
  const servers = Array.from({ length: options.servers }, (_, index): SimulatedServer => {
    return { id: toBackendServerId(`s${index}@1`), starts: 1, isUp: true, running: new Set() }
  })
  const thirdCrashAt: (number | undefined)[] = []
  const crashesUnder: number[] = []
  const lateSends: number[] = Array.from({ length: options.harmful }, () => 0)
  const ordinary: RequestCount = { sent: 0, answered: 0 }
  const popular: RequestCount = { sent: 0, answered: 0 }

  const pollLeader = (router: SimulatedRouter) => {
    const unreported = router.crashReports.listUnreported(router.term)
    const trial = leader.record(unreported.report)
    router.crashReports.recordReported(unreported, term)
    if (router.term !== term || router.suspectsSeen !== leader.revision()) {
      router.quarantine.applySuspects(
        JSON.parse(JSON.stringify(leader.list())) as SuspectedRequest[],
      )
    }
    if (trial !== undefined) router.quarantine.grantTrial(trial)
    router.term = term
    router.suspectsSeen = leader.revision()
  }
  const poll = (index: number) => {
    pollLeader(routers[index])
    const periodMs = Math.max(POLL_MS, options.routers * POLL_MS_PER_ROUTER)
    after(periodMs * (0.5 + random.next()), () => poll(index))
  }
  /** Restarts a router and polls at once: a router serves no requests before its first response from control. */
  const restartRouter = (index: number) => {
    routers[index] = createRouter()
    pollLeader(routers[index])
  }
  const crashServer = (server: SimulatedServer) => {
    if (!server.isUp) return
    server.isUp = false
    const interrupted = [...server.running]
    server.running.clear()
    for (const interrupt of interrupted) interrupt()
    after(RESTART_MS, () => {
      server.starts += 1
      server.id = toBackendServerId(`${server.id.split('@')[0]}@${server.starts}`)
      server.isUp = true
    })
  }
  const recordCrash = (index: number) => {
    crashes += 1
    crashesUnder[index] = (crashesUnder[index] ?? 0) + 1
    if (crashesUnder[index] === CRASHES_ALLOWED) thirdCrashAt[index] = timers.now()
  }
  const findHarmfulIndex = ({ fingerprint }: SimulatedRequest) => Number(fingerprint.split('.')[1])
  const countSend = (request: SimulatedRequest) => {
    if (!request.isHarmful) return
    const crashedAt = thirdCrashAt[findHarmfulIndex(request)] ?? Infinity
    if (timers.now() > crashedAt + REPORT_DELAY_MS) lateSends[findHarmfulIndex(request)] += 1
  }
  const send = (request: SimulatedRequest): void => {
    const router = routers[request.router]
    const { fingerprint } = request
    const admission = router.quarantine.admit(fingerprint)
    const availableServers = servers.filter(({ isUp }) => isUp)
    if (admission.kind === 'refused' || request.sends >= MAX_SENDS) return
    if (availableServers.length === 0) return admission.returnTrial()
    request.sends += 1
    countSend(request)
    const server = random.choose(availableServers)
    const { id } = server
    const interrupt = () => {
      after(DETECTION_DELAY_MS, () => {
        router.quarantine.recordCrash(id, fingerprint, admission.round)
        send(request)
      })
    }
    server.running.add(interrupt)
    if (request.isHarmful) {
      after(CRASH_AFTER_MS, () => {
        if (!server.running.has(interrupt)) return
        recordCrash(findHarmfulIndex(request))
        crashServer(server)
      })
      return
    }
    after(MIN_WORK_MS + random.next() * WORK_JITTER_MS, () => {
      if (!server.running.delete(interrupt)) return
      router.quarantine.recordAnswered(fingerprint)
      if (request.count) request.count.answered += 1
    })
  }
  const startRequest = (
    fingerprint: RequestFingerprint,
    isHarmful: boolean,
    count: RequestCount | undefined,
  ) => {
    const isCounted =
      timers.now() >= (options.countedFrom ?? SETTLED_MS) &&
      timers.now() < options.durationMs - UNCOUNTED_MS
    const counted = isCounted ? count : undefined
    if (counted) counted.sent += 1
    const router = random.nextInt(routers.length)
    send({ fingerprint, router, isHarmful, count: counted, sends: 0 })
  }
  let ordinaryCount = 0
  const repeat = (periodMs: number, run: () => void) => {
    after(periodMs * (0.5 + random.next()), () => {
      run()
      repeat(periodMs, run)
    })
  }
  routers.forEach((_, index) => poll(index))
  repeat(1_000 / options.ordinaryPerSecond, () => {
    ordinaryCount += 1
    startRequest(toRequestFingerprint(`ordinary.${ordinaryCount}`), false, ordinary)
  })
  repeat(1_000 / options.popularPerSecond, () => startRequest(POPULAR, false, popular))
  for (let index = 0; index < options.harmful; index += 1) {
    const fingerprint = toRequestFingerprint(`harmful.${index}`)
    repeat(HARMFUL_PERIOD_MS, () => startRequest(fingerprint, true, undefined))
  }
  for (const at of options.leaderChanges ?? []) {
    after(at, () => {
      term += 1
      leader = createLeader()
    })
  }
  for (const at of options.routerRestarts ?? []) {
    after(at, () => routers.forEach((_, index) => restartRouter(index)))
  }
  for (const at of options.powerLosses ?? []) after(at, () => servers.forEach(crashServer))
  for (let now = 0; now < options.durationMs; now += STEP_MS) {
    timers.advance(STEP_MS)
    await new Promise((resolve) => setImmediate(resolve))
  }
  const harmlessQuarantined = machine.quarantine
    .list()
    .filter(({ request }) => !request.startsWith('harmful.')).length
  return { crashes, lateSends, ordinary, popular, harmlessQuarantined }
}
