/**
 * `spoolgate bench routing`: every policy on the same traffic, side by side in one run, with the
 * floor that full and instant knowledge would give.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { POLICY_NAMES, type PolicyName } from '@spoolgate/config'
import { createHttpClient, createQuietLogger, type BackendServerId } from '@spoolgate/core'
import type { PrefixChain, ReplyHints } from '@spoolgate/routing'
import type { CallReport } from '../load/caller.js'
import { runLoad } from '../load/loadRun.js'
import {
  createWorkload,
  WORKLOADS,
  type WorkItem,
  type Workload,
  type WorkloadName,
} from '../load/workload.js'
import { createLocalFleet, LOCAL_MODEL, type LocalFleet } from '../local/localFleet.js'
import { SCENARIOS, type ScenarioName } from './scenarios.js'
import { findPercentile, toRounded } from './statistics.js'

/** Options of {@link runRoutingBench}. */
export interface RoutingBenchOptions {
  readonly workload: WorkloadName
  readonly scenario: ScenarioName
  readonly seed: number
  /** Length of each policy's run, in seconds. */
  readonly seconds: number
  /** Requests a second. */
  readonly rate: number
  /** Policies to run; the oracle comes last. */
  readonly policies: readonly RoutingArm[]
}

/** A policy, or the floor of full knowledge. */
export type RoutingArm = PolicyName | 'oracle'

/** All arms in the order in which they are run. */
export const ROUTING_ARMS: readonly RoutingArm[] = [...POLICY_NAMES, 'oracle']

/** Figures of one policy; times in ms. */
export interface RoutingFigures {
  readonly policy: RoutingArm
  readonly sent: number
  readonly notWhole: number
  /** Prompt tokens found in caches, as a share of all. */
  readonly hitRate: number
  readonly firstTokenP50: number
  readonly firstTokenP95: number
  readonly firstTokenP99: number
  /** Prompt tokens computed beyond the first necessary time. */
  readonly recomputedTokens: number
  readonly refused: number
  /** The same before and after the fault of the scenario. */
  readonly p99Before: number
  readonly p99After: number
  /** Seconds after the fault until a second's p95 was within 20% of before, and stayed there. */
  readonly secondsToRecover: number
}

const ENGINES = 6
const ROUTERS = 4
const TEAMS = 8
/** Blocks of one engine's cache: six of them hold about a third of the working set. */
const CACHE_BLOCKS = 940
/** Part of each run that warms caches up and is not counted. */
const WARM_UP_SHARE = 0.25
const RECOVERY_RATIO = 1.2
const MS_PER_SECOND = 1_000

/** Tells how many tokens had to be computed at least once. */
function createNecessaryCount(name: WorkloadName) {
  const profile = WORKLOADS[name]
  const seen = new Set<string>()
  const addOnce = (key: string, tokens: number) => {
    if (seen.has(key)) return 0
    seen.add(key)
    return tokens
  }
  return (item: WorkItem) => {
    const [, table] = item.record.split('/')
    const levels =
      addOnce(item.team, profile.instructionTokens) +
      addOnce(`${item.team}/${table}`, profile.tableTokens) +
      addOnce(item.record, profile.recordTokens)
    return levels + profile.questionTokens
  }
}

/** What full knowledge would say: the cache as the engine has it, the queue as its sidecar has it. */
function readTruth(fleet: LocalFleet, index: number, chain: PrefixChain): ReplyHints | undefined {
  const engine = fleet.engines[index]
  const hints = fleet.sidecars[index]?.hints()
  const cached = chain.levels.findLast(({ hash }) => engine.hasBlock(hash))
  return hints && { ...hints, matchedTokens: cached?.tokens ?? 0, cacheLifetimeMs: Infinity }
}

async function startFleet(
  arm: RoutingArm,
  folder: string,
  name: WorkloadName,
): Promise<LocalFleet> {
  const parts: { fleet?: LocalFleet } = {}
  const findExactHints = (server: BackendServerId, chain: PrefixChain) => {
    const index = Number(String(server).split('-')[1])
    return parts.fleet && readTruth(parts.fleet, index, chain)
  }
  const fleet = await createLocalFleet({
    logger: createQuietLogger(),
    engines: ENGINES,
    routers: ROUTERS,
    services: 0,
    teams: TEAMS,
    createDataFolder: (index) => join(folder, `${arm}-${index}`),
    engine: { cacheBlocks: CACHE_BLOCKS },
    policy: arm === 'oracle' ? 'expectedFirstToken' : arm,
    findExactHints: arm === 'oracle' ? findExactHints : undefined,
    isFatal: false,
    adjust: (config) => ({
      ...config,
      templates: config.templates?.map((template) => ({
        ...template,
        parameters: { ...template.parameters, tailWeight: WORKLOADS[name].tailWeight },
      })),
    }),
  })
  parts.fleet = fleet
  return fleet
}

