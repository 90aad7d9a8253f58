/**
 * Graceful shutdown of a router: tracks the requests in progress, rejects those that cannot finish before the
 * shutdown deadline, and logs the requests that are cut off at the deadline.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { lastValueFrom, ReplaySubject, Subject, type Observable } from 'rxjs'
import {
  SpoolgateError,
  waitFor,
  type ConnectionTracker,
  type Counter,
  type LogFields,
  type Logger,
  type TimerService,
} from '@spoolgate/core'
import type { CallPlan } from './callTypes.js'
import type { CallerProtocol, DirectCall } from './protocols.js'

/** A request in progress: from its arrival until the response is sent or the connection closes. */
export interface TrackedRequest {
  /** Records the decoded call once the request head has been read. */
  recordCall(call: DirectCall): void
  /** Records the route and deadline of the request once they are known. */
  recordPlan(plan: CallPlan): void
  /**
   * Waits, during the shutdown, for the requests ahead on the same connection whose end may close it: no response could
   * be sent after that. Resolves at once while no shutdown is in progress.
   */
  waitForTurn(): Promise<void>
}

/** Graceful shutdown of one router; see {@link createGracefulShutdown}. */
export interface GracefulShutdown {
  isStopping(): boolean
  /** Emits once, when requests that still wait must be refused so that their responses are sent before the end. */
  readonly ending: Observable<void>
  /**
   * Returns how long a request body may take to arrive so that the request can still be answered, in ms;
   * Infinity while no shutdown is in progress.
   */
  findBodyTimeoutMs(): number
  /**
   * Returns the error for a request that must not be forwarded because its deadline lies after the end of the
   * shutdown; undefined if it may be forwarded.
   */
  findRefusal(plan: CallPlan): SpoolgateError | undefined
  /**
   * Tracks a request that has just arrived until its response is closed. Returns undefined if an earlier response
   * has already announced the close of its connection, so that no response can be sent on it.
   */
  track(request: IncomingMessage, response: ServerResponse): TrackedRequest | undefined
  /** Starts the shutdown; requests still in progress after `drainMs` are cut off. */
  start(drainMs: number): void
  /** Waits until no request is in progress or `drainMs` has elapsed. */
  waitUntilIdle(): Promise<void>
  /** Logs the requests still in progress, which are about to be cut off, and returns their number. */
  reportCutOff(): number
}

/** Options of {@link createGracefulShutdown}. */
export interface GracefulShutdownOptions {
  readonly timers: TimerService
  readonly logger: Logger
  /** Connections of the callers. */
  readonly connections: Pick<ConnectionTracker, 'take' | 'startStop'>
  /** Counts the requests that were cut off by a shutdown. */
  readonly cutOff: Counter
  /** Refuses requests for which there is no room. */
  readonly caller: Pick<CallerProtocol, 'sendRefusal'>
}

/** Interval at which a shutdown checks for requests in progress, in ms. */
const IDLE_CHECK_INTERVAL_MS = 20
/** Time reserved for the error response to a request that reaches its deadline, in ms: five idle checks. */
const FINAL_RESPONSE_MS = 5 * IDLE_CHECK_INTERVAL_MS
/** Retry-After of requests rejected by a router that is shutting down, in s; the retry may go to another router. */
const RETRY_AFTER_S = 0.05
/** Maximum number of cut-off requests logged individually: half of the lines that a process may log per second. */
const MAX_CUT_OFF_LOGS = 100

interface RequestInProgress {
  readonly socket: Socket
  readonly response: ServerResponse
  readonly arrivedAt: number
  /** Whether it arrived during the shutdown. */
  readonly isLate: boolean
  /** Completes once the request is no longer in progress. */
  readonly ended: Subject<never>
  call: DirectCall | undefined
  plan: CallPlan | undefined
}

/** Lists the figures behind a rejection during shutdown as log fields. */
export function listRefusalFields({ kind, details }: SpoolgateError): LogFields {
  if (kind !== 'instanceStopping') return {}
  const figures = Object.entries(details as Record<string, number>)
  return Object.fromEntries(figures.map(([name, value]) => [name, Math.round(value)]))
}

