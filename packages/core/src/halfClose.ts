/**
 * Half-closed connections: the other side has sent its end and may still read. A side that closed altogether looks the same
 * until something is written to it, which it answers with a reset.
 */
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { waitFor, type TimerService } from './timers.js'

/** What a server does when the other side of a connection sends its end behind whole requests. */
export type HalfClosePolicy =
  /** Requests are answered. */
  | 'serve'
  /** The other side counts as gone. */
  | 'leave'
  /** Requests are answered if the other side still reads, which an interim response shows. */
  | 'probe'

/** Event of a response whose caller has sent its end and shows no sign that it still reads. */
export const CALLER_SILENT = Symbol('callerSilent')

/** Time within which a closed peer resets the connection after a write, in ms; longer ones delay each such request. */
const RESET_MS = 100
/** Time for which the next bytes of an answer that has begun are awaited, in ms: callers that left are given up soon. */
const NEXT_BYTES_MS = 250

interface HalfClose {
  isReading: boolean
  readonly verdict: Promise<void>
}

const halfCloses = new WeakMap<Socket, HalfClose>()

/** Returns whether a caller may be gone: it has closed its connection, or sent its end and is not known to read. */
export function isCallerGone({ destroyed, req: { socket } }: ServerResponse): boolean {
  if (destroyed || socket.destroyed) return true
  return socket.readableEnded && !halfCloses.get(socket)?.isReading
}

/** Waits until it is known whether the caller of a request still reads; `silent` if nothing shows that it does. */
export async function waitForCaller(
  response: ServerResponse,
): Promise<'reading' | 'silent' | 'left'> {
  const { socket } = response.req
  await halfCloses.get(socket)?.verdict
  if (response.destroyed || socket.destroyed) return 'left'
  return isCallerGone(response) ? 'silent' : 'reading'
}

/** Options of {@link startProbe}. */
export interface ProbeOptions {
  readonly timers: TimerService
  /** Called if nothing shows that the other side still reads. */
  readonly onSilent: () => void
}

/** Finds out whether the caller of a response, which is the next one on its connection, still reads. */
export function startProbe(response: ServerResponse, options: ProbeOptions): void {
  const { timers, onSilent } = options
  const { socket, httpVersion } = response.req
  const writtenBytes = socket.bytesWritten
  const canAsk = !response.headersSent && httpVersion === '1.1'
  const run = async () => {
    if (canAsk) response.writeContinue()
    else await waitFor(timers, NEXT_BYTES_MS)
    if (socket.bytesWritten > writtenBytes) {
      await waitFor(timers, RESET_MS)
      // Node reports no reset of a socket whose end it has read, but such a socket has lost its remote address.
      if (socket.remoteAddress === undefined) socket.destroy()
      halfClose.isReading = !socket.destroyed
    }
    if (!halfClose.isReading && !socket.destroyed) onSilent()
  }
  const halfClose = { isReading: false, verdict: Promise.resolve() }
  halfCloses.set(socket, halfClose)
  halfClose.verdict = run()
}
