/**
 * Closes connections without a reset. A socket that is closed while bytes lie unread in it is reset by the kernel, and a
 * reset discards what the other side has not read yet, such as the last answer.
 */
import type { Socket } from 'node:net'
import type { TimerService } from './timers.js'

/** Maximum time for which what still arrives is discarded, in ms: a slow caller needs it to read the last answer. */
const LINGER_MS = 1_000

/** Ends a connection: sends its end, discards what still arrives until the other side ends too, then closes it. */
export function closeLingering(socket: Socket, timers: Pick<TimerService, 'after'>): void {
  if (socket.destroyed) return
  const destroy = () => void socket.destroy()
  const handleFinish = () => {
    if (socket.readableEnded) return destroy()
    socket.once('end', destroy)
    const timeout = timers.after(LINGER_MS).subscribe(destroy)
    socket.once('close', () => timeout.unsubscribe())
  }
  if (socket.writableFinished) return handleFinish()
  socket.once('finish', handleFinish)
  socket.end()
}
