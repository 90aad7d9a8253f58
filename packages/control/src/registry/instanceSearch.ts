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
  readonly send: (url: string, signal: AbortSignal) => Promise<Answer>
  readonly timers: TimerService
  readonly random: RandomSource
  readonly logger: Logger
  /** Log event of a search that takes long. */
  readonly logEvent: string
  /** What the asker holds, for the log. */
  readonly describeState: () => LogFields
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
  requestFrom(url: string, timeoutMs: number): Promise<InstanceAnswer<Answer> | undefined>
  /** Asks all instances until one answers; undefined once stopping. */
  run(): Promise<InstanceAnswer<Answer> | undefined>
}

/** Silence of an instance after which the next one is asked beside it, in ms. */
const HEDGE_DELAY_MS = 350
/**
 * Age of an ask after which its instance is asked again beside it, in ms: its connection may have
 * fallen silent without a reset, while the instance is well.
 */
const RESEND_AFTER_MS = 1_500
/**
 * Asks of one instance that are kept open; the oldest gives way. So each has 4.5 s at least, and the first
 * answers to 400 routers take a leader on a whole core 2 s.
 */
const MAX_REQUESTS_PER_INSTANCE = 3
/** Longest wait for one answer, in ms; only an instance that is out of reach is waited for so long. */
const REQUEST_TIMEOUT_MS = 8_000
/**
 * Pause after all instances were asked in vain, in ms; it doubles up to the longest. Instances that do
 * not listen yet refuse at once, and asking them takes a starting router's own processor.
 */
const MIN_BACKOFF_MS = 60
const MAX_BACKOFF_MS = 240
/** Part of a pause that is drawn, so that routers that started together do not ask together. */
const JITTER_RATIO = 0.5
/** Least time between two log lines of a search, in ms. */
const LOG_PERIOD_MS = 1_000

/** How an ask ended. */
type RequestOutcome<Answer> =
  | { readonly kind: 'answered'; readonly url: string; readonly answer: Answer }
  | { readonly kind: 'failed'; readonly url: string; readonly cause: unknown }

/** An ask in flight. */
interface PendingRequest<Answer> {
  readonly url: string
  readonly startedAt: number
  readonly outcome: Promise<RequestOutcome<Answer>>
  cancel(): void
}

/** Creates a search; nothing is asked yet. */
export function createInstanceSearch<Answer>(
  options: InstanceSearchOptions<Answer>,
): InstanceSearch<Answer> {
  const { timers, random, logger, stopping } = options
  /** Asks in flight, the oldest first. */
  const pending = new Set<PendingRequest<Answer>>()
  /** Why each instance has not answered. */
  const failureReasons = new Map<string, string>()
  let loggedAt = -Infinity

  const listPending = (url: string) => [...pending].filter((request) => request.url === url)
  const isRequestedRecently = (url: string) =>
    listPending(url).some(({ startedAt }) => timers.now() - startedAt < RESEND_AFTER_MS)
  const removeRequest = (request: PendingRequest<Answer>) => {
    pending.delete(request)
    request.cancel()
  }
  const startRequest = (url: string) => {
    const earlier = listPending(url)
    if (earlier.length >= MAX_REQUESTS_PER_INSTANCE) removeRequest(earlier[0])
    const cancellation = new AbortController()
    const timeLimit = createTimeLimit(timers, REQUEST_TIMEOUT_MS, [cancellation.signal, stopping])
    const outcome = options
      .send(url, timeLimit.signal)
      .then(
        (answer): RequestOutcome<Answer> => ({ kind: 'answered', url, answer }),
        (cause): RequestOutcome<Answer> => ({ kind: 'failed', url, cause }),
      )
      .finally(timeLimit.close)
    pending.add({
      url,
      startedAt: timers.now(),
      outcome,
      cancel: () => cancellation.abort(),
    })
    failureReasons.set(url, 'silent')
  }
  /** Waits for an ask that ends; undefined when none does in time. */
  const waitForOutcome = async (waitMs: number) => {
    const waiting = new AbortController()
    const timeout = waitFor(timers, waitMs, waiting.signal).then(() => undefined)
    const outcomes = [...pending].map(async (ask) => ({ ask, end: await ask.outcome }))
    const first = await Promise.race([...outcomes, timeout])
    waiting.abort()
    if (first) pending.delete(first.ask)
    return first?.end
  }
  const finishWith = ({ url, answer }: InstanceAnswer<Answer>): InstanceAnswer<Answer> => {
    for (const ask of pending) removeRequest(ask)
    failureReasons.clear()
    return { url, answer }
  }
  /** Notes why an instance did not answer; returns whom it named. */
  const recordFailure = ({ url, cause }: { url: string; cause: unknown }) => {
    const { kind, message } = toSpoolgateError(cause)
    failureReasons.set(url, `${kind}: ${message}`)
    return findLeaderUrl(cause)
  }
  const logSearch = (startedAt: number) => {
    if (timers.now() - loggedAt < LOG_PERIOD_MS) return
    loggedAt = timers.now()
    logger.warn(options.logEvent, {
      ...options.describeState(),
      searchingMs: Math.round(timers.now() - startedAt),
      answers: Object.fromEntries(failureReasons),
    })
  }
  const shuffle = (urls: readonly string[]) =>
    urls
      .map((url) => ({ url, rank: random.next() }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ url }) => url)

  /** Asks each instance once, whoever was named first; undefined when none answered. */
  const sendToAll = async (leaderHint: string | undefined) => {
    const queue = shuffle(options.listInstances())
    if (leaderHint !== undefined) queue.unshift(leaderHint)
    const contacted = new Set<string>()
    while (queue.length > 0 && !stopping.aborted) {
      const url = queue.shift() as string
      if (contacted.has(url) || isRequestedRecently(url)) continue
      contacted.add(url)
      startRequest(url)
      const ended = await waitForOutcome(HEDGE_DELAY_MS)
      if (ended?.kind === 'answered') return finishWith(ended)
      const leader = ended && recordFailure(ended)
      if (leader !== undefined) queue.unshift(leader)
    }
    return undefined
  }
  /** Waits out a pause, unless somebody answers or names a leader meanwhile. */
  const waitForBackoff = async (backoffMs: number) => {
    const deadline = timers.now() + backoffMs * (1 - random.next() * JITTER_RATIO)
    while (!stopping.aborted) {
      const ended = await waitForOutcome(Math.max(0, deadline - timers.now()))
      if (!ended) return {}
      if (ended.kind === 'answered') return { found: finishWith(ended) }
      const leaderHint = recordFailure(ended)
      if (leaderHint !== undefined) return { named: leaderHint }
    }
    return {}
  }
  return {
    requestFrom: async (url, timeoutMs) => {
      startRequest(url)
      const ended = await waitForOutcome(timeoutMs)
      if (ended?.kind === 'answered') return finishWith(ended)
      if (ended) recordFailure(ended)
      return undefined
    },
    run: async () => {
      const startedAt = timers.now()
      let backoffMs = MIN_BACKOFF_MS
      let leaderHint: string | undefined
      while (!stopping.aborted) {
        const found = await sendToAll(leaderHint)
        if (found) return found
        logSearch(startedAt)
        const waited = await waitForBackoff(backoffMs)
        if (waited.found) return waited.found
        leaderHint = waited.named
        backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2)
      }
      return undefined
    },
  }
}
