/**
 * Tracks the connections of an HTTP server and the requests on them. However a connection ends, the whole requests that were
 * taken from it are answered first, unless its other side is gone. In a planned stop the last of these answers announces
 * the end; nothing that comes later is taken, since nothing could carry its answer.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { Server as TlsServer } from 'node:tls'
import {
  findEndOfError,
  findEndOfSocket,
  formatRefusal,
  type ConnectionEnd,
} from './connectionEnds.js'
import { CALLER_SILENT, startProbe, type HalfClosePolicy } from './halfClose.js'
import type { SpoolgateError } from './errors.js'
import { createRoomError } from './documentMemory.js'
import { installBodyEnd, installBodyRefusal } from './httpBody.js'
import { closeLingering } from './lingeringClose.js'
import { createKeptBytes, type KeptHold } from './keptBytes.js'
import type { LogFields, Logger } from './logger.js'
import type { MemoryBudget } from './memoryBudget.js'
import type { Metrics } from './metrics.js'
import { startPacedRead, type PacedRead } from './pacedRead.js'
import { admitRequest, declineRequest, type RoomPriority } from './requestRoom.js'
import { waitFor, type TimerService } from './timers.js'
import { createTurnQueue } from './turnQueue.js'
import { processTurns } from './turnScheduler.js'

/** Options of {@link createConnectionTracker}. */
export interface ConnectionTrackerOptions {
  readonly logger: Logger
  readonly timers: TimerService
  /**
   * Registry that counts the ends of connections, and the requests without an answer.
   * @default undefined, they are only logged
   */
  readonly metrics?: Pick<Metrics, 'counter'>
  /**
   * What becomes of whole requests whose connection is half-closed by its other side.
   * @default 'leave'
   */
  readonly halfClose?: HalfClosePolicy
  /**
   * Budget in which requests in flight count, and bytes that are kept back until their connection may have more of them.
   * @default undefined, they are bounded for each connection only
   */
  readonly memory?: MemoryBudget
  /**
   * Maximum number of requests in flight on a connection; what arrives beyond them is read once one has ended.
   * @default 16
   */
  readonly maxInFlight?: number
  /**
   * Whether the requests are messages of the fleet, which may use the room that is kept free of all others.
   * @default false
   */
  readonly isFleet?: boolean
  /**
   * Maximum number of connections. Beyond it the connection without a request for the longest time is closed, or the new one
   * if all have requests.
   * @default Infinity
   */
  readonly maxConnections?: number
}

/** Callbacks of the owner of a request. */
export interface RequestOwner {
  /** Called once the answer is closed, or the connection is. */
  readonly onEnd: () => void
  /**
   * Describes the request in the log.
   * @default undefined, by its host and target
   */
  readonly describe?: () => LogFields
  /**
   * Sends the answer to a request for which there is no room.
   * @default an answer without a body
   */
  readonly sendDecline?: (error: SpoolgateError) => void
}

/** Connections of one server; see {@link createConnectionTracker}. */
export interface ConnectionTracker {
  /** Tracks all connections of a server. */
  watchServer(server: Server): void
  /** Takes a request that has arrived; false when its connection was promised to end before it. */
  take(request: IncomingMessage, response: ServerResponse, owner: RequestOwner): boolean
  /** From now on each connection ends once the requests that were taken from it are answered. */
  startStop(): void
  /** Closes a connection at once. */
  destroy(socket: Socket, end: ConnectionEnd): void
  /** Ends the connections of a server on which nothing is in flight and no part of a request has arrived. */
  closeIdle(server: Server): Promise<void>
  /** Closes all connections; resolves once they are closed. */
  close(): Promise<void>
}

/** Maximum time for which a process that ends waits for callers to close idle connections, in ms; within the stop margin. */
const END_LINGER_MS = 200

interface TakenRequest {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly owner: RequestOwner
  readonly takenAt: number
}

interface Connection {
  readonly socket: Socket
  /** Requests whose answer is not complete, in the order of the connection. */
  readonly inFlight: Set<TakenRequest>
  /** End of the connection, once it is known. */
  end: ConnectionEnd | undefined
  /** The request that was taken last. */
  latest: IncomingMessage | undefined
  /** Answer to what could not be read, which follows all others. */
  refusal: string | undefined
  /** Whether no further request is taken: an answer announced the end, or it is being ended. */
  isEnding: boolean
  /** Whether a request after the end was logged; later ones are not. */
  hasLate: boolean
  /** Whether the bytes that held the latest request are still being parsed: others may follow in them. */
  isReading: boolean
  /** Its bytes, once Node's server has accepted it. */
  bytes: PacedRead | undefined
  /** Room for the bytes that are kept back. */
  kept: KeptHold | undefined
}

