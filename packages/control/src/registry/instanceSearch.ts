/**
 * Finds a control instance that can answer, such as the leader, with hedged requests: when an instance does not answer
 * within a short delay, the next one is contacted in parallel and the first answer wins. Slow requests stay open, so
 * that a busy instance or a large answer does not cause the request to start over.
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
import { findLeaderUrl } from '../group/membershipManager.js'

/** Options of {@link createInstanceSearch}. */
export interface InstanceSearchOptions<Answer> {
  /** Lists the URLs of the instances to contact. */
  readonly listInstances: () => readonly string[]
  /** Sends the request to one instance; rejects if that instance cannot answer. */
  readonly send: (url: string, signal: AbortSignal) => Promise<Answer>
  readonly timers: TimerService
  readonly random: RandomSource
  readonly logger: Logger
  /** Name of the event logged while a search continues. */
  readonly logEvent: string
  /** Returns the caller's state, to be included in the log. */
  readonly describeState: () => LogFields
  readonly stopping: AbortSignal
}

/** An answer and the instance that gave it. */
export interface InstanceAnswer<Answer> {
  readonly url: string
  readonly answer: Answer
}

/** See {@link createInstanceSearch}. */
export interface InstanceSearch<Answer> {
  /**
   * Sends a request to an instance that answered recently. Returns undefined if there is no answer within `timeoutMs`;
   * the request then stays open, and {@link InstanceSearch.run} accepts its answer.
   */
  requestFrom(url: string, timeoutMs: number): Promise<InstanceAnswer<Answer> | undefined>
  /** Contacts the instances in turn until one answers; returns undefined once `stopping` is aborted. */
  run(): Promise<InstanceAnswer<Answer> | undefined>
}

/** Time without an answer after which the next instance is contacted in parallel, in ms. */
export const SILENT_INSTANCE_MS = 350
/**
 * Age of a request after which a second one is sent to the same instance in parallel, in ms: the connection may have
 * died without a reset while the instance is healthy.
 */
const RESEND_AFTER_MS = 1_500
/**
 * Maximum number of open requests per instance; the oldest is cancelled for a new one. Each request thus has at least
 * 4.5 s, while a leader with a full core needs 2 s for the first answers to 400 routers.
 */
const MAX_REQUESTS_PER_INSTANCE = 3
/** Request timeout, in ms; reached only with unreachable instances. */
const REQUEST_TIMEOUT_MS = 8_000
/**
 * Initial backoff after no instance answered, in ms; it doubles up to the maximum. Instances that are not listening yet
 * refuse connections immediately, and retrying without a pause would take CPU time from a starting router.
 */
const MIN_BACKOFF_MS = 60
const MAX_BACKOFF_MS = 240
/** Random fraction of a backoff, so that routers that start together do not retry in step. */
const JITTER_RATIO = 0.5
/** Minimum interval between log lines of a search, in ms. */
const LOG_PERIOD_MS = 1_000

/** Outcome of a request. */
type RequestOutcome<Answer> =
  | { readonly kind: 'answered'; readonly url: string; readonly answer: Answer }
  | { readonly kind: 'failed'; readonly url: string; readonly cause: unknown }

/** A request in flight. */
interface PendingRequest<Answer> {
  readonly url: string
  readonly startedAt: number
  readonly outcome: Promise<RequestOutcome<Answer>>
  cancel(): void
}

/** Creates a search; no request is sent yet. */
export function createInstanceSearch<Answer>(
  options: InstanceSearchOptions<Answer>,
): InstanceSearch<Answer> {
  const { timers, random, logger, stopping } = options
  /** Requests in flight, the oldest first. */
  const pending = new Set<PendingRequest<Answer>>()
  /** Why each instance has not answered, by URL. */
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
  /** Waits for any request to end; returns undefined after `waitMs`. */
  const waitForOutcome = async (waitMs: number) => {
    const cancellation = new AbortController()
    const timeout = waitFor(timers, waitMs, cancellation.signal).then(() => undefined)
    const outcomes = [...pending].map(async (request) => ({
      request,
      end: await request.outcome,
    }))
    const first = await Promise.race([...outcomes, timeout])
    cancellation.abort()
    if (first) pending.delete(first.request)
    return first?.end
  }
  const finishWith = ({ url, answer }: InstanceAnswer<Answer>): InstanceAnswer<Answer> => {
    for (const request of pending) removeRequest(request)
    failureReasons.clear()
    return { url, answer }
  }
  /** Records why an instance did not answer; returns the URL of the leader if the error includes it. */
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

  /** Contacts each instance once, a hinted leader first; returns undefined if none answered. */
  const sendToAll = async (leaderHint: string | undefined) => {
    const queue = shuffle(options.listInstances())
    if (leaderHint !== undefined) queue.unshift(leaderHint)
    const contacted = new Set<string>()
    while (queue.length > 0 && !stopping.aborted) {
      const url = queue.shift() as string
      if (contacted.has(url) || isRequestedRecently(url)) continue
      contacted.add(url)
      startRequest(url)
      const outcome = await waitForOutcome(SILENT_INSTANCE_MS)
      if (outcome?.kind === 'answered') return finishWith(outcome)
      const leader = outcome && recordFailure(outcome)
      if (leader !== undefined) queue.unshift(leader)
    }
    return undefined
  }
  /** Waits for the backoff to elapse, or until an instance answers or names a leader. */
  const waitForBackoff = async (backoffMs: number) => {
    const deadline = timers.now() + backoffMs * (1 - random.next() * JITTER_RATIO)
    while (!stopping.aborted) {
      const outcome = await waitForOutcome(Math.max(0, deadline - timers.now()))
      if (!outcome) return {}
      if (outcome.kind === 'answered') return { found: finishWith(outcome) }
      const leaderHint = recordFailure(outcome)
      if (leaderHint !== undefined) return { named: leaderHint }
    }
    return {}
  }
  return {
    requestFrom: async (url, timeoutMs) => {
      startRequest(url)
      const outcome = await waitForOutcome(timeoutMs)
      if (outcome?.kind === 'answered') return finishWith(outcome)
      if (outcome) recordFailure(outcome)
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
