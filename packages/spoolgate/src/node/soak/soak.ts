/**
 * `spoolgate soak`: a whole fleet under seeded faults, judged from outside. Callers compare every
 * answer with what the engines must generate, services count executions, and every refusal that
 * says not run is looked up.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import {
  createHttpClient,
  createRandomSource,
  waitFor,
  type Logger,
  type RandomSource,
} from '@spoolgate/core'
import { sendWorkItem, type CallReport } from '../load/caller.js'
import { createWorkload } from '../load/workload.js'
import { createLocalFleet, LOCAL_MODEL, type LocalFleet } from '../local/localFleet.js'
import { FAULTS, type FaultContext } from './faults.js'
import { createOperators } from './operators.js'
import { createReceiptCaller, type ReceiptCounts } from './receipts.js'

/** Options of {@link runSoak}. */
export interface SoakOptions {
  readonly seed: number
  /** Requests for generation after which the run ends. */
  readonly requests: number
  /** Bound on the run in seconds, whatever was sent; 0 for none. */
  readonly seconds: number
  readonly logger: Logger
  /** Called with a line of progress about once a second. */
  readonly onProgress: (text: string) => void
}

/** What a soak run came to. */
export interface SoakResult {
  readonly seed: number
  readonly requests: number
  readonly whole: number
  /** Refused as not run; looked up to be true. */
  readonly refused: number
  /** Refusals by error code; `unsent` where no connection was made. */
  readonly refusals: Readonly<Record<string, number>>
  /** Ended with an explicit error. */
  readonly failed: number
  /** Cut with a router that was killed, or reset before a stopping one had accepted them. */
  readonly cut: number
  readonly receipts: ReceiptCounts
  readonly faults: Readonly<Record<string, number>>
  readonly changesAccepted: number
  readonly violations: readonly string[]
}

const ROUTERS = 2
const ENGINES = 4
const SERVICES = 2
const CONTROLS = 3
const TEAMS = 8
const CALLERS = 10
const FAULT_PERIOD_MS = 700
const DOUBLE_FAULT_SHARE = 0.3
const RECEIPT_PERIOD_MS = 60
const CHANGE_PERIOD_MS = 400
const SETTLE_MS = 20_000
const MS_PER_SECOND = 1_000
const MAX_VIOLATIONS = 20
/** Time for which a connection may wait to be accepted, in ms. */
const REFUSED_CONNECTION_MS = 500

/** A run in progress. */
interface SoakRun {
  readonly fleet: LocalFleet
  readonly random: RandomSource
  readonly violations: string[]
  readonly faults: Record<string, number>
  readonly refusals: Record<string, number>
  /** Instants at which routers were killed. */
  readonly routerKills: number[]
  /** Instants at which routers were stopped as planned. */
  readonly routerStops: number[]
  isRunning: boolean
}

function addViolation(run: Pick<SoakRun, 'violations'>, text: string): void {
  if (run.violations.length < MAX_VIOLATIONS) run.violations.push(text)
}

/** Runs one fault, or two at once, and waits until they are undone. */
async function runNextFaults(run: SoakRun, context: FaultContext): Promise<void> {
  const names = Object.keys(FAULTS)
  const pending: Promise<void>[] = []
  const count = run.random.next() < DOUBLE_FAULT_SHARE ? 2 : 1
  for (let index = 0; index < count && run.isRunning; index += 1) {
    const name = run.random.choose(names)
    run.faults[name] = (run.faults[name] ?? 0) + 1
    const work = FAULTS[name](context).catch((cause) =>
      addViolation(run, `fault ${name} could not be undone: ${String(cause)}`),
    )
    pending.push(work)
  }
  await Promise.all(pending)
}

/** Repeats work at a period, several at once if it takes longer. */
async function runPeriodically(run: SoakRun, periodMs: number, work: () => Promise<void>) {
  const pending = new Set<Promise<void>>()
  while (run.isRunning) {
    await waitFor(run.fleet.timers, periodMs)
    const started = work()
    pending.add(started)
    void started.finally(() => pending.delete(started))
  }
  await Promise.all(pending)
}

/** Counts a refusal and looks up whether it is true that nothing ran. */
function checkRefusal(run: SoakRun, { request, error }: CallReport): void {
  const code = error?.kind ?? 'unsent'
  run.refusals[code] = (run.refusals[code] ?? 0) + 1
  if (request === undefined) return
  const ran = run.fleet.engines.some((engine) => engine.started.has(request))
  if (ran) addViolation(run, `${request}: refused as not run, but an engine started it`)
}

/** Judges one answer; returns how it is counted. */
function judgeReport(run: SoakRun, report: CallReport, startedAt: number): keyof SoakCounts {
  const { kind, request } = report
  if (kind === 'wrong') addViolation(run, `${request}: answer is not the expected one`)
  if (kind === 'refused') checkRefusal(run, report)
  if (kind === 'wrong') return 'failed'
  const isExplicit = report.error !== undefined || report.hasErrorEvent
  if (kind !== 'failed' || isExplicit) return kind
  const wasCut = (endedAt: number) => endedAt >= startedAt - REFUSED_CONNECTION_MS
  if (run.routerKills.some(wasCut)) return 'cut'
  // A connection that a stopping router had not yet accepted is reset before anyone has read of it.
  if (request === undefined && run.routerStops.some(wasCut)) return 'cut'
  addViolation(run, `${request}: the answer was lost without a word`)
  return 'failed'
}

