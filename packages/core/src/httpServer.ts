/**
 * HTTP server on Node's `http` or `https`: a route table, typed errors, process keys, and a planned
 * stop that lets exchanges in progress finish.
 */
import { readFileSync } from 'node:fs'
import {
  createServer as createPlainServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http'
import { createServer as createTlsServer, type Server as TlsServer } from 'node:https'
import type { Socket } from 'node:net'
import type { Subscription } from 'rxjs'
import { createConnectionTracker } from './connectionTracker.js'
import { createConnectionGuard } from './connectionGuard.js'
import { formatErrorBody, SpoolgateError, toSpoolgateError } from './errors.js'
import type { HalfClosePolicy } from './halfClose.js'
import { isSameSecret } from './keys.js'
import { openPort } from './openPort.js'
import type { Logger } from './logger.js'
import {
  addRequestMemory,
  addResponseMemory,
  admitResponseText,
  type MemoryBudget,
} from './memoryBudget.js'
import type { Metrics } from './metrics.js'
import { stopListening } from './stopListening.js'
import { waitFor, type TimerService } from './timers.js'
import { processTurns, type TrafficClass } from './turnScheduler.js'

/** One request with its response. */
export interface HttpExchange {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  /** Path without the query. */
  readonly path: string
  readonly query: URLSearchParams
  /** Values of the `:name` segments of the route. */
  readonly params: Readonly<Record<string, string>>
}

/** Serves one exchange; what it throws becomes a typed error answer. */
export type HttpHandler = (exchange: HttpExchange) => Promise<void> | void

/** One entry of a route table. */
export interface Route {
  /** HTTP method, or `*` for any. */
  readonly method: string
  /** Path; `:name` matches one segment, and a final `*` matches the rest. */
  readonly path: string
  /** Key that the sender must hold; undefined leaves the check to the handler. */
  readonly key?: string
  readonly handler: HttpHandler
}

/** Files of a TLS identity, in PEM. */
export interface TlsFiles {
  readonly certFile: string
  readonly keyFile: string
  /**
   * Authority that signs the other processes' certificates.
   * @default undefined, the machine's own authorities
   */
  readonly caFile?: string
}

/** Options of {@link createHttpServer}. */
export interface HttpServerOptions {
  readonly host: string
  /** Port; 0 lets the machine choose. */
  readonly port: number
  readonly routes: readonly Route[]
  readonly logger: Logger
  /**
   * Registry that counts the ends of connections.
   * @default undefined, they are only logged
   */
  readonly metrics?: Pick<Metrics, 'counter'>
  /**
   * Memory budget in which the bodies of requests count.
   * @default undefined, they are bounded one by one
   */
  readonly memory?: MemoryBudget
  /** Clock and timers; TLS files are checked for changes by it. */
  readonly timers: TimerService
  /**
   * TLS identity.
   * @default undefined, plain HTTP
   */
  readonly tls?: TlsFiles
  /**
   * Longest time for a sender to deliver its headers, in milliseconds.
   * @default 10000
   */
  readonly headersTimeoutMs?: number
  /**
   * Largest header block in bytes.
   * @default 16384
   */
  readonly maxHeaderBytes?: number
  /**
   * What becomes of whole requests whose connection is half-closed by its other side.
   * @default 'leave', as for processes of the fleet, which close connections altogether
   */
  readonly halfClose?: HalfClosePolicy
  /**
   * Whose requests start first when several servers of the process are busy.
   * @default 'calls'
   */
  readonly traffic?: TrafficClass
  /**
   * Maximum number of connections; beyond it those without a request are closed first.
   * @default Infinity
   */
  readonly maxConnections?: number
  /**
   * Called for each new connection.
   * @default no action
   */
  readonly onConnection?: () => void
}

/** Bytes that crossed a server's connections. */
export interface TrafficCount {
  readonly received: number
  readonly sent: number
}

/** What a planned stop left behind. */
export interface CloseReport {
  /** Exchanges that were cut because they outlasted the bound. */
  readonly abandoned: number
}

/** A listening server. */
export interface HttpServer {
  /** Base URL with the port that was bound. */
  readonly url: string
  readonly port: number
  /** Exchanges in progress. */
  inProgress(): number
  /** Whether a planned stop is in progress, or over. */
  isClosing(): boolean
  /** Bytes over all connections so far. */
  traffic(): TrafficCount
  /** Adds routes that could only be made once the port was known. */
  addRoutes(routes: readonly Route[]): void
  /** Stops listening, waits up to `drainMs` for exchanges in progress, then cuts the rest. */
  close(drainMs: number): Promise<CloseReport>
}

interface CompiledRoute extends Route {
  readonly segments: readonly string[]
}

const DEFAULT_HEADERS_TIMEOUT_MS = 10_000
const DEFAULT_MAX_HEADER_BYTES = 16_384
const KEEP_ALIVE_TIMEOUT_MS = 60_000
const TLS_CHECK_PERIOD_MS = 5_000
/** Time for which idle connections are kept in a planned stop, in ms. */
const IDLE_GRACE_MS = 300

/** Sends a text as an answer, or a refusal where there is no room for it until the caller has read it. */
export function sendText(
  response: ServerResponse,
  status: number,
  text: string,
  headers: Readonly<Record<string, string>>,
): void {
  const bytes = Buffer.byteLength(text)
  if (!admitResponseText(response, bytes)) {
    response.writeHead(503, { 'retry-after': '1', 'content-length': 0 }).end()
    return
  }
  response.writeHead(status, { 'content-length': bytes, ...headers })
  response.end(text)
}

/** Sends a JSON answer. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  sendText(response, status, JSON.stringify(body), {
    'content-type': 'application/json',
    ...headers,
  })
}

/** Sends a typed error, or cuts the connection when the answer has already begun. */
export function sendError(response: ServerResponse, cause: unknown): void {
  const error = toSpoolgateError(cause)
  if (response.headersSent) {
    response.destroy()
    return
  }
  const headers: Record<string, string> = {}
  if (error.retryAfterSeconds !== undefined) {
    headers['retry-after'] = String(Math.ceil(error.retryAfterSeconds))
  }
  sendJson(response, error.status, formatErrorBody(error), headers)
}

/** Reads the key of an `authorization: Bearer` header. */
export function readBearerKey(request: IncomingMessage): string | undefined {
  const value = request.headers.authorization
  return value?.startsWith('Bearer ') ? value.slice('Bearer '.length).trim() : undefined
}

/**
 * Checks that the sender holds `key`.
 * @throws SpoolgateError `missingKey` or `wrongKey`.
 */
export function checkBearerKey(request: IncomingMessage, key: string): void {
  const given = readBearerKey(request)
  if (given === undefined) {
    throw new SpoolgateError('missingKey', 'send the key as `authorization: Bearer KEY`')
  }
  if (!isSameSecret(given, key)) {
    throw new SpoolgateError('wrongKey', 'this key is not accepted here; check the key file')
  }
}

function compareSegments(
  route: CompiledRoute,
  segments: readonly string[],
): Record<string, string> | undefined {
  const params: Record<string, string> = {}
  for (const [index, wanted] of route.segments.entries()) {
    if (wanted === '*') return params
    const found = segments[index]
    if (found === undefined) return undefined
    if (wanted.startsWith(':')) params[wanted.slice(1)] = decodeURIComponent(found)
    else if (wanted !== found) return undefined
  }
  return segments.length === route.segments.length ? params : undefined
}

function createDispatcher(compiled: readonly CompiledRoute[]) {
  return async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const [path, queryText] = (request.url ?? '/').split('?', 2)
    const segments = path.split('/')
    for (const route of compiled) {
      if (route.method !== '*' && route.method !== request.method) continue
      const params = compareSegments(route, segments)
      if (!params) continue
      if (route.key !== undefined) checkBearerKey(request, route.key)
      const query = new URLSearchParams(queryText ?? '')
      return route.handler({ request, response, path, query, params })
    }
    throw new SpoolgateError('unknownPath', `no route for ${request.method} ${path}; see the docs`)
  }
}

