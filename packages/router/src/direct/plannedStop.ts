/**
 * The planned stop of a router: which requests it still takes, what is in progress, when it cuts off
 * what is left, and what the log says of it.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import {
  createConnectionEnds,
  SpoolgateError,
  waitFor,
  type Counter,
  type LogFields,
  type Logger,
  type TimerService,
} from '@spoolgate/core'
import type { CallPlan } from './callPlan.js'
import type { DirectCall } from './protocols.js'

/** One request from its arrival until its connection has taken the answer, or has ended. */
export interface CallInProgress {
  /** Notes whose request it is, once its head was read. */
  recordCall(call: DirectCall): void
  /** Notes its route and its own limit, once they are known. */
  recordPlan(plan: CallPlan): void
}

/** The planned stop of one router; see {@link createPlannedStop}. */
export interface PlannedStop {
  isStopping(): boolean
  /**
   * Time within which a body must be there so that its request can still get an answer, in ms;
   * Infinity while no stop is in progress.
   */
  findBodyMs(): number
  /**
   * Finds why a request must not be passed on: by its own limit it may not be over before a stop
   * cuts it off. Undefined where it may be passed on.
   */
  findRefusal(plan: CallPlan): SpoolgateError | undefined
  /**
   * Notes a request that has just arrived; it counts until its answer is closed. Undefined when its
   * connection has been promised to end before it, so that nothing could carry its answer.
   */
  add(request: IncomingMessage, response: ServerResponse): CallInProgress | undefined
  /** Begins the stop; what is in progress after `drainMs` will be cut off. */
  start(drainMs: number): void
  /** Waits until nothing is in progress, or until the stop is over. */
  waitUntilIdle(): Promise<void>
  /** Logs what the caller is about to cut off, and returns its count. */
  reportCutOff(): number
}

/** Options of {@link createPlannedStop}. */
export interface PlannedStopOptions {
  readonly timers: TimerService
  readonly logger: Logger
  /** Counts the requests that a stop cut off. */
  readonly cutOff: Counter
}

/** Time between two looks at what is in progress during a planned stop, in ms. */
const POLL_IDLE_MS = 20
/** Kept for the final answer of a request whose limit is reached, in ms: five looks. */
const FINAL_ANSWER_MS = 5 * POLL_IDLE_MS
/** Seconds after which a caller that a stopping router refused may turn to another one. */
const TURN_ELSEWHERE_S = 0.05
/** Requests with a log line of their own: half of the lines that a process may log in a second. */
const MAX_CUT_OFF_LINES = 100

interface Tracked {
  readonly response: ServerResponse
  readonly arrivedAt: number
  /** Whether it arrived during the stop. */
  readonly isLate: boolean
  call: DirectCall | undefined
  plan: CallPlan | undefined
}

/** Lists for the log what decided a refusal of a stopping router. */
export function listStopInputs({ kind, details }: SpoolgateError): LogFields {
  if (kind !== 'instanceStopping') return {}
  const inputs = Object.entries(details as Record<string, number>)
  return Object.fromEntries(inputs.map(([name, value]) => [name, Math.round(value)]))
}

/** Creates the planned stop of a router that runs. */
export function createPlannedStop(options: PlannedStopOptions): PlannedStop {
  const { timers, logger, cutOff } = options
  const inProgress = new Set<Tracked>()
  const ends = createConnectionEnds(logger)
  let startedAt: number | undefined
  let stopsAt = Infinity

  const sendLine = ({ response, arrivedAt, isLate, call, plan }: Tracked) => {
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
  return {
    isStopping: () => startedAt !== undefined,
    findBodyMs: () => Math.max(0, stopsAt - FINAL_ANSWER_MS - timers.now()),
    // Only its own limit bounds a request: how long others took says nothing of this one, and what
    // is still running at the end is cut off.
    findRefusal: ({ deadline }) => {
      if (deadline + FINAL_ANSWER_MS <= stopsAt) return undefined
      const now = timers.now()
      return new SpoolgateError('instanceStopping', 'this instance stops; send it to another one', {
        retryAfterSeconds: TURN_ELSEWHERE_S,
        details: { limitMs: deadline - now, leftMs: stopsAt - now },
      })
    },
    add: (request, response) => {
      const tracked: Tracked = {
        response,
        arrivedAt: timers.now(),
        isLate: startedAt !== undefined,
        call: undefined,
        plan: undefined,
      }
      if (!ends.take(request, response, () => inProgress.delete(tracked))) return undefined
      inProgress.add(tracked)
      return {
        recordCall: (call) => {
          tracked.call = call
        },
        recordPlan: (plan) => {
          tracked.plan = plan
        },
      }
    },
    start: (drainMs) => {
      ends.start()
      startedAt = timers.now()
      stopsAt = startedAt + drainMs
      logger.info('router.stopping', {
        inProgress: inProgress.size,
        streams: [...inProgress].filter(({ plan }) => plan?.route.isStream).length,
        stopsInMs: drainMs,
      })
    },
    waitUntilIdle: async () => {
      while (inProgress.size > 0 && timers.now() < stopsAt) await waitFor(timers, POLL_IDLE_MS)
    },
    reportCutOff: () => {
      const abandoned = inProgress.size
      for (const tracked of [...inProgress].slice(0, MAX_CUT_OFF_LINES)) sendLine(tracked)
      if (abandoned > 0) cutOff.add(abandoned)
      logger.info('router.stopped', {
        abandoned,
        ms: Math.round(timers.now() - (startedAt ?? timers.now())),
      })
      return abandoned
    },
  }
}