interface SoakCounts {
  whole: number
  refused: number
  failed: number
  cut: number
}

/** Finds the versions that control instances and nodes run; one when all agree. */
function findVersions({ fleet }: SoakRun): Set<number | undefined> {
  const versions = fleet.controls.map((control) => control?.machine.config.version())
  const nodes = [...fleet.routers, ...fleet.sidecars].map((node) => node?.config.version())
  return new Set([...versions, ...nodes])
}

function checkVersions(run: SoakRun): void {
  const all = findVersions(run)
  if (all.size > 1) addViolation(run, `versions differ at the end: ${[...all].join(', ')}`)
}

async function waitForOneVersion(run: SoakRun): Promise<void> {
  const { timers } = run.fleet
  const endsAt = timers.now() + SETTLE_MS
  while (findVersions(run).size > 1 && timers.now() < endsAt) await waitFor(timers, 100)
}

function countInvariants(fleet: LocalFleet): number {
  const parts = [...fleet.routers, ...fleet.sidecars, ...fleet.controls]
  return parts.reduce((sum, part) => sum + (part?.invariants.violations() ?? 0), 0)
}

/** Runs a soak to its end. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const folder = mkdtempSync(join(tmpdir(), 'spoolgate-soak-'))
  const cutLinks = new Set<string>()
  const fleet = await createLocalFleet({
    logger: options.logger,
    routers: ROUTERS,
    engines: ENGINES,
    services: SERVICES,
    controls: CONTROLS,
    teams: TEAMS,
    isFatal: false,
    createDataFolder: (index) => join(folder, String(index)),
    isCut: (from, to) => cutLinks.has(`${from}>${to}`),
    engine: { costs: { stepBaseMs: 3 }, cacheBlocks: 1_500 },
  })
  const run: SoakRun = {
    fleet,
    random: createRandomSource(options.seed),
    violations: [],
    faults: {},
    refusals: {},
    routerKills: [],
    routerStops: [],
    isRunning: true,
  }
  const workload = createWorkload('anaca', Object.keys(fleet.callerKeys), options.seed)
  const client = createHttpClient()
  const counts: SoakCounts = { whole: 0, refused: 0, failed: 0, cut: 0 }
  const countAll = () => counts.whole + counts.refused + counts.failed + counts.cut
  const receipts = createReceiptCaller(fleet, run.random, (text) => addViolation(run, text))
  const operators = createOperators(fleet, run.random, (text) => addViolation(run, text))
  const endsAt =
    options.seconds === 0 ? Infinity : fleet.timers.now() + options.seconds * MS_PER_SECOND

  const runCaller = async () => {
    while (run.isRunning) {
      const item = workload.next()
      const startedAt = fleet.timers.now()
      const url = run.random.choose(fleet.routerUrls)
      const key = fleet.callerKeys[item.team]
      const caller = { client, timers: fleet.timers, url, key, model: LOCAL_MODEL, isFresh: true }
      const report = await sendWorkItem(caller, item)
      counts[judgeReport(run, report, startedAt)] += 1
      if (report.kind !== 'whole') await waitFor(fleet.timers, 50)
      if (countAll() >= options.requests || fleet.timers.now() >= endsAt) run.isRunning = false
      if (run.violations.length > 0) run.isRunning = false
    }
  }
  const progress = fleet.timers.every(MS_PER_SECOND).subscribe(() => {
    const { whole, refused, failed, cut } = counts
    const faults = Object.values(run.faults).reduce((sum, count) => sum + count, 0)
    options.onProgress(
      `whole=${whole} refused=${refused} failed=${failed} cut=${cut} receipts=${receipts.counts.sent} faults=${faults} violations=${run.violations.length}`,
    )
  })
  const context: FaultContext = {
    fleet,
    workload,
    random: run.random,
    cutLinks,
    held: new Set(),
    onRouterKilled: () => void run.routerKills.push(fleet.timers.now()),
    onRouterStopped: () => void run.routerStops.push(fleet.timers.now()),
  }
  await Promise.all([
    ...Array.from({ length: CALLERS }, runCaller),
    runPeriodically(run, FAULT_PERIOD_MS, () => runNextFaults(run, context)),
    runPeriodically(run, RECEIPT_PERIOD_MS, receipts.send),
    runPeriodically(run, CHANGE_PERIOD_MS, operators.race),
  ])
  await waitForOneVersion(run)
  checkVersions(run)
  receipts.checkAll()
  operators.checkAll()
  const broken = countInvariants(fleet)
  if (broken > 0) addViolation(run, `${broken} invariants were violated; see the log`)
  progress.unsubscribe()
  client.close()
  await fleet.close()
  rmSync(folder, { recursive: true, force: true })
  return {
    seed: options.seed,
    requests: countAll(),
    ...counts,
    receipts: receipts.counts,
    faults: run.faults,
    refusals: run.refusals,
    changesAccepted: operators.accepted(),
    violations: run.violations,
  }
}