/** Creates the graceful shutdown of a running router. */
export function createGracefulShutdown(options: GracefulShutdownOptions): GracefulShutdown {
  const { timers, logger, connections, cutOff } = options
  const inProgress = new Set<RequestInProgress>()
  const ending = new ReplaySubject<void>(1)
  let startedAt: number | undefined
  let stopsAt = Infinity

  const logCutOff = ({ response, arrivedAt, isLate, call, plan }: RequestInProgress) => {
    const now = timers.now()
    logger.warn('call.cutOff', {
      request: call?.id,
      route: plan?.route.name,
      ms: Math.round(now - arrivedAt),
      leftMs: plan && Math.round(plan.deadline - now),
      hasBegun: response.headersSent,
      isLate,
    })
  }
  const isBeforeEnd = ({ deadline }: CallPlan) => deadline + FINAL_RESPONSE_MS <= stopsAt
  /** Whether the end of a request may close its connection: at the end of the shutdown, or of a stream that breaks off. */
  const mayCloseConnection = ({ plan }: RequestInProgress) =>
    plan === undefined || plan.route.isStream || !isBeforeEnd(plan)
  const findBlocker = (tracked: RequestInProgress): RequestInProgress | undefined => {
    if (startedAt === undefined) return undefined
    for (const ahead of inProgress) {
      if (ahead === tracked) return undefined
      if (ahead.socket === tracked.socket && mayCloseConnection(ahead)) return ahead
    }
  }
  const waitForTurn = async (tracked: RequestInProgress) => {
    for (let ahead = findBlocker(tracked); ahead; ahead = findBlocker(tracked)) {
      logger.info('call.waitsBehind', { request: tracked.call?.id, ahead: ahead.call?.id })
      await lastValueFrom(ahead.ended, { defaultValue: undefined })
    }
  }
  return {
    isStopping: () => startedAt !== undefined,
    ending,
    findBodyTimeoutMs: () => Math.max(0, stopsAt - FINAL_RESPONSE_MS - timers.now()),
    // Only the request's own deadline is considered: the durations of other requests do not predict this one's, and
    // whatever is still running at the end is cut off.
    findRefusal: (plan) => {
      if (isBeforeEnd(plan)) return undefined
      const { deadline } = plan
      const now = timers.now()
      return new SpoolgateError('instanceStopping', 'this instance stops; send it to another one', {
        retryAfterSeconds: RETRY_AFTER_S,
        details: { limitMs: deadline - now, leftMs: stopsAt - now },
      })
    },
    track: (request, response) => {
      const tracked: RequestInProgress = {
        socket: request.socket,
        response,
        arrivedAt: timers.now(),
        isLate: startedAt !== undefined,
        ended: new Subject(),
        call: undefined,
        plan: undefined,
      }
      const isTaken = connections.take(request, response, {
        onEnd: () => {
          inProgress.delete(tracked)
          tracked.ended.complete()
        },
        describe: () => ({ request: tracked.call?.id, route: tracked.plan?.route.name }),
        sendDecline: (error) => options.caller.sendRefusal(response, undefined, error),
      })
      if (!isTaken) return undefined
      inProgress.add(tracked)
      return {
        recordCall: (call) => {
          tracked.call = call
        },
        recordPlan: (plan) => {
          tracked.plan = plan
        },
        waitForTurn: () => waitForTurn(tracked),
      }
    },
    start: (drainMs) => {
      connections.startStop()
      startedAt = timers.now()
      stopsAt = startedAt + drainMs
      timers.after(Math.max(0, drainMs - FINAL_RESPONSE_MS)).subscribe(ending)
      logger.info('router.stopping', {
        inProgress: inProgress.size,
        streams: [...inProgress].filter(({ plan }) => plan?.route.isStream).length,
        stopsInMs: drainMs,
      })
    },
    waitUntilIdle: async () => {
      while (inProgress.size > 0 && timers.now() < stopsAt)
        await waitFor(timers, IDLE_CHECK_INTERVAL_MS)
    },
    reportCutOff: () => {
      const abandoned = inProgress.size
      for (const tracked of [...inProgress].slice(0, MAX_CUT_OFF_LOGS)) logCutOff(tracked)
      if (abandoned > 0) cutOff.add(abandoned)
      logger.info('router.stopped', {
        abandoned,
        ms: Math.round(timers.now() - (startedAt ?? timers.now())),
      })
      return abandoned
    },
  }
}
