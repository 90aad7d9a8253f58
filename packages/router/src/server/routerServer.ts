/** The router process, which accepts callers' requests. It keeps no state that a restart must preserve. */
import {
  addMemoryGauges,
  createConnectionGuard,
  createDaemonRoutes,
  createHttpClient,
  createHttpServer,
  createInvariants,
  createMetrics,
  createRandomSource,
  sendJson,
  SpoolgateError,
  toRequestId,
  type BodyLimits,
  type CloseReport,
  type ConnectionGuard,
  type HttpExchange,
  type Invariants,
  type Logger,
  type MemoryBudget,
  type Metrics,
  type TimerService,
  type TlsFiles,
} from '@spoolgate/core'
import { createConfigFollower, createControlClient, type ConfigFollower } from '@spoolgate/control'
import {
  createOutlierEjection,
  createHintTable,
  createRendezvousHash,
  createRetryBudget,
  createSubsetWidths,
  type PolicyState,
} from '@spoolgate/routing'
import { createServerSelector, type ServerSelectorOptions } from '../decide/serverSelector.js'
import { createDecisionLog } from '../decide/decisionLog.js'
import { createTeamLimits } from '../limits/teamLimits.js'
import type { RelayDependencies, RouterInstruments } from '../relay/relayDependencies.js'
import { createCallerRoutes } from './callerRoutes.js'

/** Options of {@link createRouter}. */
export interface RouterOptions {
  readonly instance: string
  readonly hall: string
  readonly region: string
  readonly host: string
  readonly port: number
  /** URLs of the control instances and other peers that serve the configuration. */
  readonly sources: readonly string[]
  /** URLs of the control instances that manage claims. */
  readonly control: readonly string[]
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
  /** @default { maxBytes: 4194304, timeoutMs: 10000 } */
  readonly bodyLimits?: BodyLimits
  /** @default 10000 */
  readonly headersTimeoutMs?: number
  /** @default 16384 */
  readonly maxHeaderBytes?: number
  /**
   * Whether an invariant violation terminates the process.
   * @default false
   */
  readonly isFatal?: boolean
  /**
   * Seed of the random choices between equally ranked servers.
   * @default derived from the clock
   */
  readonly seed?: number
  /**
   * Returns the exact state of a backend server, for the oracle arm of benchmarks.
   * @default undefined
   */
  readonly findExactHints?: ServerSelectorOptions['findExactHints']
}

/** A running router. */
export interface Router {
  readonly url: string
  readonly config: ConfigFollower
  readonly invariants: Invariants
  readonly metrics: Metrics
  /** Shuts down gracefully: accepts no new requests and waits up to `drainMs` for those in progress. */
  close(drainMs?: number): Promise<CloseReport>
}

const DEFAULT_BODY_LIMITS: BodyLimits = { maxBytes: 4 * 1024 * 1024, timeoutMs: 10_000 }
const DEFAULT_DRAIN_MS = 60_000
const DEFAULT_RETRY_BUDGET_RATIO = 0.1
const DEFAULT_EJECTED_RATIO = 0.34
/** Maximum wait for the first configuration before the server listens, in ms. */
const FIRST_CONFIG_WAIT_MS = 10_000

function createInstruments(metrics: Metrics): RouterInstruments {
  return {
    requests: metrics.counter('requests', 'Requests by team, policy and outcome'),
    declines: metrics.counter('declines', 'Declines by reason'),
    retries: metrics.counter('retries', 'Attempts beyond the first'),
    claims: metrics.counter('claims', 'Dispatches of unrepeatable requests by outcome'),
    promptTokens: metrics.counter('prompt_tokens', 'Prompt tokens of claimed calls'),
    cachedTokens: metrics.counter('cached_tokens', 'Prompt tokens found in the cache'),
    firstTokenMs: metrics.histogram('first_token_ms', 'Time to first token in milliseconds'),
  }
}

function createPolicyState(): PolicyState {
  return {
    hints: createHintTable(),
    rendezvous: createRendezvousHash(),
    subsetWidths: createSubsetWidths(),
    nextTurns: new Map(),
  }
}

