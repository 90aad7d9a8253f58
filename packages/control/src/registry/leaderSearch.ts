/**
 * Finding the control instance that leads. Instances are asked one after the other. One that is silent
 * is not given up: the next is asked beside it, and whoever answers first is the leader. A try that
 * takes long, since the leader is busy or its answer large, is so never begun anew.
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

/** Options of {@link createLeaderSearch}. */
export interface LeaderSearchOptions<Answer> {
  /** URLs of the instances to ask. */
  readonly listInstances: () => readonly string[]
  /** Asks one instance; only the leader answers. */
  readonly ask: (url: string, signal: AbortSignal) => Promise<Answer>
  readonly timers: TimerService
  readonly random: RandomSource
  readonly logger: Logger
  /** What the asker holds, for the log. */
  readonly listState: () => LogFields
  readonly stopping: AbortSignal
}

/** A leader with its answer. */
export interface FoundLeader<Answer> {
  readonly url: string
  readonly answer: Answer
}

/** The search; see {@link createLeaderSearch}. */
export interface LeaderSearch<Answer> {
  /**
   * Asks an instance that led lately. Undefined when it does not answer within `patienceMs`; the ask
   * goes on then, and {@link LeaderSearch.run} takes its answer.
   */
  askFirst(url: string, patienceMs: number): Promise<FoundLeader<Answer> | undefined>
  /** Asks all instances until one answers; undefined once stopping. */
  run(): Promise<FoundLeader<Answer> | undefined>
}

/** Silence of an instance after which the next one is asked beside it, in ms. */
const SILENT_MS = 350
/**
 * Longest wait for one answer, in ms: the first answers to 400 routers take a leader 3 s. An instance
 * that is out of reach holds nobody up for so long, since the others are asked beside it.
 */
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

/** Creates a search; nothing is asked yet. */
export function createLeaderSearch<Answer>(
  options: LeaderSearchOptions<Answer>,
): LeaderSearch<Answer> {
  const { timers, random, logger, stopping } = options
  /** Asks under way, by URL. */
  const open = new Map<string, Promise<EndedAsk<Answer>>>()
  /** Why each instance has not answered. */
  const reasons = new Map<string, string>()
  let ending = new AbortController()
  let reportedAt = -Infinity

  const startAsk = (url: string) => {
    const limit = createTimeLimit(timers, ASK_LIMIT_MS, [ending.signal, stopping])
    const ended = options
      .ask(url, limit.signal)
      .then(
        (answer): EndedAsk<Answer> => ({ kind: 'answered', url, answer }),
        (cause): EndedAsk<Answer> => ({ kind: 'failed', url, cause }),
      )
      .finally(limit.close)
    open.set(url, ended)
    reasons.set(url, 'silent')
  }
  /** Waits for an ask that ends; undefined when none does in time. */
  const waitForEnded = async (waitMs: number) => {
    const waiting = new AbortController()
    const late = waitFor(timers, waitMs, waiting.signal).then(() => undefined)
    const ended = await Promise.race([...open.values(), late])
    waiting.abort()
    if (ended) open.delete(ended.url)
    return ended
  }
  const settle = ({ url, answer }: FoundLeader<Answer>): FoundLeader<Answer> => {
    ending.abort()
    ending = new AbortController()
    open.clear()
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
    logger.warn('control.searching', {
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
    const asked = new Set(open.keys())
    while (queue.length > 0 && !stopping.aborted) {
      const url = queue.shift() as string
      if (asked.has(url)) continue
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
