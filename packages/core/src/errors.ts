/**
 * Typed errors. Every kind has one HTTP status, one type in the callers' API and a message that
 * names the remedy. `notRun` is a promise: no backend server started the request and none will.
 */

/** What the callers' API says of one kind of error. */
interface ErrorKindFacts {
  /** HTTP status code. */
  readonly status: number
  /** The `type` field of the callers' API. */
  readonly type: string
  /** Whether the request is known not to have run, unless the error itself says otherwise. */
  readonly notRun: boolean
}

/** Every kind of error that crosses a process boundary. */
export const ERROR_KINDS = {
  malformedBody: { status: 400, type: 'invalid_request_error', notRun: true },
  invalidRequest: { status: 400, type: 'invalid_request_error', notRun: true },
  missingKey: { status: 401, type: 'authentication_error', notRun: true },
  wrongKey: { status: 401, type: 'authentication_error', notRun: true },
  unknownModel: { status: 404, type: 'invalid_request_error', notRun: true },
  unknownPath: { status: 404, type: 'invalid_request_error', notRun: true },
  notFound: { status: 404, type: 'invalid_request_error', notRun: true },
  bodyTimeout: { status: 408, type: 'invalid_request_error', notRun: true },
  conflict: { status: 409, type: 'conflict_error', notRun: true },
  stillRunning: { status: 409, type: 'conflict_error', notRun: false },
  oversizeBody: { status: 413, type: 'invalid_request_error', notRun: true },
  oversizeHead: { status: 431, type: 'invalid_request_error', notRun: true },
  limitReached: { status: 429, type: 'rate_limit_error', notRun: true },
  declined: { status: 503, type: 'overloaded_error', notRun: true },
  deadlineUnreachable: { status: 503, type: 'overloaded_error', notRun: true },
  noBackendServer: { status: 503, type: 'overloaded_error', notRun: true },
  streamNotResumable: { status: 503, type: 'overloaded_error', notRun: true },
  quarantined: { status: 503, type: 'overloaded_error', notRun: true },
  instanceStopping: { status: 503, type: 'overloaded_error', notRun: true },
  noRoom: { status: 503, type: 'overloaded_error', notRun: true },
  controlUnavailable: { status: 503, type: 'overloaded_error', notRun: true },
  notLeader: { status: 421, type: 'api_error', notRun: true },
  backendFailed: { status: 502, type: 'api_error', notRun: false },
  timedOut: { status: 504, type: 'timeout_error', notRun: false },
  outcomeUnknown: { status: 502, type: 'outcome_unknown', notRun: false },
  invalidSettings: { status: 422, type: 'invalid_request_error', notRun: true },
  internal: { status: 500, type: 'api_error', notRun: false },
} as const satisfies Record<string, ErrorKindFacts>

/** Name of an error kind. */
export type ErrorKind = keyof typeof ERROR_KINDS

/** Options of {@link SpoolgateError}. */
export interface ErrorOptions {
  /**
   * Whether the request is known not to have run.
   * @default the kind's own value
   */
  readonly notRun?: boolean
  /**
   * Seconds after which the caller may try again.
   * @default undefined
   */
  readonly retryAfterSeconds?: number
  /**
   * Facts for a machine, such as the version that won a race.
   * @default undefined
   */
  readonly details?: unknown
}

/** An error with a kind; the message names the remedy. */
export class SpoolgateError extends Error {
  readonly notRun: boolean
  readonly retryAfterSeconds: number | undefined
  readonly details: unknown

  constructor(
    readonly kind: ErrorKind,
    message: string,
    options: ErrorOptions = {},
  ) {
    super(message)
    this.name = 'SpoolgateError'
    this.notRun = options.notRun ?? ERROR_KINDS[kind].notRun
    this.retryAfterSeconds = options.retryAfterSeconds
    this.details = options.details
  }

  /** HTTP status code for this error. */
  get status(): number {
    return ERROR_KINDS[this.kind].status
  }
}

/** Body of an error answer in the callers' API. */
export interface ErrorBody {
  readonly error: {
    readonly message: string
    readonly type: string
    readonly code: ErrorKind
    readonly param: null
    readonly not_run: boolean
    readonly details?: unknown
  }
}

/** Formats an error as the callers' API writes it. */
export function formatErrorBody(error: SpoolgateError): ErrorBody {
  const { kind, message, notRun, details } = error
  const type = ERROR_KINDS[kind].type
  return {
    error: { message, type, code: kind, param: null, not_run: notRun, details },
  }
}

/** Reads an error back from a body that another process of the fleet wrote. */
export function parseErrorBody(body: unknown): SpoolgateError {
  const error = (body as Partial<ErrorBody> | undefined)?.error
  if (!error || !Object.hasOwn(ERROR_KINDS, error.code)) {
    return new SpoolgateError('internal', 'unreadable error answer; check that versions match')
  }
  return new SpoolgateError(error.code, error.message, {
    notRun: error.not_run,
    details: error.details,
  })
}

/** Wraps anything that was thrown; an error that has a kind is returned as it is. */
export function toSpoolgateError(cause: unknown): SpoolgateError {
  if (cause instanceof SpoolgateError) return cause
  const message = cause instanceof Error ? cause.message : String(cause)
  return new SpoolgateError('internal', message)
}

/** Why a request got no whole answer. */
export class ConnectionError extends Error {
  constructor(
    message: string,
    /** True when no byte can have reached the other side: the connection was never made. */
    readonly neverSent: boolean,
    /** True when the wait ended by the request's own time limit. */
    readonly timedOut: boolean,
  ) {
    super(message)
  }
}
