/** Ends the listening of a server without a reset of the connections that callers have established already. */
import { Server } from 'node:net'
import { createTurnQueue } from './turnQueue.js'

/** Maximum number of connections that wait to be accepted: Node's default backlog. */
const LISTEN_BACKLOG = 511

/** Waits until established connections are accepted: the runtime accepts one in a turn of the event loop. */
async function waitForAccepted(server: Server): Promise<void> {
  const turns = createTurnQueue()
  let accepted = 0
  const countAccepted = () => void (accepted += 1)
  server.on('connection', countAccepted)
  for (let before = -1; before < accepted && accepted <= LISTEN_BACKLOG;) {
    before = accepted
    await turns.take()
  }
  server.removeListener('connection', countAccepted)
}

/** Stops listening; what is connected stays. `closed` resolves once all connections are closed too. */
export async function stopListening(server: Server): Promise<{ readonly closed: Promise<void> }> {
  await waitForAccepted(server)
  // Node's HTTP servers also cut idle connections in a close of their own, and with them requests that are arriving.
  const closed = new Promise<void>((resolve) =>
    Server.prototype.close.call(server, () => {
      // Releases the timer of Node's HTTP servers, which keeps a closed server in memory.
      server.close()
      resolve()
    }),
  )
  return { closed }
}
