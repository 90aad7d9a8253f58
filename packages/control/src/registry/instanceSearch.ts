/**
 * Finding a control instance that can answer, such as the one that leads. Instances are asked one after
 * the other. One that is silent is not given up: the next is asked beside it, and whoever answers first
 * counts. A try that takes long, since an instance is busy or its answer large, is so never begun anew.
 */
import {
  createTimeLimit,
  toSpoolgateError,
  waitFor,
  type LogFields,
  type Logger,
  type RandomSource,
  type TimerService,
} from '@spoolgate/core'
import { findLeaderUrl } from '../group/groupKeeper.js'

/** Options of {@link createInstanceSearch}. */
export interface InstanceSearchOptions<Answer> {
  /** URLs of the instances to ask. */
  readonly listInstances: () => readonly string[]
  /** Asks one instance; rejects where that one cannot answer. */
  readonly ask: (url: string, signal: AbortSignal) => Promise<Answer>
  readonly timers: TimerService
  readonly random: RandomSource
  readonly logger: Logger
  /** Log event of a search that takes long. */
  readonly searchEvent: string
  /** What the asker holds, for the log. */
  readonly listState: () => LogFields
  readonly stopping: AbortSignal
}

/** An instance with its answer. */
export interface InstanceAnswer<Answer> {
  readonly url: string
  readonly answer: Answer
}

/** The search; see {@link createInstanceSearch}. */
export interface InstanceSearch<Answer> {
  /**
   * Asks an instance that answered lately. Undefined when it does not answer within `patienceMs`; the ask
   * goes on then, and {@link InstanceSearch.run} takes its answer.
   */
  askFirst(url: string, patienceMs: number): Promise<InstanceAnswer<Answer> | undefined>
  /** Asks all instances until one answers; undefined once stopping. */
  run(): Promise<InstanceAnswer<Answer> | undefined>
}

/** Silence of an instance after which the next one is asked beside it, in ms. */
const SILENT_MS = 350
/**
 * Age of an ask after which its instance is asked again beside it, in ms: its connection may have
 * fallen silent without a reset, while the instance is well.
 */
const REPEAT_MS = 1_500
/**
 * Asks of one instance that are kept open; the oldest gives way. So each has 4.5 s at least, and the first
 * answers to 400 routers take a leader on a whole core 2 s.
 */
const MAX_PER_INSTANCE = 3
/** Longest wait for one answer, in ms; only an instance that is out of reach is waited for so long. */
const ASK_LIMIT_MS = 8_000
/**
 * Pause after all instances were asked in vain, in ms; it doubles up to the longest. Instances that do
 * not listen yet refuse at once, and asking them takes a starting router's own processor.
 */
const FIRST_PAUSE_MS = 60
const LONGEST_PAUSE_MS = 240
/** Part of a pause that is drawn, so that routers that started together do not ask together. */
const DRAWN_RATIO = 0.5
/** Least time between two log lines of a search, in ms. */
const REPORT_PERIOD_MS = 1_000

/** How an ask ended. */
type EndedAsk<Answer> =
  | { readonly kind: 'answered'; readonly url: string; readonly answer: Answer }
  | { readonly kind: 'failed'; readonly url: string; readonly cause: unknown }

/** An ask in flight. */
interface OpenAsk<Answer> {
  readonly url: string
  readonly startedAt: number
  readonly ended: Promise<EndedAsk<Answer>>
  cancel(): void
}

