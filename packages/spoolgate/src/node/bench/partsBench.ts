/** `spoolgate bench parts`: what the quarantine of prompt parts costs a request, a crash, the leader and its memory. */
import {
  createControlStateMachine,
  createPartCoordinator,
  createPartCrashBuffer,
  type PartReport,
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
import { createAnsweredParts, createPartQuarantine, createPartShares } from '@spoolgate/router'
import { findPercentile, toRounded } from './statistics.js'

/** Options of {@link runPartsBench}. */
export interface PartsBenchOptions {
  readonly engines: number
  /** Requests in flight at an engine that crashes. */
  readonly requests: number
  /** Quarantined parts. */
  readonly quarantined: number
  readonly seed: number
}

/** Costs: processor time in microseconds, sizes in bytes. */
export interface PartsBenchResult {
  readonly requestP50Us: number
  readonly requestP99Us: number
  /** Report of one router about a crash with all requests of the engine. */
  readonly reportBytes: number
  readonly reportP50Us: number
  /** A report at the leader, with the search for a verdict, while it holds as many crashes as it keeps. */
  readonly leaderP50Us: number
  readonly leaderP99Us: number
  readonly listBytes: number
  readonly routerMemoryBytes: number
  readonly leaderMemoryBytes: number
}

const SHARED_PARTS = 3
const GROUP = 'engines'
const SAMPLES = 2_000
const CRASHES = 700
/** More parts than a router remembers. */
const HOSTILE_PARTS = 40_000
const STEP_MS = 25
const US_PER_MS = 1_000

function measureUs(run: () => void): number {
  const startedAt = performance.now()
  run()
  return (performance.now() - startedAt) * US_PER_MS
}

function measureHeap(): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}

/** Runs the benchmark. Its memory figures need Node's option --expose-gc. */
export function runPartsBench(options: PartsBenchOptions): PartsBenchResult {
  const { engines, requests, quarantined } = options
  const timers = createManualTimerService()
  const logger = createQuietLogger()
  const random = createRandomSource(options.seed)
  let parts = 0
  const drawNew = (): PromptPartId => {
    parts += 1
    return toPromptPartId(`${(parts * 2_654_435_761) % 2 ** 32}`.padStart(12, '0'))
  }
  const common = drawNew()
  const drawPrompt = () => [common, ...Array.from({ length: SHARED_PARTS - 1 }, () => drawNew())]

  const heapBefore = measureHeap()
  const answered = createAnsweredParts({ timers, isServing: () => true, onAnswered: () => {} })
  const { findAnsweredAt, hasEnoughResponses } = answered
  const buffer = createPartCrashBuffer({ timers, findAnsweredAt, hasEnoughResponses })
  const shares = createPartShares()
  const sendReport = () => {}
  const quarantine = createPartQuarantine({
    buffer,
    findAnsweredAt,
    hasEnoughResponses,
    sendReport,
    timers,
    logger,
  })
  quarantine.applyListed(Array.from({ length: quarantined }, () => [drawNew(), 1] as const))
  const server = toBackendServerId('engine-1')
  const requestUs = Array.from({ length: SAMPLES }, () => {
    const prompt = drawPrompt()
    return measureUs(() => {
      shares.recordRequest(GROUP, prompt)
      quarantine.findRefusal(prompt)
      answered.record({ server, parts: prompt, isFramed: true })
    })
  })
  for (let count = 0; count < HOSTILE_PARTS; count += 1)
    answered.record({ server, parts: [drawNew()], isFramed: true })
  const routerMemoryBytes = measureHeap() - heapBefore

  let report: PartReport = { crashes: [], answered: [], rejected: [] }
  const addCrash = (crashed: BackendServerId, sentAt: number) => {
    const prompt = drawPrompt()
    const sharesPercent = shares.measure(GROUP, prompt)
    const crashedAt = timers.now()
    buffer.addCrash({ server: crashed, parts: prompt, sharesPercent, sentAt, crashedAt })
  }
  const buildReport = (index: number) => {
    const crashed = toBackendServerId(`engine-${index % engines}@${index}`)
    const sentAt = timers.now() - STEP_MS / 2
    for (let count = 0; count < requests; count += 1) addCrash(crashed, sentAt)
    return measureUs(() => {
      const urgent = buffer.takeUrgent()
      if (!urgent) return
      report = urgent.report
      buffer.finishUrgent(urgent, 1)
    })
  }
  const heapBeforeLeader = measureHeap()
  const machine = createControlStateMachine()
  const leader = createPartCoordinator({
    member: {
      status: () => ({ term: 1 }) as never,
      propose: (command) => Promise.resolve(machine.apply(command, 1)),
    },
    parts: machine.quarantinedParts,
    countServers: () => engines,
    readWallClock: timers.now,
    timers,
    logger,
  })
  const reportUs: number[] = []
  const leaderUs: number[] = []
  for (let index = 0; index < CRASHES; index += 1) {
    timers.advance(STEP_MS * (1 + random.next()))
    answered.record({ server, parts: [common], isFramed: true })
    reportUs.push(buildReport(index))
    leaderUs.push(measureUs(() => void leader.record(report)))
  }
  const settled = leaderUs.slice(-CRASHES / 10)
  return {
    requestP50Us: toRounded(findPercentile(requestUs, 50)),
    requestP99Us: toRounded(findPercentile(requestUs, 99)),
    reportBytes: JSON.stringify(report).length,
    reportP50Us: toRounded(findPercentile(reportUs, 50)),
    leaderP50Us: toRounded(findPercentile(settled, 50)),
    leaderP99Us: toRounded(findPercentile(settled, 99)),
    listBytes: JSON.stringify(leader.list()).length,
    routerMemoryBytes,
    leaderMemoryBytes: measureHeap() - heapBeforeLeader,
  }
}