interface TimedReport {
  readonly report: CallReport
  /** Seconds since the start of the run. */
  readonly at: number
}

function listFirstTokens(reports: readonly TimedReport[], from: number, to: number): number[] {
  return reports
    .filter(({ at, report }) => at >= from && at < to && report.firstTokenMs !== undefined)
    .map(({ report }) => report.firstTokenMs ?? 0)
}

/** Finds when the p95 of single seconds was permanently back within bounds. */
function findRecovery(reports: readonly TimedReport[], fault: number, end: number, before: number) {
  let lastBad = fault
  for (let second = fault; second < end - 1; second += 1) {
    const p95 = findPercentile(listFirstTokens(reports, second, second + 1), 95)
    if (p95 > before * RECOVERY_RATIO) lastBad = second + 1
  }
  return lastBad - fault
}

function countComputed(fleet: LocalFleet): number {
  return fleet.engines.reduce((sum, engine) => sum + engine.totals().computedTokens, 0)
}

/** Wraps a workload so that what it hands out is counted from the end of the warm-up on. */
function createCountedWorkload(workload: Workload, name: WorkloadName) {
  const countNecessary = createNecessaryCount(name)
  let necessary = 0
  const counted: Workload = {
    shift: () => workload.shift(),
    next: () => {
      const item = workload.next()
      necessary += countNecessary(item)
      return item
    },
  }
  return { counted, necessary: () => necessary }
}

async function runArm(arm: RoutingArm, options: RoutingBenchOptions): Promise<RoutingFigures> {
  const folder = mkdtempSync(join(tmpdir(), 'spoolgate-routing-'))
  const fleet = await startFleet(arm, folder, options.workload)
  const client = createHttpClient()
  const { timers } = fleet
  const teams = Object.keys(fleet.callerKeys)
  const inner = createWorkload(options.workload, teams, options.seed)
  const { counted, necessary } = createCountedWorkload(inner, options.workload)
  const reports: TimedReport[] = []
  const startedAt = timers.now()
  const warmUntil = options.seconds * WARM_UP_SHARE
  const faultAt = (options.seconds + warmUntil) / 2
  const marks = { computed: 0, necessary: 0 }
  const warm = timers.after(warmUntil * MS_PER_SECOND).subscribe(() => {
    marks.computed = countComputed(fleet)
    marks.necessary = necessary()
  })
  const fault = timers.after(faultAt * MS_PER_SECOND).subscribe(() => {
    void SCENARIOS[options.scenario]({ fleet, workload: counted })
  })
  await runLoad({
    client,
    timers,
    urls: fleet.routerUrls,
    keys: fleet.callerKeys,
    model: LOCAL_MODEL,
    workload: counted,
    rate: options.rate,
    seconds: options.seconds,
    seed: options.seed,
    onReport: (report, finishedAt) =>
      reports.push({ report, at: (finishedAt - startedAt) / MS_PER_SECOND }),
  })
  const computed = countComputed(fleet) - marks.computed
  const needed = necessary() - marks.necessary
  warm.unsubscribe()
  fault.unsubscribe()
  client.close()
  await fleet.close()
  rmSync(folder, { recursive: true, force: true })

  const measured = reports.filter(({ at }) => at >= warmUntil)
  const firstTokens = listFirstTokens(measured, warmUntil, Infinity)
  const prompts = measured.reduce((sum, { report }) => sum + report.promptTokens, 0)
  const cached = measured.reduce((sum, { report }) => sum + report.cachedTokens, 0)
  const p95Before = findPercentile(listFirstTokens(measured, warmUntil, faultAt), 95)
  return {
    policy: arm,
    sent: measured.length,
    notWhole: measured.filter(({ report }) => report.kind !== 'whole').length,
    hitRate: toRounded(cached / prompts),
    firstTokenP50: toRounded(findPercentile(firstTokens, 50)),
    firstTokenP95: toRounded(findPercentile(firstTokens, 95)),
    firstTokenP99: toRounded(findPercentile(firstTokens, 99)),
    recomputedTokens: Math.max(0, computed - needed),
    refused: measured.filter(({ report }) => report.kind === 'refused').length,
    p99Before: toRounded(findPercentile(listFirstTokens(measured, warmUntil, faultAt), 99)),
    p99After: toRounded(findPercentile(listFirstTokens(measured, faultAt, Infinity), 99)),
    secondsToRecover: toRounded(findRecovery(measured, faultAt, options.seconds, p95Before)),
  }
}

/** Runs the benchmark, one policy after the other. */
export async function runRoutingBench(
  options: RoutingBenchOptions,
  onFigures: (figures: RoutingFigures) => void,
): Promise<RoutingFigures[]> {
  const all: RoutingFigures[] = []
  for (const arm of options.policies) {
    const figures = await runArm(arm, options)
    all.push(figures)
    onFigures(figures)
  }
  return all
}