const DEFAULT_MAX_IN_FLIGHT = 16
/** Time between two log lines on requests that are declined, in ms. */
const DECLINE_LOG_MS = 1_000

/** Whether bytes of a connection have arrived that are not parsed yet. */
function isKeptBack({ bytes }: Connection): boolean {
  return bytes !== undefined && bytes.keptBytes() > 0
}

/** Whether requests that have arrived may not be parsed yet. */
function isUnparsed(connection: Connection): boolean {
  return connection.isReading || isKeptBack(connection)
}

/** Aborts the reading of a request's body without closing the connection. */
function cancelBody(request: IncomingMessage): void {
  request.aborted = true
  request.emit('aborted')
}

/** Closes an answer that waits behind another one: Node closes only the one in front when their connection closes. */
function closeWaiting(response: ServerResponse): void {
  if (response.socket || response.destroyed) return
  response.destroyed = true
  response.emit('close')
}

/** Creates a function that runs a log call once in a while. */
function createSparseLog(timers: Pick<TimerService, 'now'>): (log: () => void) => void {
  let loggedAt = -Infinity
  return (log) => {
    if (timers.now() - loggedAt < DECLINE_LOG_MS) return
    loggedAt = timers.now()
    log()
  }
}

/** Creates a tracker. */
export function createConnectionTracker(options: ConnectionTrackerOptions): ConnectionTracker {
  const { logger, timers, metrics, memory, halfClose = 'leave' } = options
  const { maxInFlight = DEFAULT_MAX_IN_FLIGHT, maxConnections = Infinity } = options
  const { isFleet = false } = options
  const connections = new Map<Socket, Connection>()
  const ended = metrics?.counter('connections_ended', 'Connections that ended, by end')
  const unanswered = metrics?.counter(
    'requests_unanswered',
    'Requests that were read whole and ended without a whole answer, by end of their connection',
  )
  const refusedBodies = metrics?.counter('bodies_refused', 'Bodies without room before parsing')
  const declined = metrics?.counter('requests_declined', 'Requests without room in the heap')
  const declineLog = createSparseLog(timers)
  const turns = createTurnQueue()
  const keptBytes = createKeptBytes(memory)
  let isStopping = false
  let isCrowded = false
  let notifyClosed = () => {}

  const recordUnanswered = ({ request, response, owner, takenAt }: TakenRequest, end: string) => {
    unanswered?.add(1, { end })
    logger.info('request.unanswered', {
      end,
      host: request.headers.host,
      target: request.url?.split('?', 1)[0],
      ms: Math.round(timers.now() - takenAt),
      hasBegun: response.headersSent,
      ...owner.describe?.(),
    })
  }
  const isUnanswered = ({ request, response }: TakenRequest) =>
    request.complete && !response.writableFinished
  const handleClose = (connection: Connection) => {
    const { socket, inFlight } = connection
    connections.delete(socket)
    if (connections.size < maxConnections / 2) isCrowded = false
    connection.kept?.close()
    const open = [...inFlight].filter(isUnanswered)
    const end = connection.end ?? findEndOfSocket(socket, inFlight.size > 0)
    ended?.add(1, { end })
    for (const taken of open) recordUnanswered(taken, end)
    for (const taken of [...inFlight]) {
      closeWaiting(taken.response)
      finish(connection, taken)
    }
    if (connections.size === 0) notifyClosed()
  }
  const endConnection = (connection: Connection, end: ConnectionEnd) => {
    connection.isEnding = true
    connection.end ??= end
    closeLingering(connection.socket, timers)
  }
  /** Ends a connection once its whole requests are answered; a request that could not be read is refused after them. */
  const endAfterAnswers = (connection: Connection, end: ConnectionEnd) => {
    const { latest, inFlight, isEnding } = connection
    const isBodyBroken = latest !== undefined && !latest.complete && !latest.aborted
    if (isBodyBroken && end !== 'longBody') cancelBody(latest)
    if (isEnding) return
    connection.isEnding = true
    connection.end = end
    // A request whose body breaks off has an answer of its own.
    if (latest === undefined || latest.complete) connection.refusal = formatRefusal(end)
    if (inFlight.size === 0) endAnswered(connection, end)
  }
  const handleHalfClose = (connection: Connection) => {
    endAfterAnswers(connection, 'callerClosed')
    const [first] = connection.inFlight
    if (halfClose !== 'probe' || !first || first.request.aborted) return
    const onSilent = () => {
      for (const { response } of [...connection.inFlight]) response.emit(CALLER_SILENT)
    }
    startProbe(first.response, { timers, onSilent })
  }
  const endAnswered = (connection: Connection, end: ConnectionEnd) => {
    const { socket, refusal } = connection
    if (refusal !== undefined && socket.writable) socket.write(refusal)
    connection.refusal = undefined
    endConnection(connection, end)
  }
  const handleClientError = (cause: Error, socket: Socket) => {
    const connection = connections.get(socket)
    const end = findEndOfError(cause)
    if (!connection || !end || end === 'callerClosed') return void socket.destroy()
    endAfterAnswers(connection, end)
  }
  /** Ends a connection on which Node has given up its parser. */
  const handleConnect = (_: IncomingMessage, socket: Socket) => {
    const connection = openConnection(socket)
    socket.on('error', (cause) => logger.info('connection.reset', { reason: cause.message }))
    socket.on('drain', () => [...connection.inFlight][0]?.response.emit('drain'))
    endAfterAnswers(connection, 'unsupported')
    socket.resume()
  }
  /** Says in the head of an answer that the connection ends after it, if nothing else is to be answered. */
  const announceEnd = (connection: Connection, { response }: TakenRequest) => {
    const { inFlight, end, refusal } = connection
    const isOver = (isStopping && !isUnparsed(connection)) || end !== undefined
    if (!isOver || refusal !== undefined || inFlight.size > 1 || response.headersSent) return
    connection.isEnding = true
    connection.end ??= 'plannedStop'
    response.setHeader('connection', 'close')
  }
  /** Ends a connection, unless a request arrives in the next turn of the event loop. */
  const endIdle = async (connection: Connection, end: ConnectionEnd) => {
    const { socket, inFlight } = connection
    const readBytes = socket.bytesRead
    await turns.take()
    if (inFlight.size > 0 || isKeptBack(connection) || socket.bytesRead !== readBytes) return
    endConnection(connection, end)
  }
  const openConnection = (socket: Socket): Connection => {
    const known = connections.get(socket)
    if (known) return known
    const connection: Connection = {
      socket,
      inFlight: new Set(),
      end: undefined,
      latest: undefined,
      refusal: undefined,
      isEnding: false,
      hasLate: false,
      isReading: false,
      bytes: undefined,
      kept: undefined,
    }
    connections.set(socket, connection)
    if (halfClose !== 'leave') socket.once('end', () => handleHalfClose(connection))
    socket.prependOnceListener('close', () => handleClose(connection))
    // Node calls this after an answer that ends the connection.
    socket.destroySoon = () => endConnection(connection, isStopping ? 'plannedStop' : 'announced')
    return connection
  }
  /**
   * Counts the bytes that are kept back. Without room for them the connection ends once its requests are answered, and a
   * request whose body they belong to is refused.
   */
  const holdBytes = (connection: Connection, bytes: number, isHeldBack: boolean) => {
    const { kept, latest } = connection
    if (kept?.resize(bytes, isHeldBack) !== false) return true
    if (latest && !latest.complete) {
      refusedBodies?.add(1)
      installBodyRefusal(latest, createRoomError(latest))
    }
    endAfterAnswers(connection, 'memory')
    return false
  }
  const destroy = (socket: Socket, end: ConnectionEnd) => {
    const connection = connections.get(socket)
    if (connection) connection.end ??= end
    socket.destroy()
  }
  /** Makes room for a new connection; the map lists the least recently used ones first. */
  const closeSurplus = (latest: Connection) => {
    if (connections.size <= maxConnections) return
    let surplus = latest
    for (const connection of connections.values()) {
      if (connection.inFlight.size > 0 || isKeptBack(connection)) continue
      surplus = connection
      break
    }
    destroy(surplus.socket, 'crowded')
    connections.delete(surplus.socket)
    if (isCrowded) return
    isCrowded = true
    logger.warn('connections.crowded', { maxConnections, remedy: 'raise the limit on open files' })
  }
  const acceptConnection = (socket: Socket) => {
    const connection = openConnection(socket)
    closeSurplus(connection)
    if (socket.destroyed) return
    connection.kept = keptBytes.open()
    connection.bytes = startPacedRead(socket, {
      canTake: () => connection.inFlight.size < maxInFlight,
      isOver: () => connection.end === 'memory' || (connection.isEnding && connection.hasLate),
      findLatest: () => connection.latest,
      holdBytes: (bytes, isHeldBack) => holdBytes(connection, bytes, isHeldBack),
      runInTurn: (run) => processTurns.run('bodies', socket, run),
    })
  }
  const recordLate = (connection: Connection, { headers, url }: IncomingMessage) => {
    if (connection.hasLate) return
    connection.hasLate = true
    logger.info('call.onEndedConnection', { host: headers.host, target: url?.split('?', 1)[0] })
  }
  const finish = (connection: Connection, taken: TakenRequest) => {
    if (!connection.inFlight.delete(taken)) return
    taken.owner.onEnd()
    connection.bytes?.resume()
    if (connection.inFlight.size > 0 || connection.socket.destroyed) return
    connections.delete(connection.socket)
    connections.set(connection.socket, connection)
    // An answer whose head was written before the end was known could not say that the connection ends.
    const end = connection.end ?? (isStopping ? 'plannedStop' : undefined)
    if (end === undefined) return
    if (isUnparsed(connection)) setImmediate(() => endUnlessRead(connection, end))
    else endAnswered(connection, end)
  }
  /** Ends a connection of which no other request was read with the last one. */
  const endUnlessRead = (connection: Connection, end: ConnectionEnd) => {
    if (connection.inFlight.size === 0 && !isKeptBack(connection)) endAnswered(connection, end)
  }
  /**
   * Lists the connections between two requests. Only Node's parsers know them, and Node destroys those that it finds: their
   * `destroy` is replaced meanwhile.
   */
  const listIdle = (server: Server): Connection[] => {
    const idle: Connection[] = []
    for (const connection of connections.values()) {
      const { socket } = connection
      socket.destroy = () => (idle.push(connection), socket)
    }
    server.closeIdleConnections()
    for (const { socket } of connections.values()) Reflect.deleteProperty(socket, 'destroy')
    return idle.filter((connection) => !isKeptBack(connection))
  }
  return {
    watchServer: (server) => {
      Object.assign(server, { httpAllowHalfOpen: halfClose !== 'leave' })
      server.on(server instanceof TlsServer ? 'secureConnection' : 'connection', acceptConnection)
      server.on('timeout', (socket) => void endIdle(openConnection(socket), 'idle'))
      server.on('clientError', handleClientError)
      server.on('connect', handleConnect)
    },
    take: (request, response, owner) => {
      const connection = openConnection(request.socket)
      if (connection.isEnding) {
        recordLate(connection, request)
        request.resume()
        return false
      }
      const { inFlight } = connection
      const taken = { request, response, owner, takenAt: timers.now() }
      inFlight.add(taken)
      connection.latest = request
      connection.isReading = true
      // Node runs ticks between the requests that it parses from the same bytes.
      setImmediate(() => (connection.isReading = false))
      installBodyEnd(request, () => endAfterAnswers(connection, 'longBody'))
      const { writeHead } = response
      response.writeHead = ((...head: Parameters<typeof writeHead>) => {
        announceEnd(connection, taken)
        return writeHead.apply(response, head)
      }) as typeof writeHead
      response.once('close', () => finish(connection, taken))
      const others: RoomPriority = inFlight.size > 1 ? 'behind' : 'first'
      if (!memory || admitRequest(memory.heap, response, isFleet ? 'fleet' : others)) return true
      declined?.add(1)
      declineLog(() => logger.warn('request.declined', { host: request.headers.host }))
      declineRequest(request, response, owner.sendDecline)
      return false
    },
    startStop: () => {
      isStopping = true
    },
    destroy,
    closeIdle: async (server) => {
      // Timers run before sockets are read: what has arrived meanwhile is not idle.
      await turns.take()
      for (const connection of listIdle(server)) endConnection(connection, 'plannedStop')
    },
    close: async () => {
      for (const connection of connections.values()) {
        if (connection.inFlight.size === 0) {
          endConnection(connection, 'processEnd')
          continue
        }
        connection.end ??= 'processEnd'
        connection.socket.destroy()
      }
      if (connections.size === 0) return
      const closed = new Promise<void>((resolve) => (notifyClosed = resolve))
      await Promise.race([closed, waitFor(timers, END_LINGER_MS)])
      for (const { socket } of connections.values()) socket.destroy()
    },
  }
}
