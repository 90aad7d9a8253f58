/** `spoolgate bench isolation`: what a change of a team's isolation costs the others in tokens, and control in time. */
import { createControlStateMachine } from '@spoolgate/control'
import { createRandomSource, toTeamId, type RandomSource } from '@spoolgate/core'
import { LRUCache } from 'lru-cache'
import { findPercentile, toRounded } from './statistics.js'

/** Options of {@link runIsolationBench}. */
export interface IsolationBenchOptions {
  readonly engines: number
  readonly teams: number
  /** Parts of prompts that all teams use. */
  readonly parts: number
  /** Tokens of each of them. */
  readonly partTokens: number
  /** Requests a second, over all engines. */
  readonly requestsPerSecond: number
  /** Time that is simulated before and after the change, in s. */
  readonly seconds: number
  /** Changes per day that isolate a team or end its isolation. */
  readonly changes: number
  readonly seed: number
}

/** Costs. Tokens are counted for the parts that all teams use; times are wall time. */
export interface IsolationBenchResult {
  /** Share of tokens found on the engine that a request came to, in the same time before and after the change. */
  readonly foundBefore: number
  readonly foundAfter: number
  /** Share in the first second after it. */
  readonly foundFirstSecond: number
  /** Tokens that the others read once more because of one change. */
  readonly reread: number
  /** Tokens that engines fetched from others because of it. */
  readonly moved: number
  /** Ratio of the tokens that a day's changes cause to be read again to all tokens of these parts. */
  readonly rereadOfDay: number
  /** Time of such a change at each control instance, without decoding the document. */
  readonly changeP50Us: number
  readonly changeP99Us: number
  /** What a snapshot holds for it. */
  readonly epochBytes: number
}

/** Engines among which the requests of one part are spread. */
const ENGINES_PER_PART = 8
const ENGINE_TOKENS = 100_000
const US_PER_MS = 1_000
const SECONDS_PER_DAY = 86_400

interface TokenCounts {
  total: number
  found: number
  moved: number
  read: number
}

/** Engines that keep parts under a salt; a part is fetched from another engine that keeps it, or read. */
function createEngines({ engines, partTokens }: IsolationBenchOptions) {
  const kept = Array.from(
    { length: engines },
    () => new LRUCache<string, true>({ max: Math.floor(ENGINE_TOKENS / partTokens) }),
  )
  return (part: number, salt: string, random: RandomSource, counts: TokenCounts) => {
    const key = `${salt}/${part}`
    const place = (turn: number) => kept[(part * ENGINES_PER_PART + turn) % engines]
    const engine = place(random.nextInt(ENGINES_PER_PART))
    const turns = Array.from({ length: ENGINES_PER_PART }, (_, turn) => place(turn))
    counts.total += partTokens
    if (engine.get(key)) counts.found += partTokens
    else if (turns.some((other) => other.has(key))) counts.moved += partTokens
    else counts.read += partTokens
    engine.set(key, true)
  }
}

/** Draws a part; the popularity of parts falls with their number. */
function drawPart(random: RandomSource, parts: number): number {
  return Math.floor(parts * random.next() ** 2)
}

function measureTokens(options: IsolationBenchOptions) {
  const { requestsPerSecond, seconds, parts, seed } = options
  const random = createRandomSource(seed)
  const serve = createEngines(options)
  const run = (salt: string, duration: number): TokenCounts => {
    const counts = { total: 0, found: 0, moved: 0, read: 0 }
    for (let count = 0; count < requestsPerSecond * duration; count += 1)
      serve(drawPart(random, parts), salt, random, counts)
    return counts
  }
  run('shared.1', seconds)
  const before = run('shared.1', seconds)
  const first = run('shared.2', 1)
  const rest = run('shared.2', seconds - 1)
  const sum = (name: keyof TokenCounts) => first[name] + rest[name]
  return { before, first, sum }
}

function measureChanges({ teams, changes }: IsolationBenchOptions) {
  let isolated = -1
  const listTeams = () =>
    Array.from({ length: teams }, (_, index) => ({
      id: toTeamId(`team-${index}`),
      isIsolated: index === isolated,
    }))
  const machine = createControlStateMachine({ listTeams })
  const times = Array.from({ length: changes }, (_, index) => {
    isolated = index % 2 === 0 ? index % teams : -1
    const startedAt = performance.now()
    machine.table.put({ kind: 'table.put', version: index + 1, document: '{}' })
    return (performance.now() - startedAt) * US_PER_MS
  })
  const saved = machine.table.save()
  const epochBytes = JSON.stringify(saved && 'cacheEpoch' in saved ? saved.cacheEpoch : {}).length
  return { times, epochBytes }
}

/** Runs the benchmark. */
export function runIsolationBench(options: IsolationBenchOptions): IsolationBenchResult {
  const { partTokens, requestsPerSecond, changes } = options
  const { before, first, sum } = measureTokens(options)
  const { times, epochBytes } = measureChanges(options)
  const reread = sum('read') - before.read
  return {
    foundBefore: toRounded(before.found / before.total, 4),
    foundAfter: toRounded(sum('found') / sum('total'), 4),
    foundFirstSecond: toRounded(first.found / first.total, 4),
    reread,
    moved: sum('moved') - before.moved,
    rereadOfDay: toRounded(
      (reread * changes) / (SECONDS_PER_DAY * requestsPerSecond * partTokens),
      6,
    ),
    changeP50Us: toRounded(findPercentile(times, 50)),
    changeP99Us: toRounded(findPercentile(times, 99)),
    epochBytes,
  }
}
