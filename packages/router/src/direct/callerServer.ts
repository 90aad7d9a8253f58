/** The HTTP server for callers: its connections, and the bounds that the routing table in force sets on them. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { FeedClient } from '@spoolgate/control'
import {
  stopListening,
  type ConnectionGuard,
  type ConnectionTracker,
  type Logger,
  type MemoryBudget,
  type TimerService,
} from '@spoolgate/core'
import type { GracefulShutdown, TrackedRequest } from './gracefulShutdown.js'
import { startHeadWatch } from './headWatch.js'

/** Options of {@link createCallerServer}. */
export interface CallerServerOptions {
  readonly feed: Pick<FeedClient, 'changes'>
  readonly shutdown: Pick<GracefulShutdown, 'track'>
  readonly connections: Pick<ConnectionTracker, 'watchServer' | 'closeIdle' | 'destroy' | 'close'>
  readonly guard: ConnectionGuard
  /** Budget of which heads that are not complete may take a part. */
  readonly memory: MemoryBudget
  readonly timers: TimerService
  readonly logger: Logger
  /** Serves a request; a rejected promise closes its connection. */
  readonly handleRequest: (
    request: IncomingMessage,
    response: ServerResponse,
    tracked: TrackedRequest,
  ) => Promise<void>
}

/** A server that does not listen yet. */
export interface CallerServer {
  readonly server: Server
  /** Stops listening, and ends idle connections. */
  stopListening(): Promise<void>
  /** Closes all connections. */
  close(): Promise<void>
}

/** Maximum size of the request headers, in bytes: twice what routing tables allow, which is checked later. */
const MAX_HEADER_BYTES = 32_768
/** Timeouts until the first routing table arrives, in ms. */
const INITIAL_HEADERS_TIMEOUT_MS = 3_000
const INITIAL_KEEP_ALIVE_MS = 15_000

/** Creates the server. */
export function createCallerServer(options: CallerServerOptions): CallerServer {
  const { feed, shutdown, connections, guard, memory, timers, logger } = options
  const heads = startHeadWatch({
    memory,
    connections,
    maxHeadBytes: MAX_HEADER_BYTES,
    timers,
    logger,
  })
  const server = createServer({
    headersTimeout: INITIAL_HEADERS_TIMEOUT_MS,
    keepAliveTimeout: INITIAL_KEEP_ALIVE_MS,
    maxHeaderSize: MAX_HEADER_BYTES,
    requestTimeout: 0,
    noDelay: true,
  })
  connections.watchServer(server)
  server.on('connection', (socket: Socket) => heads.addConnection(socket))
  server.on('request', (request, response) => {
    const abandon = () => void response.destroy()
    const handle = () => {
      response.once('close', heads.recordRequest(request.socket).finish)
      const tracked = shutdown.track(request, response)
      if (!tracked) return
      options.handleRequest(request, response, tracked).catch((cause) => {
        guard.recordFailure('caller.request', cause)
        abandon()
      })
    }
    guard.run('caller.request', handle, abandon)
  })
  const boundsSubscription = feed.changes.subscribe(({ index }) => {
    const { headerTimeoutMs, idleTimeoutMs } = index.table.bounds
    server.headersTimeout = headerTimeoutMs
    server.keepAliveTimeout = idleTimeoutMs
  })
  return {
    server,
    stopListening: async () => {
      await stopListening(server)
      await connections.closeIdle(server)
    },
    close: async () => {
      await connections.close()
      boundsSubscription.unsubscribe()
      heads.close()
    },
  }
}
