/** The process beside a backend server: the only way in to it. */
import {
  addMemoryGauges,
  createDaemonRoutes,
  createHttpClient,
  createHttpServer,
  createInvariants,
  createMetrics,
  createUniqueId,
  BODY_LIMITS,
  readJson,
  sendJson,
  toBackendServerId,
  toIncarnation,
  waitFor,
  type Incarnation,
  type Invariants,
  type Logger,
  type MemoryBudget,
  type TimerService,
  type TlsFiles,
} from '@spoolgate/core'
import {
  createConfigFollower,
  createControlClient,
  type ConfigFollower,
  type Order,
} from '@spoolgate/control'
import type { ReplyHints } from '@spoolgate/routing'
import { BACKEND_ADAPTERS } from '../backend/adapters.js'
import { createBackendWatcher, type BackendState } from '../backend/backendWatcher.js'
import { createCacheIndex } from '../backend/cacheIndex.js'
import { createCallHandler } from '../calls/callHandler.js'
import { createCallTable } from '../calls/callTable.js'
import { createDispatchTable } from '../calls/dispatches.js'
import { createFairQueue } from '../calls/fairQueue.js'
import { createLoadEstimate } from '../calls/loadEstimate.js'
import { createOrderGate } from '../orders/orderGate.js'

/** Options of {@link createSidecar}. */
export interface SidecarOptions {
  /** Backend server as the fleet configuration names it. */
  readonly server: string
  readonly adapter: keyof typeof BACKEND_ADAPTERS
  /** Base URL of the backend server. */
  readonly backendUrl: string
  readonly host: string
  readonly port: number
  /** Control instances, and any peers, that serve the configuration. */
  readonly sources: readonly string[]
  readonly processKey: string
  readonly logger: Logger
  readonly timers: TimerService
  /**
   * Budget of the bodies that this process holds.
   * @default undefined, they are bounded one by one
   */
  readonly memory?: MemoryBudget
  /** @default undefined, plain HTTP */
  readonly tls?: TlsFiles
  /** @default 32 */
  readonly slots?: number
  /** @default 64 */
  readonly queueLimit?: number
  /** @default 3000 */
  readonly resumeWindowMs?: number
  /**
   * Whether a violated invariant ends the run.
   * @default false
   */
  readonly isFatal?: boolean
}

/** What a planned stop of a sidecar left. */
export interface SidecarCloseReport {
  /** Calls that were still running when the bound was reached. */
  readonly abandoned: number
}

/** A running sidecar. */
export interface Sidecar {
  readonly url: string
  readonly incarnation: Incarnation
  readonly invariants: Invariants
  readonly config: ConfigFollower
  backend(): BackendState
  /** What a reply would say now. */
  hints(): ReplyHints
  /** Declines new work from now on; work in progress continues. */
  leave(): void
  /** Planned stop: leaves, waits up to `drainMs` for calls in progress, then closes. */
  close(drainMs?: number): Promise<SidecarCloseReport>
}

const DEFAULT_SLOTS = 32
const DEFAULT_QUEUE_LIMIT = 64
const DEFAULT_RESUME_WINDOW_MS = 3_000
/** How long the answer of an unrepeatable call is kept beside its backend server, in ms. */
const DISPATCH_WINDOW_MS = 600_000
const DEFAULT_DRAIN_MS = 60_000

/** Creates a sidecar and waits until it listens. */
export async function createSidecar(options: SidecarOptions): Promise<Sidecar> {
  const { timers, processKey } = options
  const server = toBackendServerId(options.server)
  const incarnation = toIncarnation(createUniqueId('sidecar'))
  const adapter = BACKEND_ADAPTERS[options.adapter]
  const { logger } = options
  const metrics = createMetrics('sidecar')
  if (options.memory) addMemoryGauges(metrics, options.memory)
  const invariants = createInvariants({ logger, metrics, fatal: options.isFatal })
  const client = createHttpClient({
    memory: options.memory,
    key: processKey,
    caFile: options.tls?.caFile,
  })
  const backendClient = createHttpClient({ memory: options.memory })
  const control = createControlClient({ urls: options.sources, client, timers })
  const config = createConfigFollower({
    node: options.server,
    sources: options.sources,
    client,
    timers,
    logger,
    invariants,
  })
  const index = createCacheIndex()
  const watcher = await createBackendWatcher({
    url: options.backendUrl,
    isEngine: adapter.isEngine,
    index,
    client: backendClient,
    timers,
    logger,
  })
  const dispatches = createDispatchTable()
  const calls = createCallTable({
    timers,
    resumeWindowMs: options.resumeWindowMs ?? DEFAULT_RESUME_WINDOW_MS,
    dispatchWindowMs: DISPATCH_WINDOW_MS,
    onForget: (call) => {
      const outcome = call.outcome()
      if (call.header.dispatch && outcome) dispatches.forget(call.header.dispatch, outcome)
    },
  })
  const gate = createOrderGate({
    server,
    url: options.backendUrl,
    client: backendClient,
    control,
    watcher,
    logger,
    invariants,
  })
  const slots = options.slots ?? DEFAULT_SLOTS
  let isLeaving = false
  const findUnreadyReason = () => {
    if (isLeaving) return 'leaving'
    if (config.current() === undefined) return 'no configuration yet'
    return watcher.state().isReady ? undefined : 'backend server does not answer'
  }

  const handler = createCallHandler({
    incarnation,
    server,
    url: options.backendUrl,
    slots,
    queueLimit: options.queueLimit ?? DEFAULT_QUEUE_LIMIT,
    processKey,
    adapter,
    client: backendClient,
    config,
    watcher,
    index,
    calls,
    dispatches,
    queue: createFairQueue(slots),
    estimate: createLoadEstimate(timers),
    timers,
    logger,
    invariants,
    declines: metrics.counter('calls_declined', 'Declined calls by reason'),
    isLeaving: () => isLeaving,
  })

  const httpServer = await createHttpServer({
    host: options.host,
    port: options.port,
    tls: options.tls,
    logger,
    metrics,
    timers,
    memory: options.memory,
    routes: [
      ...createDaemonRoutes({ metrics, findUnreadyReason }),
      ...config.createRoutes(processKey),
      ...handler.routes,
      {
        method: 'POST',
        path: '/orders',
        key: processKey,
        handler: async ({ request, response }) => {
          await gate.apply((await readJson(request, BODY_LIMITS.message)) as Order)
          await watcher.refresh()
          sendJson(response, 200, {})
        },
      },
      {
        method: 'GET',
        path: '/status',
        key: processKey,
        handler: ({ response }) =>
          sendJson(response, 200, { server, incarnation, isLeaving, backend: watcher.state() }),
      },
    ],
  })
  logger.info('sidecar.listening', { url: httpServer.url, server, incarnation })

  return {
    url: httpServer.url,
    incarnation,
    invariants,
    config,
    backend: () => watcher.state(),
    hints: () => handler.buildHints(0),
    leave: () => {
      isLeaving = true
    },
    close: async (drainMs = DEFAULT_DRAIN_MS) => {
      isLeaving = true
      const expired = new AbortController()
      await Promise.race([calls.waitUntilIdle(), waitFor(timers, drainMs, expired.signal)])
      expired.abort()
      const abandoned = calls.running()
      if (abandoned > 0) logger.error('sidecar.abandoned', { calls: abandoned })
      await httpServer.close(drainMs === 0 ? 0 : Math.min(drainMs, 1_000))
      calls.close()
      await watcher.close()
      await config.close()
      client.close()
      backendClient.close()
      await metrics.close()
      return { abandoned }
    },
  }
}
