/**
 * A router of the direct path: forwards callers' requests to backend servers without a sidecar in between. It keeps no
 * state that must survive a restart; the feed from control supplies the routing table, weights and servers.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { createCrashReportBuffer, createFeedClient, type FeedClient } from '@spoolgate/control'
import {
  addMemoryGauges,
  addRequestMemory,
  createConnectionGuard,
  createConnectionTracker,
  createHttpClient,
  createKeepAliveAgent,
  createMemoryBudget,
  createMetrics,
  createRejectedInputs,
  createRandomSource,
  createTurnQueue,
  createUniqueId,
  findBudgetBytes,
  openPort,
  openResponseHold,
  readBodyBlocks,
  toSpoolgateError,
  waitFor,
  type BackendServerId,
  type CloseReport,
} from '@spoolgate/core'
import { createBackpressure } from '@spoolgate/routing'
import { firstValueFrom, race } from 'rxjs'
import { resolveCall } from './callPlan.js'
import { createCallerServer } from './callerServer.js'
import type { DirectCall } from './protocols.js'
import type { DirectContext } from './directContext.js'
import { createInstruments } from './instruments.js'
import { createLivenessMonitor, checkConnection } from './livenessMonitor.js'
import { createPrefixCacheIndex } from './prefixCacheIndex.js'
import {
  createGracefulShutdown,
  listRefusalFields,
  type TrackedRequest,
} from './gracefulShutdown.js'
import { createRequestQuarantine } from './requestQuarantine.js'
import { createRetryBudget } from './retryBudget.js'
import { createQuotaAdmission } from '../limits/quotaAdmission.js'
import { createQuotaCredits } from '../limits/quotaCredits.js'
import { formatLimits } from '../limits/limitsLog.js'
import { createServerLimits } from '../limits/serverLimits.js'
import { addBackoffs } from './responseSignals.js'
import { createServerStats } from './serverStats.js'
import { createCrashDetector } from './crashDetector.js'
import { startDepartureWatch } from './departureWatch.js'
import { createRestartDetector } from './restartDetector.js'
import { openStreamSetup } from '../streams/streamSetup.js'
import type { DirectRouterOptions } from './directRouterOptions.js'
import { serveCall } from './serveCall.js'
import { createEngineAdmission } from './engineAdmission.js'
import { createEnginePartition } from './enginePartition.js'
import { createServiceTimes } from './serviceTimes.js'
import { createWeightsExpiry } from './weightsExpiry.js'
import { createPartSetup } from '../parts/partSetup.js'
import { createSpeedSetup } from '../speeds/speedSetup.js'

/** A running router. */
export interface DirectRouter {
  readonly port: number
  readonly feed: FeedClient
  /** Returns why the router is not ready for callers, or undefined if it is. */
  findUnreadyReason(): string | undefined
  renderMetrics(): Promise<string>
  /**
   * Shuts down gracefully: reports not ready at once, keeps serving until callers have moved to other routers, then
   * waits for the requests in progress, for `drainMs` at most.
   */
  close(drainMs: number): Promise<CloseReport>
}

/** Fraction of an engine's cache memory presumed available for cached prompt parts beside running requests. */
const CACHED_MEMORY_RATIO = 0.85
const DEFAULT_TABLE_WAIT_MS = 1_500
/** Timeout for receiving a request body, in ms. */
const BODY_TIMEOUT_MS = 10_000
/** Time for which a router that shuts down still accepts requests, in ms: two readiness checks. */
const READINESS_GRACE_MS = 2_600
/** Idle timeout of connections to backend servers, and the margin before the servers' own timeout, in ms. */
const BACKEND_IDLE_MS = 30_000
const BACKEND_IDLE_MARGIN_MS = 1_200
const DEFAULT_MEMORY_MB = 512