function readTlsOptions(files: TlsFiles) {
  return {
    cert: readFileSync(files.certFile),
    key: readFileSync(files.keyFile),
    ca: files.caFile === undefined ? undefined : readFileSync(files.caFile),
  }
}

/** Loads changed TLS files into a running server, so that certificates renew without a restart. */
function watchTlsFiles(server: TlsServer, files: TlsFiles, options: HttpServerOptions) {
  let current = JSON.stringify(readTlsOptions(files))
  return options.timers.every(TLS_CHECK_PERIOD_MS).subscribe(() => {
    try {
      const tls = readTlsOptions(files)
      const found = JSON.stringify(tls)
      if (found === current) return
      server.setSecureContext(tls)
      current = found
      options.logger.info('tls.reloaded', { cert: files.certFile })
    } catch (cause) {
      const reason = toSpoolgateError(cause).message
      options.logger.error('tls.unreadable', { reason, remedy: 'restore the named files' })
    }
  })
}

function createServerFor(options: HttpServerOptions): Server | TlsServer {
  const settings = {
    headersTimeout: options.headersTimeoutMs ?? DEFAULT_HEADERS_TIMEOUT_MS,
    maxHeaderSize: options.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    requestTimeout: 0,
    noDelay: true,
  }
  if (!options.tls) return createPlainServer(settings)
  return createTlsServer({ ...settings, ...readTlsOptions(options.tls) })
}

