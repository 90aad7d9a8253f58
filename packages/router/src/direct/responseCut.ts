/** How a response broke off, for log lines and metrics. */
import { CUT_REASONS, isResetError, type CompletionWatch, type CutReason } from '@spoolgate/core'

/** Which part of a response did not arrive whole, and how its connection ended. */
export interface ResponseCut {
  /** `none` for a request without a byte of a response. */
  readonly part: 'none' | 'head' | 'body'
  /** `invalid` for bytes that are no response, `failed` for any other error of the connection. */
  readonly end: CutReason | 'invalid' | 'failed'
}

/** Why nothing more of a response can be used; `cut` is undefined unless it broke off. */
export interface BrokenResponse {
  readonly reason: string
  readonly cut?: ResponseCut
}

/** Codes of errors with which Node reports a connection that ended before a whole head. */
const ENDED_CODES: ReadonlySet<string> = new Set(['ECONNRESET', 'HPE_INVALID_EOF_STATE'])
const PARSER_CODE_PREFIX = 'HPE_'

function findEnd(cause: NodeJS.ErrnoException): ResponseCut['end'] {
  const { code = '' } = cause
  if (isResetError(cause)) return 'reset'
  if (ENDED_CODES.has(code)) return 'ended'
  return code.startsWith(PARSER_CODE_PREFIX) ? 'invalid' : 'failed'
}

/** Describes the error that ended a request without a whole head; `headBytes` counts what arrived of one. */
export function describeHeadCut(cause: NodeJS.ErrnoException, headBytes: number): BrokenResponse {
  const end = findEnd(cause)
  if (headBytes <= 0) return { reason: cause.message, cut: { part: 'none', end } }
  const reason = `the response broke off in its head: ${cause.message}`
  return { reason, cut: { part: 'head', end } }
}

/** Describes a body that is not whole. */
export function describeBodyCut(watch: CompletionWatch): BrokenResponse {
  const end = watch.findCut() ?? 'ended'
  return { reason: CUT_REASONS[end], cut: { part: 'body', end } }
}
