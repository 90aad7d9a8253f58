/** Whether the body of a message arrived whole, which Node alone does not say of a body that ends with its connection. */
import type { ClientRequest, IncomingMessage } from 'node:http'

/** Why a message is not whole: its connection ended too early, or was reset. */
export type CutReason = 'ended' | 'reset'

/** What to log of a response that broke off in its body. */
export const CUT_REASONS: Readonly<Record<CutReason, string>> = {
  ended: 'the response broke off in its body',
  reset: 'the connection was reset within the response body',
}

/** Watches one message; see {@link watchCompletion}. */
export interface CompletionWatch {
  /** Explains why the body is not whole; undefined if it is. Valid once the message has ended, failed or closed. */
  findCut(): CutReason | undefined
}

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304])
const FINAL_CHUNKED = /(^|,)[\t ]*chunked[\t ]*$/i

type ReceivedMessage = Pick<IncomingMessage, 'statusCode'> & { req?: ClientRequest }

/** Whether a response has no body by its kind, whatever length it states. */
export function isBodiless(message: Pick<IncomingMessage, 'statusCode'>): boolean {
  const { statusCode, req } = message as ReceivedMessage
  return BODILESS_STATUSES.has(statusCode ?? 0) || req?.method === 'HEAD'
}

/**
 * Whether a message itself shows where its body ends: it has a length, chunks or, by its kind, no body. The body of any
 * other response ends with its connection (RFC 9112, section 6.3).
 */
export function isFramed(message: Pick<IncomingMessage, 'headers' | 'statusCode'>): boolean {
  const { headers, statusCode } = message
  const isRequest = statusCode === null || statusCode === undefined
  if (isRequest || isBodiless(message)) return true
  const coding = headers['transfer-encoding']
  return coding === undefined ? headers['content-length'] !== undefined : FINAL_CHUNKED.test(coding)
}

/** Whether an error says that the other side reset the connection; Node uses its code for other ends without a system call. */
export function isResetError(cause: NodeJS.ErrnoException | null): boolean {
  return cause?.code === 'ECONNRESET' && cause.syscall !== undefined
}

const watches = new WeakMap<IncomingMessage, CompletionWatch>()

/** Time in which a connection that ended is reset if its request was not read, in ms: several round trips between data halls. */
const RESET_MS = 100
/** Longest time for the rest of a request to be written after its response has ended, in ms. */
const REST_MS = 1_000

function isSentWithBody({ req }: ReceivedMessage): boolean {
  const length = Number(req?.getHeader('content-length') ?? 0)
  return length > 0 || req?.hasHeader('transfer-encoding') === true
}

/**
 * Holds back the end of a connection, which ends its response, until it shows whether the rest of the request meets a
 * reset. A server may close the connection before it has read a long request: only the reset, which comes after the end,
 * tells that its response broke off.
 */
function watchLateReset(
  { socket, req }: IncomingMessage & ReceivedMessage,
  onEnd: () => void,
): void {
  const listeners = socket.rawListeners('end')
  socket.removeAllListeners('end')
  // Otherwise the socket closes itself at its end, and a reset is not seen.
  socket.allowHalfOpen = true
  socket.once('end', () => {
    const release = () => {
      clearTimeout(timeout)
      if (socket.destroyed) return
      onEnd()
      for (const listener of listeners) listener.call(socket)
    }
    let timeout = setTimeout(release, REST_MS)
    const waitForReset = () => {
      clearTimeout(timeout)
      timeout = setTimeout(release, RESET_MS)
    }
    if (req?.writableFinished === false) req.once('finish', waitForReset)
    else waitForReset()
    socket.once('close', () => clearTimeout(timeout))
  })
}

/**
 * Watches for the end of a body. To be called before the first wait after the head has arrived; later calls return the
 * same watch. Node reports a connection reset as the end of a body that ends with its connection: it swallows the
 * error, or, if the reset arrives together with the last bytes, raises none. Only a socket that was reset no longer has
 * a remote address when it emits `end`.
 */
export function watchCompletion(message: IncomingMessage): CompletionWatch {
  const found = watches.get(message)
  if (found) return found
  const { socket } = message
  const isDelimitedByClose = !isFramed(message)
  let isReset = false
  const observeEnd = () => {
    isReset = socket.remoteAddress === undefined
  }
  if (isDelimitedByClose && isSentWithBody(message as ReceivedMessage)) {
    watchLateReset(message, observeEnd)
  } else if (isDelimitedByClose) {
    socket.prependOnceListener('end', observeEnd)
    message.once('close', () => socket.removeListener('end', observeEnd))
  }
  const watch: CompletionWatch = {
    findCut: () => {
      const isBroken = isDelimitedByClose && (isReset || socket.errored !== null)
      if (message.complete && !isBroken) return undefined
      return isReset || isResetError(socket.errored) ? 'reset' : 'ended'
    },
  }
  watches.set(message, watch)
  return watch
}
