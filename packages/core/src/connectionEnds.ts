/**
 * The ends of kept connections in a planned stop. A connection ends after the answers under way on
 * it, and nothing that comes later is taken from it, since nothing could carry its answer.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Logger } from './logger.js'

/** Ends of the connections of one server; see {@link createConnectionEnds}. */
export interface ConnectionEnds {
  /** Takes a request that has arrived; false when its connection was promised to end before it. */
  take(request: IncomingMessage, response: ServerResponse): boolean
  /** From now on each connection ends after the answers under way on it. */
  start(): void
}

/** Creates the ends of a server that runs. */
export function createConnectionEnds(logger: Logger): ConnectionEnds {
  /** Answers under way on each connection. */
  const underWay = new WeakMap<Socket, number>()
  /** Connections of which an answer, or their own end, has told that nothing follows. */
  const ending = new WeakSet<Socket>()
  let isStopping = false

  /** The head of an answer that began before the stop could not say that the connection ends. */
  const settleAnswer = (socket: Socket) => {
    const left = (underWay.get(socket) ?? 1) - 1
    underWay.set(socket, left)
    if (!isStopping || left > 0) return
    ending.add(socket)
    socket.end()
  }
  return {
    take: (request, response) => {
      const { socket, headers, url } = request
      if (ending.has(socket)) {
        logger.info('call.onEndedConnection', { host: headers.host, target: url?.split('?', 1)[0] })
        request.resume()
        return false
      }
      if (isStopping) {
        ending.add(socket)
        response.setHeader('connection', 'close')
      }
      underWay.set(socket, (underWay.get(socket) ?? 0) + 1)
      response.once('close', () => settleAnswer(socket))
      return true
    },
    start: () => {
      isStopping = true
    },
  }
}
