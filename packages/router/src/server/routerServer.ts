/** A router: the entry process that callers talk to. It holds nothing that a restart would miss. */
import {
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
  type HttpExchange,
  type Invariants,
  type Logger,
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
  /** Control instances, and any peers, that serve the configuration. */
  readonly sources: readonly string[]
  /** Control instances, for claims. */
  readonly control: readonly string[]
  readonly processKey: string
  readonly logger: Logger
  readonly timers: TimerService
  /** @default undefined, plain HTTP */
  readonly tls?: TlsFiles
  /** @default { maxBytes: 4194304, timeoutMs: 10000 } */
  readonly bodyLimits?: BodyLimits
  /** @default 10000 */
  readonly headersTimeoutMs?: number
  /** @default 16384 */
  readonly maxHeaderBytes?: number
  /**
   * Whether a violated invariant ends the run.
   * @default false
   */
  readonly isFatal?: boolean
  /**
   * Seed of the choices among equals.
   * @default drawn from the clock
   */
  readonly seed?: number
  /**
   * Full knowledge of the backend servers, for the oracle of benchmarks.
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
  /** Planned stop: takes no new request, waits up to `drainMs` for those in progress. */
  close(drainMs?: number): Promise<CloseReport>
}

const DEFAULT_BODY_LIMITS: BodyLimits = { maxBytes: 4 * 1024 * 1024, timeoutMs: 10_000 }
const DEFAULT_DRAIN_MS = 60_000
const DEFAULT_RETRY_RATIO = 0.1
const DEFAULT_EJECTED_RATIO = 0.34
/** Longest wait for the first configuration before listening, in ms. */
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

/** Keeps track of work that outlives the request that began it. */
function createBackground() {
  const running = new Set<Promise<unknown>>()
  return {
    add: (work: Promise<unknown>) => {
      running.add(work)
      void work.finally(() => running.delete(work))
    },
    waitUntilIdle: async () => {
      while (running.size > 0) await Promise.allSettled([...running])
    },
  }
}

/** Creates a router; it listens once it has a configuration, so its first request is served. */
export async function createRouter(options: RouterOptions): Promise<Router> {
  const { logger, timers, processKey } = options
  const metrics = createMetrics('router')
  const invariants = createInvariants({ logger, metrics, fatal: options.isFatal })
  const client = createHttpClient({ key: processKey, caFile: options.tls?.caFile })
  const { instance, sources } = options
  const follower = { node: instance, sources, client, timers, logger, invariants }
  const config = createConfigFollower(follower)
  const state = createPolicyState()
  const findRouting = () => config.current()?.routing
  const ejection = createOutlierEjection({
    findMaxEjectedRatio: () => findRouting()?.maxEjectedRatio ?? DEFAULT_EJECTED_RATIO,
  })
  const decisions = createDecisionLog(logger)
  const background = createBackground()
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
    budget: createRetryBudget(() => findRouting()?.retryBudgetRatio ?? DEFAULT_RETRY_RATIO),
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
    timers,
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