/** Creates a server and waits until it listens. */
export async function createHttpServer(options: HttpServerOptions): Promise<HttpServer> {
  const { traffic = 'calls' } = options
  const server = createServerFor(options)
  const compiled: CompiledRoute[] = []
  const addRoutes = (routes: readonly Route[]) => {
    for (const route of routes) compiled.push({ ...route, segments: route.path.split('/') })
  }
  addRoutes(options.routes)
  const dispatch = createDispatcher(compiled)
  const active = new Set<ServerResponse>()
  const sockets = new Set<Socket>()
  const closedTraffic = { received: 0, sent: 0 }
  const connections = createConnectionTracker({ ...options, isFleet: traffic === 'fleet' })
  connections.watchServer(server)
  const guard = createConnectionGuard(options)
  let isClosing = false
  let notifyIdle: () => void = () => {}

  const handleConnection = (socket: Socket) => {
    sockets.add(socket)
    socket.once('close', () => {
      sockets.delete(socket)
      closedTraffic.received += socket.bytesRead
      closedTraffic.sent += socket.bytesWritten
    })
    options.onConnection?.()
  }
  const handleRequest = (request: IncomingMessage, response: ServerResponse) => {
    const onEnd = () => {
      active.delete(response)
      if (active.size === 0) notifyIdle()
    }
    const sendDecline = (error: SpoolgateError) => sendError(response, error)
    if (!connections.take(request, response, { onEnd, sendDecline })) return
    active.add(response)
    if (options.memory) addRequestMemory(options.memory, request, response)
    if (options.memory && traffic !== 'fleet') addResponseMemory(options.memory, response)
    const serve = async () => {
      // The caller may have left while its request waited.
      if (response.destroyed) return
      await dispatch(request, response)
        .catch((cause) => sendError(response, cause))
        .catch((cause) => {
          guard.recordFailure('server.request', cause)
          response.destroy()
        })
    }
    const run = () => processTurns.run(traffic, request.socket, () => void serve())
    // An answer in the turn in which its request is parsed could not announce the end of its connection.
    if (isClosing) setImmediate(run)
    else run()
  }
  server.on('connection', (socket: Socket) =>
    guard.run(
      'server.connection',
      () => handleConnection(socket),
      () => socket.destroy(),
    ),
  )
  server.on('request', (request, response) =>
    guard.run(
      'server.request',
      () => handleRequest(request, response),
      () => response.destroy(),
    ),
  )
  const port = await openPort(server, options)
  const tlsWatch: Subscription | undefined = options.tls
    ? watchTlsFiles(server as TlsServer, options.tls, options)
    : undefined
  const scheme = options.tls ? 'https' : 'http'

  const waitForIdle = (drainMs: number): Promise<void> =>
    new Promise((resolve) => {
      if (active.size === 0) return resolve()
      const timeout = setTimeout(resolve, drainMs)
      notifyIdle = () => {
        clearTimeout(timeout)
        resolve()
      }
    })

  return {
    url: `${scheme}://${options.host}:${port}`,
    port,
    inProgress: () => active.size,
    isClosing: () => isClosing,
    traffic: () => {
      const total = { ...closedTraffic }
      for (const socket of sockets) {
        total.received += socket.bytesRead
        total.sent += socket.bytesWritten
      }
      return total
    },
    addRoutes,
    close: async (drainMs) => {
      isClosing = true
      connections.startStop()
      tlsWatch?.unsubscribe()
      const grace = waitFor(options.timers, Math.min(drainMs, IDLE_GRACE_MS))
      // A caller may be sending a request on an idle connection: it stays for a moment, and what arrives is still served.
      const { closed } = await stopListening(server)
      await grace
      await connections.closeIdle(server)
      await waitForIdle(drainMs)
      const abandoned = active.size
      await connections.close()
      // Connections whose TLS handshake is not over are not tracked.
      for (const socket of sockets) socket.destroy()
      await closed
      return { abandoned }
    },
  }
}
