/**
 * The ends of kept connections in a planned stop. A connection ends after the answers in flight on
 * it, and nothing that comes later is taken from it, since nothing could carry its answer.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Logger } from './logger.js'

/** Ends of the connections of one server; see {@link createConnectionEnds}. */
export interface ConnectionEnds {
  /**
   * Takes a request that has arrived; false when its connection was promised to end before it.
   * @param onEnd called once its answer is closed, or its connection is.
   */
  take(request: IncomingMessage, response: ServerResponse, onEnd: () => void): boolean
  /** From now on each connection ends after the answers in flight on it. */
  start(): void
}

/** Creates the ends of a server that runs. */
export function createConnectionEnds(logger: Logger): ConnectionEnds {
  /** What ends each of the answers in flight on a connection. */
  const underWay = new WeakMap<Socket, Set<() => void>>()
  /** Connections of which an answer, or their own end, has said that nothing follows. */
  const ending = new WeakSet<Socket>()
  /** Connections whose late request was logged: one line each. */
  const reported = new WeakSet<Socket>()
  let isStopping = false

  const openUnderWay = (socket: Socket) => {
    const answers = new Set<() => void>()
    underWay.set(socket, answers)
    // An answer that waits behind another one gets no event from Node when its connection closes.
    socket.once('close', () => {
      for (const end of [...answers]) end()
    })
    return answers
  }
  const recordLate = ({ socket, headers, url }: IncomingMessage) => {
    if (reported.has(socket)) return
    reported.add(socket)
    logger.info('call.onEndedConnection', { host: headers.host, target: url?.split('?', 1)[0] })
  }
  return {
    take: (request, response, onEnd) => {
      const { socket } = request
      if (ending.has(socket)) {
        recordLate(request)
        request.resume()
        return false
      }
      if (isStopping) {
        ending.add(socket)
        response.setHeader('connection', 'close')
      }
      const answers = underWay.get(socket) ?? openUnderWay(socket)
      const end = () => {
        if (!answers.delete(end)) return
        onEnd()
        // The head of an answer that began before the stop could not say that the connection ends.
        if (!isStopping || answers.size > 0) return
        ending.add(socket)
        socket.end()
      }
      answers.add(end)
      response.once('close', end)
      return true
    },
    start: () => {
      isStopping = true
    },
  }
}