/** Tracks tasks that outlive the request that started them. */
function createBackgroundTasks(guard: ConnectionGuard) {
  const pending = new Set<Promise<unknown>>()
  return {
    add: (task: Promise<unknown>) => {
      pending.add(task)
      task
        .catch((cause) => guard.recordFailure('caller.background', cause))
        .finally(() => pending.delete(task))
    },
    waitUntilIdle: async () => {
      while (pending.size > 0) await Promise.allSettled([...pending])
    },
  }
}

/** Creates a router. It listens only once it has a configuration, so that it can serve the first request. */
export async function createRouter(options: RouterOptions): Promise<Router> {
  const { logger, timers, processKey } = options
  const metrics = createMetrics('router')
  if (options.memory) addMemoryGauges(metrics, options.memory)
  const invariants = createInvariants({ logger, metrics, fatal: options.isFatal })
  const client = createHttpClient({
    memory: options.memory,
    key: processKey,
    caFile: options.tls?.caFile,
  })
  const { instance, sources } = options
  const followerOptions = { node: instance, sources, client, timers, logger, invariants }
  const config = createConfigFollower(followerOptions)
  const state = createPolicyState()
  const findRouting = () => config.current()?.routing
  const ejection = createOutlierEjection({
    findMaxEjectedRatio: () => findRouting()?.maxEjectedRatio ?? DEFAULT_EJECTED_RATIO,
  })
  const decisions = createDecisionLog(logger)
  const guard = createConnectionGuard({ logger, metrics })
  const background = createBackgroundTasks(guard)
  const control = createControlClient({ urls: options.control, client, timers })
  const limits = createTeamLimits({ router: instance, control, timers, logger })
  const parts: RelayDependencies = {
    limits,
    client,
    timers,
    logger,
    invariants,
    config,
    control,
    serverSelector: createServerSelector({
      hall: options.hall,
      region: options.region,
      state,
      ejection,
      client,
      timers,
      random: createRandomSource(options.seed ?? Date.now() % 2 ** 31),
      logger,
      metrics,
      decisions,
      findExactHints: options.findExactHints,
    }),
    decisions,
    state,
    ejection,
    budget: createRetryBudget(() => findRouting()?.retryBudgetRatio ?? DEFAULT_RETRY_BUDGET_RATIO),
    instruments: createInstruments(metrics),
    trackBackgroundWork: background.add,
  }

  const serveExplanation = ({ response, params }: HttpExchange) => {
    const record = decisions.find(toRequestId(params.request))
    if (!record) {
      throw new SpoolgateError('notFound', 'this router does not remember that request; ask others')
    }
    sendJson(response, 200, record)
  }
  await config.waitForVersion(0, FIRST_CONFIG_WAIT_MS)
  const server = await createHttpServer({
    host: options.host,
    port: options.port,
    tls: options.tls,
    logger,
    metrics,
    timers,
    memory: options.memory,
    headersTimeoutMs: options.headersTimeoutMs,
    maxHeaderBytes: options.maxHeaderBytes,
    routes: [
      ...createDaemonRoutes({
        metrics,
        findUnreadyReason: () => (config.current() ? undefined : 'no configuration yet'),
      }),
      ...config.createRoutes(processKey),
      { method: 'GET', path: '/explain/:request', key: processKey, handler: serveExplanation },
      ...createCallerRoutes({
        parts,
        limits: options.bodyLimits ?? DEFAULT_BODY_LIMITS,
        isStopping: () => server.isClosing(),
      }),
    ],
  })
  logger.info('router.listening', { url: server.url, version: config.version() })

  return {
    url: server.url,
    config,
    invariants,
    metrics,
    close: async (drainMs = DEFAULT_DRAIN_MS) => {
      const report = await server.close(drainMs)
      if (drainMs > 0) await background.waitUntilIdle()
      if (report.abandoned > 0) logger.error('router.abandoned', { requests: report.abandoned })
      limits.close()
      await config.close()
      client.close()
      await metrics.close()
      return report
    },
  }
}
