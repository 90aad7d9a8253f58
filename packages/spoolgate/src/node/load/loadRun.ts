/** Sends a workload at a given rate, open loop, and sums up what the callers saw. */
import { createRandomSource, waitFor, type HttpClient, type TimerService } from '@spoolgate/core'
import { build as createHistogram, type Histogram } from 'hdr-histogram-js'
import { sendWorkItem, type CallReport } from './caller.js'
import type { Workload } from './workload.js'

/** Options of {@link runLoad}. */
export interface LoadOptions {
  readonly client: HttpClient
  readonly timers: TimerService
  /** Routers; requests go to them in turn. */
  readonly urls: readonly string[]
  /** Caller key by team. */
  readonly keys: Readonly<Record<string, string>>
  readonly model: string
  readonly workload: Workload
  /** Requests a second, with exponential gaps. */
  readonly rate: number
  readonly seconds: number
  readonly seed: number
  /** Called for each finished request. @default nothing */
  readonly onReport?: (report: CallReport, finishedAt: number) => void
  /** Called once a second with the counts so far. @default nothing */
  readonly onProgress?: (summary: LoadSummary) => void
  /** Ends the run early. @default never */
  readonly signal?: AbortSignal
}

/** Counts and percentiles of a run; times in ms. */
export interface LoadSummary {
  readonly sent: number
  readonly whole: number
  readonly wrong: number
  readonly refused: number
  readonly failed: number
  readonly firstTokenP50: number
  readonly firstTokenP95: number
  readonly firstTokenP99: number
  readonly betweenTokensP95: number
  /** Prompt tokens found in caches, as a share of all. */
  readonly hitRate: number
  readonly promptTokens: number
  readonly computedTokens: number
}

const MS_PER_SECOND = 1_000
/** Histograms hold whole numbers; times are kept in hundredths of a millisecond. */
const SCALE = 100
const SIGNIFICANT_DIGITS = 3

function findPercentile(histogram: Histogram, percentile: number): number {
  return histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(percentile) / SCALE
}

/** Collects reports into a summary. */
export function createLoadTotals() {
  const firstToken = createHistogram({ numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
  const gaps = createHistogram({ numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
  const counts = { whole: 0, wrong: 0, refused: 0, failed: 0 }
  let promptTokens = 0
  let cachedTokens = 0
  return {
    record: (report: CallReport) => {
      counts[report.kind] += 1
      promptTokens += report.promptTokens
      cachedTokens += report.cachedTokens
      if (report.firstTokenMs !== undefined) {
        firstToken.recordValue(Math.round(report.firstTokenMs * SCALE))
      }
      for (const gap of report.gapsMs) gaps.recordValue(Math.round(gap * SCALE))
    },
    summarise: (): LoadSummary => ({
      sent: counts.whole + counts.wrong + counts.refused + counts.failed,
      ...counts,
      firstTokenP50: findPercentile(firstToken, 50),
      firstTokenP95: findPercentile(firstToken, 95),
      firstTokenP99: findPercentile(firstToken, 99),
      betweenTokensP95: findPercentile(gaps, 95),
      hitRate: promptTokens === 0 ? 0 : cachedTokens / promptTokens,
      promptTokens,
      computedTokens: promptTokens - cachedTokens,
    }),
  }
}

/** Runs a load to its end and waits for every answer. */
export async function runLoad(options: LoadOptions): Promise<LoadSummary> {
  const { timers, rate, urls, keys, client, model, workload } = options
  const random = createRandomSource(options.seed)
  const totals = createLoadTotals()
  const running = new Set<Promise<void>>()
  const startedAt = timers.now()
  const endsAt = startedAt + options.seconds * MS_PER_SECOND
  const progress = timers
    .every(MS_PER_SECOND)
    .subscribe(() => options.onProgress?.(totals.summarise()))

  const sendNext = (turn: number) => {
    const item = workload.next()
    const caller = { client, timers, model, url: urls[turn % urls.length], key: keys[item.team] }
    const work = sendWorkItem(caller, item).then((report) => {
      totals.record(report)
      options.onReport?.(report, timers.now())
    })
    running.add(work)
    void work.finally(() => running.delete(work))
  }
  let due = startedAt
  for (let turn = 0; ; turn += 1) {
    due += (-Math.log(1 - random.next()) / rate) * MS_PER_SECOND
    if (due >= endsAt || options.signal?.aborted) break
    const delay = due - timers.now()
    if (delay > 0) await waitFor(timers, delay, options.signal)
    sendNext(turn)
  }
  await Promise.all(running)
  progress.unsubscribe()
  return totals.summarise()
}