/** Creates a router and waits until it is listening. */
export async function createDirectRouter(options: DirectRouterOptions): Promise<DirectRouter> {
  const { timers, logger, caller } = options
  const metrics = createMetrics('router')
  const memory =
    options.memory ?? createMemoryBudget({ limitBytes: findBudgetBytes(DEFAULT_MEMORY_MB), timers })
  addMemoryGauges(metrics, memory)
  const client = createHttpClient({ memory })
  const random = createRandomSource(options.seed ?? Date.now() % 2 ** 31)
  const serverStats = createServerStats(timers, () => engineAdmission?.admission.runWaiting())
  const backpressure = createBackpressure()
  const limits = createServerLimits()
  const rejectedInputs = createRejectedInputs({ logger, timers })
  const rejected = metrics.counter('rejected_inputs', 'Inputs that could not be used, by source')
  rejectedInputs.entries.subscribe(({ source }) => rejected.add(1, { source }))
  const guard = createConnectionGuard({ logger, metrics })
  const agent = createKeepAliveAgent({ idleMs: BACKEND_IDLE_MS, marginMs: BACKEND_IDLE_MARGIN_MS })
  const liveness = createLivenessMonitor({
    timers,
    probe: checkConnection,
    isRegistered: (id) => feed.current()?.servers.has(id) ?? false,
  })
  const prefixCache = createPrefixCacheIndex({ findCacheTokens: (id) => findCacheTokens(id) })
  const findCacheTokens = (holder: BackendServerId): number => {
    const view = feed.current()
    const group = view?.servers.get(holder)?.group
    const engine = group === undefined ? undefined : view?.index.findGroup(group)?.engine
    if (engine) return engine.cacheTokens * CACHED_MEMORY_RATIO
    // An id that belongs to no server belongs to a store.
    return Math.max(0, ...(view?.index.table.stores.map(({ cacheTokens }) => cacheTokens) ?? []))
  }
  const serviceTimes = createServiceTimes()
  const serverSpeeds = createSpeedSetup({
    isUsed: options.serverSpeeds ?? false,
    findView: () => feed.current(),
    timers,
    logger,
    metrics,
  })
  const engineState = { serverStats, backpressure, limits, liveness, serviceTimes, timers }
  const engineAdmission =
    options.admission &&
    createEngineAdmission({
      options: options.admission,
      context: { ...engineState, findEngineRate: serverSpeeds.findEngineRate },
      timers,
      metrics,
      findView: () => feed.current(),
    })
  const crashReports = createCrashReportBuffer(timers)
  const quarantine = createRequestQuarantine({ crashReports, timers, logger })
  const parts = createPartSetup({
    client,
    timers,
    logger,
    metrics,
    findView: () => feed.current(),
    findLeaderUrl: () => feed.leaderUrl(),
  })
  const credits = createQuotaCredits({
    router: options.instance,
    incarnation: createUniqueId('router'),
    countRouters: () => feed.current()?.routers ?? 1,
    random,
  })
  const quotas = createQuotaAdmission({
    credits,
    client,
    timers,
    logger,
    findLeaderUrl: () => feed.leaderUrl(),
  })
  const { peers, recordFolder: folder } = options
  const streamSetup = await openStreamSetup({ peers, folder, timers, logger, metrics, memory })
  const feed: FeedClient = createFeedClient({
    peerUrl: streamSetup.peerUrl,
    isPeerDurable: folder !== undefined,
    router: options.instance,
    seeds: options.seeds,
    client,
    timers,
    random,
    logger,
    decodeTable: options.decodeTable,
    listLoads: () =>
      addBackoffs(serverStats.listLoads(), backpressure.listBackingOff(timers.now())),
    takePlacements: prefixCache.takePlacements,
    blame: crashReports,
    parts: parts.record,
    limits: {
      listUnreported: (term) => limits.listUnreported(term, timers.now()),
      recordAcknowledged: limits.recordAcknowledged,
      applyUpdate: (update, askedAt) => {
        limits.applyUpdate(update, askedAt, timers.now())
        logger.info('limits.updated', formatLimits(update))
      },
    },
    quotas: {
      buildReport: (now) => credits.buildReport([], now),
      applyGrants: credits.applyGrants,
    },
    onLoads: engineAdmission?.recordReport,
    buildQueueReport: engineAdmission?.buildReport,
    speeds: serverSpeeds.sharing,
    buildDemands: engineAdmission?.buildDemands,
    onSuspects: quarantine.applySuspects,
    onTrial: quarantine.grantTrial,
    onPlacements: (placements) => {
      for (const placement of placements) prefixCache.recordPlacement(placement)
    },
    onCacheChanges: (placements) => {
      for (const placement of placements) prefixCache.confirmPlacement(placement)
    },
  })
  const instruments = createInstruments(metrics)
  const { maxConnections } = options
  const trackerParts = { timers, logger, metrics, memory, maxConnections }
  const connections = createConnectionTracker({ ...trackerParts, halfClose: 'probe' })
  const shutdown = createGracefulShutdown({ ...instruments, ...trackerParts, connections, caller })
  const restartDetector = createRestartDetector({
    views: feed.changes,
    agent,
    logger,
    onRestart: (before, after) => {
      backpressure.carryOver(before, after, timers.now())
      limits.carryOver(before, after, timers.now())
    },
  })
  const departureWatch = startDepartureWatch({ feed, logger, metrics })
  const crashDetector = createCrashDetector({
    liveness,
    views: feed.changes,
    timers,
    logger,
    onCrash: (call) => {
      quarantine.recordCrash(call.server.id, call.request, call.round)
      parts.recordCrash(call)
    },
  })
  metrics.gauge(
    'quarantined_requests',
    'Requests that are refused, since servers ended under them',
    quarantine.countQuarantined,
  )
  metrics.gauge(
    'backing_off_servers',
    'Backend servers that asked this router for rest',
    () => backpressure.listBackingOff(timers.now()).length,
  )
  metrics.gauge('limited_servers', 'Backend servers that name a rate limit', limits.countLimited)
  const context: DirectContext = {
    instance: options.instance,
    hall: options.hall,
    feed,
    caller,
    backend: options.backend,
    agent,
    serverStats,
    backpressure,
    limits,
    quotas,
    liveness,
    prefixCache,
    enginePartition: createEnginePartition(timers),
    serviceTimes,
    weightsExpiry: createWeightsExpiry({
      maxAgeMs: options.maxWeightsAgeMs ?? Infinity,
      findView: feed.current,
      serverStats,
      timers,
    }),
    findServerSpeeds: serverSpeeds.findServerSpeeds,
    retryBudget: createRetryBudget({
      timers,
      bounds: options.retryBounds,
      countRouters: () => feed.current()?.routers ?? 1,
    }),
    streams: streamSetup.start(feed),
    restartDetector,
    crashDetector,
    quarantine,
    parts,
    memory,
    timers,
    turns: createTurnQueue(),
    random,
    logger,
    guard,
    rejectedInputs,
    instruments,
    shutdown,
    engineAdmission,
    maxProofAgeMs: options.maxProofAgeMs,
  }
  /** Waits for the first routing table, which a router that has just started receives within a second. */
  const waitForTable = async ({ id, waitMs = Infinity }: DirectCall) => {
    const startedAt = timers.now()
    const maxWaitMs = Math.min(options.tableWaitMs ?? DEFAULT_TABLE_WAIT_MS, waitMs)
    const waits = race(feed.changes, timers.after(maxWaitMs), shutdown.ending)
    await firstValueFrom(waits, { defaultValue: undefined })
    const ms = Math.round(timers.now() - startedAt)
    logger.info('call.waitedForTable', { request: id, ms, isReady: feed.current() !== undefined })
  }

  const handleRequest = async (
    request: IncomingMessage,
    response: ServerResponse,
    tracked: TrackedRequest,
  ) => {
    const arrivedAt = timers.now()
    let call: DirectCall | undefined
    try {
      instruments.requests.add(1)
      call = caller.decodeCall(request)
      tracked.recordCall(call)
      if (!feed.current()) await waitForTable(call)
      const plan = resolveCall(context, call, arrivedAt)
      tracked.recordPlan(plan)
      const { maxBodyBytes } = plan.view.index.table.bounds
      const timeoutMs = Math.min(BODY_TIMEOUT_MS, shutdown.findBodyTimeoutMs())
      addRequestMemory(memory, request, response)
      const body = await readBodyBlocks(request, { maxBytes: maxBodyBytes, timeoutMs })
      if (response.destroyed) return
      // Refuse only after the body has been read: closing a connection with unread bytes may lose the response.
      const refusal = shutdown.findRefusal(plan)
      if (refusal) throw refusal
      await tracked.waitForTurn()
      if (response.destroyed) return
      const answerHold = openResponseHold(memory, response)
      const answerMemory = { hold: answerHold, maxBytes: memory.maxHoldBytes }
      await serveCall(context, plan, body, response, answerMemory)
    } catch (cause) {
      const error = toSpoolgateError(cause)
      logger.info('call.refused', {
        request: call?.id,
        host: call?.host,
        target: call?.target,
        kind: error.kind,
        reason: error.message,
        tableVersion: feed.current()?.index.table.version,
        proofAgeMs: Math.round(feed.proofAgeMs()),
        ...listRefusalFields(error),
      })
      instruments.refusals.add(1, { kind: error.kind })
      if (!response.headersSent) caller.sendRefusal(response, call, error)
      else response.destroy()
    }
  }
  const serverParts = { feed, shutdown, connections, guard, memory, timers, logger }
  const callerServer = createCallerServer({ ...serverParts, handleRequest })
  const { server } = callerServer
  const port = await openPort(server, options)
  logger.info('router.listening', { port, seeds: options.seeds() })

  return {
    port,
    feed,
    findUnreadyReason: () => {
      if (shutdown.isStopping()) return 'stopping'
      if (!feed.current()) return 'no routing table yet'
      return feed.proofAgeMs() > options.maxProofAgeMs ? 'control is out of reach' : undefined
    },
    renderMetrics: metrics.render,
    close: async (drainMs) => {
      shutdown.start(drainMs)
      engineAdmission?.admission.refuseStopped()
      await waitFor(timers, Math.min(READINESS_GRACE_MS, drainMs))
      await callerServer.stopListening()
      await shutdown.waitUntilIdle()
      const abandoned = shutdown.reportCutOff()
      await callerServer.close()
      await streamSetup.close()
      for (const part of [restartDetector, departureWatch, crashDetector, liveness]) part.close()
      engineAdmission?.close()
      await feed.close()
      agent.destroy()
      client.close()
      await metrics.close()
      return { abandoned }
    },
  }
}