/** Creates a search; nothing is asked yet. */
export function createInstanceSearch<Answer>(
  options: InstanceSearchOptions<Answer>,
): InstanceSearch<Answer> {
  const { timers, random, logger, stopping } = options
  /** Asks in flight, the oldest first. */
  const open = new Set<OpenAsk<Answer>>()
  /** Why each instance has not answered. */
  const reasons = new Map<string, string>()
  let reportedAt = -Infinity

  const listOpen = (url: string) => [...open].filter((ask) => ask.url === url)
  const isAskedLately = (url: string) =>
    listOpen(url).some(({ startedAt }) => timers.now() - startedAt < REPEAT_MS)
  const removeAsk = (ask: OpenAsk<Answer>) => {
    open.delete(ask)
    ask.cancel()
  }
  const startAsk = (url: string) => {
    const before = listOpen(url)
    if (before.length >= MAX_PER_INSTANCE) removeAsk(before[0])
    const leaving = new AbortController()
    const limit = createTimeLimit(timers, ASK_LIMIT_MS, [leaving.signal, stopping])
    const ended = options
      .ask(url, limit.signal)
      .then(
        (answer): EndedAsk<Answer> => ({ kind: 'answered', url, answer }),
        (cause): EndedAsk<Answer> => ({ kind: 'failed', url, cause }),
      )
      .finally(limit.close)
    open.add({ url, startedAt: timers.now(), ended, cancel: () => leaving.abort() })
    reasons.set(url, 'silent')
  }
  /** Waits for an ask that ends; undefined when none does in time. */
  const waitForEnded = async (waitMs: number) => {
    const waiting = new AbortController()
    const late = waitFor(timers, waitMs, waiting.signal).then(() => undefined)
    const ends = [...open].map(async (ask) => ({ ask, end: await ask.ended }))
    const first = await Promise.race([...ends, late])
    waiting.abort()
    if (first) open.delete(first.ask)
    return first?.end
  }
  const settle = ({ url, answer }: InstanceAnswer<Answer>): InstanceAnswer<Answer> => {
    for (const ask of open) removeAsk(ask)
    reasons.clear()
    return { url, answer }
  }
  /** Notes why an instance did not answer; returns whom it named. */
  const recordFailure = ({ url, cause }: { url: string; cause: unknown }) => {
    const { kind, message } = toSpoolgateError(cause)
    reasons.set(url, `${kind}: ${message}`)
    return findLeaderUrl(cause)
  }
  const report = (startedAt: number) => {
    if (timers.now() - reportedAt < REPORT_PERIOD_MS) return
    reportedAt = timers.now()
    logger.warn(options.searchEvent, {
      ...options.listState(),
      searchingMs: Math.round(timers.now() - startedAt),
      answers: Object.fromEntries(reasons),
    })
  }
  const shuffle = (urls: readonly string[]) =>
    urls
      .map((url) => ({ url, rank: random.next() }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ url }) => url)

  /** Asks each instance once, whoever was named first; undefined when none answered. */
  const askAll = async (named: string | undefined) => {
    const queue = shuffle(options.listInstances())
    if (named !== undefined) queue.unshift(named)
    const asked = new Set<string>()
    while (queue.length > 0 && !stopping.aborted) {
      const url = queue.shift() as string
      if (asked.has(url) || isAskedLately(url)) continue
      asked.add(url)
      startAsk(url)
      const ended = await waitForEnded(SILENT_MS)
      if (ended?.kind === 'answered') return settle(ended)
      const leader = ended && recordFailure(ended)
      if (leader !== undefined) queue.unshift(leader)
    }
    return undefined
  }
  /** Waits out a pause, unless somebody answers or names a leader meanwhile. */
  const pause = async (pauseMs: number) => {
    const until = timers.now() + pauseMs * (1 - random.next() * DRAWN_RATIO)
    while (!stopping.aborted) {
      const ended = await waitForEnded(Math.max(0, until - timers.now()))
      if (!ended) return {}
      if (ended.kind === 'answered') return { found: settle(ended) }
      const named = recordFailure(ended)
      if (named !== undefined) return { named }
    }
    return {}
  }
  return {
    askFirst: async (url, patienceMs) => {
      startAsk(url)
      const ended = await waitForEnded(patienceMs)
      if (ended?.kind === 'answered') return settle(ended)
      if (ended) recordFailure(ended)
      return undefined
    },
    run: async () => {
      const startedAt = timers.now()
      let pauseMs = FIRST_PAUSE_MS
      let named: string | undefined
      while (!stopping.aborted) {
        const found = await askAll(named)
        if (found) return found
        report(startedAt)
        const paused = await pause(pauseMs)
        if (paused.found) return paused.found
        named = paused.named
        pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2)
      }
      return undefined
    },
  }
}
