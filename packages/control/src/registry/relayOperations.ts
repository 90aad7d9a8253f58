/**
 * Runs operations at the leader on behalf of an instance that is not a member of the control group. An operation that
 * may have been executed is not repeated.
 */
import {
  ConnectionError,
  createTimeLimit,
  SpoolgateError,
  toSpoolgateError,
  type HttpClient,
  type TimerService,
} from '@spoolgate/core'
import { findLeaderUrl } from '../group/membershipManager.js'
import {
  findAnswerKind,
  LEADER_TIMEOUT_MS,
  OPERATION_PATH,
  type FleetOperationName,
  type FleetOperationRunner,
} from './fleetOperations.js'
import { SILENT_INSTANCE_MS } from './instanceSearch.js'
import type { KnownLeader, LeaderTracker } from './leaderTracker.js'

/** Options of {@link createRelayOperations}. */
export interface RelayOperationsOptions {
  readonly tracker: Pick<
    LeaderTracker,
    'current' | 'search' | 'recordLeader' | 'recordRefusal' | 'recordSilence'
  >
  /** Chooses the client for an operation. */
  readonly findClient: (name: FleetOperationName) => HttpClient
  readonly timers: TimerService
}

/** Operations that change nothing, so that they may be sent again after silence. */
const READ_ONLY: ReadonlySet<FleetOperationName> = new Set(['readTable', 'confirmLeader'])
/** Maximum number of instances to which one operation is sent: the known leader, the one it names, a found one. */
const MAX_ATTEMPTS = 3

/** Errors of an answer that broke off; the leader never answers so, since the relay sends whole JSON bodies. */
const CUT_ANSWERS: ReadonlySet<string> = new Set(['malformedBody', 'bodyTimeout'])

/** What a failed attempt means: not executed, possibly executed, or answered with an error for the caller. */
type FailureKind = 'notRun' | 'unknown' | 'answered'

function judgeFailure(cause: unknown): FailureKind {
  if (cause instanceof ConnectionError) return cause.neverSent ? 'notRun' : 'unknown'
  if (!(cause instanceof SpoolgateError) || CUT_ANSWERS.has(cause.kind)) return 'unknown'
  const isLeaderless = cause.kind === 'notLeader' || cause.kind === 'controlUnavailable'
  return isLeaderless && cause.notRun ? 'notRun' : 'answered'
}

function createUnavailableError(message: string, notRun: boolean): SpoolgateError {
  return new SpoolgateError('controlUnavailable', message, { notRun, retryAfterSeconds: 1 })
}

function createUnknownError(cause: unknown, signal: AbortSignal): SpoolgateError {
  const reason = toSpoolgateError(signal.aborted ? signal.reason : cause).message
  return createUnavailableError(
    `it is unknown whether the leader executed the operation (${reason}); send it again`,
    false,
  )
}

/** Creates the operation runner of a relay. */
export function createRelayOperations(
  options: RelayOperationsOptions,
): Pick<FleetOperationRunner, 'run'> {
  const { tracker, timers } = options

  const send = async (url: string, name: FleetOperationName, input: unknown, limits: Limits) => {
    const { signal, close } = limits
    try {
      const answer: unknown = await options.findClient(name).sendJson({
        answer: findAnswerKind(name),
        method: 'POST',
        url: `${url}${OPERATION_PATH}/${name}`,
        json: input,
        signal,
      })
      tracker.recordLeader(url)
      return answer
    } finally {
      close()
    }
  }
  /** Limits an attempt; a silent instance gets a short time where the operation may be sent again. */
  const createLimits = (name: FleetOperationName, attempt: number, signal: AbortSignal): Limits =>
    READ_ONLY.has(name) && attempt === 1
      ? createTimeLimit(timers, SILENT_INSTANCE_MS, [signal])
      : { signal, close: () => {} }
  /** Finds the instance to which an operation goes after a failure; throws if it must not be sent again. */
  const findNext = async (
    { url, name, attempt, signal }: Attempt,
    cause: unknown,
  ): Promise<KnownLeader | undefined> => {
    const kind = judgeFailure(cause)
    if (kind === 'answered') throw cause
    if (kind === 'unknown') {
      tracker.recordSilence()
      if (!READ_ONLY.has(name)) throw createUnknownError(cause, signal)
    } else {
      tracker.recordRefusal(url)
    }
    if (attempt >= MAX_ATTEMPTS) throw toLastError(cause)
    const named = findLeaderUrl(cause)
    // Two instances may name each other, so only the first redirect is followed without a confirmed lease.
    if (attempt === 1 && named !== undefined && named !== url) return { url: named }
    return tracker.search(signal)
  }
  const runWithin = async (name: FleetOperationName, input: unknown, signal: AbortSignal) => {
    let leader = tracker.current() ?? (await tracker.search(signal))
    for (let attempt = 1; leader; attempt += 1) {
      const { url }: KnownLeader = leader
      try {
        return await send(url, name, input, createLimits(name, attempt, signal))
      } catch (cause) {
        leader = await findNext({ url, name, attempt, signal }, cause)
      }
    }
    // Each earlier attempt was refused, or changes nothing.
    throw createUnavailableError('the leader is currently unknown; retry the operation', true)
  }
  return {
    run: async (name, input) => {
      const limit = createTimeLimit(timers, LEADER_TIMEOUT_MS)
      try {
        return (await runWithin(name, input, limit.signal)) as never
      } finally {
        limit.close()
      }
    },
  }
}

/** Signal that ends an attempt. */
interface Limits {
  readonly signal: AbortSignal
  close(): void
}

/** One attempt at an operation. */
interface Attempt {
  readonly url: string
  readonly name: FleetOperationName
  /** Number of the attempt, from 1. */
  readonly attempt: number
  readonly signal: AbortSignal
}

/** Keeps the error of an instance; a refused connection becomes an error that callers can retry. */
function toLastError(cause: unknown): SpoolgateError {
  if (cause instanceof SpoolgateError && cause.kind === 'controlUnavailable') return cause
  return createUnavailableError(`no leader answered (${toSpoolgateError(cause).message})`, true)
}
