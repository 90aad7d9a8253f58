/**
 * A control instance of deployments where backend servers register themselves: the replicated log
 * with routing table, weights and servers, the feed to routers, and the rollout of weights.
 */
import {
  createDaemonRoutes,
  createHttpClient,
  createHttpServer,
  createInvariants,
  createMetrics,
  createRandomSource,
  INTERNAL_BODY_LIMITS,
  readJson,
  sendJson,
  type CloseReport,
  type HttpExchange,
  type Logger,
  type RejectedInputs,
  type Route,
  type TimerService,
} from '@spoolgate/core'
import type { RoutingTable } from '@spoolgate/routing'
import { merge, Subject } from 'rxjs'
import { createQuarantineCoordinator } from '../quarantine/quarantineCoordinator.js'
import { createGroupKeeper, JOIN_PATH } from '../group/groupKeeper.js'
import type { Joiner } from '../group/groupPlan.js'
import { openIdentity } from '../group/identity.js'
import { openDataFolder, type DataFolder } from '../log/dataFolder.js'
import { openLogStore } from '../log/logStore.js'
import { createRaftMember } from '../raft/member.js'
import type { RaftMember } from '../raft/types.js'
import { createRaftRoute } from '../server/groupRoutes.js'
import { createHttpTransport } from '../server/raftTransport.js'
import { createControlMachine, type ControlMachine } from '../state/controlMachine.js'
import { createCacheWatch, type CacheCalls } from './cacheWatch.js'
import type { EngineClient } from './engineClient.js'
import { FEED_PATH, TABLE_PATH, type FeedRequest } from './feed.js'
import { createFeedSource } from './feedSource.js'
import {
  createFleetOperationRunner,
  OPERATION_PATH,
  type FleetOperationRunner,
} from './fleetOperations.js'
import { createKnownTable } from './knownTable.js'
import { createQuotaBuckets } from './quotaBuckets.js'
import { QUOTA_PATH, type QuotaReport, type QuotaTolerance } from './quotaProtocol.js'
import { createServerMonitor } from './serverMonitor.js'
import { createTableAccess, type TableAccess } from './tableAccess.js'
import { createTableSource, type TableRequest } from './tableSource.js'
import { createWeightsRollout } from './weightsRollout.js'
import { createTableHistory } from '../table/tableHistory.js'

/** Options of {@link createRegistryControl}. */
export interface RegistryControlOptions {
  readonly instance: string
  readonly host: string
  /** Port for the fleet's own processes; 0 lets the machine choose. */
  readonly port: number
  /** Folder on the disk, or a folder that a test made. */
  readonly dataFolder: string | DataFolder
  /** URLs of the control instances to start from; read again whenever they are needed. */
  readonly seeds: () => readonly string[]
  /** Whether the whole fleet starts for the first time, so that the seeds found the group. */
  readonly isFirstStart: boolean
  /** Voters that the group should have. */
  readonly wantedVoters: number
  readonly orders: EngineClient
  readonly cacheCalls: CacheCalls
  /** Decodes the operators' document. */
  readonly decodeTable: (document: string) => RoutingTable
  /** Time for which orders of an earlier leader may still count, in ms. */
  readonly orderLeaseMs: number
  /** Silence after which a backend server counts as silent, in ms. */
  readonly silentAfterMs: number
  /** Age of a newer version after which nothing may begin on older weights, in ms. */
  readonly weightsExpireMs: number
  /** Tolerance on what teams with limits have run. */
  readonly quotaTolerance: QuotaTolerance
  /** Notes what comes from outside and cannot be used. */
  readonly rejectedInputs: RejectedInputs
  readonly logger: Logger
  readonly timers: TimerService
  /** @default 800, well above a pause of the processor and below the bound on changes */
  readonly electionMs?: number
  /** @default 100 */
  readonly heartbeatMs?: number
  /**
   * When this process began, in ms of the monotonic clock of `timers`.
   * @default now
   */
  readonly startedAt?: number
  /** Called when the disk failed; the daemon must then end. */
  readonly onFailure?: (cause: unknown) => void
}

/** A running control instance. */
export interface RegistryControl {
  readonly url: string
  readonly member: RaftMember
  readonly machine: ControlMachine
  /** Runs what operators and backend servers ask for. */
  readonly operator: FleetOperationRunner
  /** The routing table for operators. */
  readonly table: TableAccess
  /** Renders the metrics. */
  renderMetrics(): Promise<string>
  close(drainMs: number): Promise<CloseReport>
}

const DEFAULT_ELECTION_MS = 500
const DEFAULT_HEARTBEAT_MS = 100
/** Entries between snapshots: tables of 100 KB then stay under 7 MB on a disk of 64 MB. */
const SNAPSHOT_EVERY = 64

/** Creates a control instance and waits until it listens. */
export async function createRegistryControl(
  options: RegistryControlOptions,
): Promise<RegistryControl> {
  const { logger, timers, instance } = options
  const metrics = createMetrics('control')
  const invariants = createInvariants({ logger, metrics })
  const electionMs = options.electionMs ?? DEFAULT_ELECTION_MS
  const machine = createControlMachine()
  const client = createHttpClient()
  const { dataFolder } = options
  const folder = typeof dataFolder === 'string' ? await openDataFolder(dataFolder) : dataFolder
  const server = await createHttpServer({
    host: options.host,
    port: options.port,
    logger,
    timers,
    routes: [],
  })
  const { url } = server
  const seeds = options.seeds()
  const identity = await openIdentity({
    folder,
    url,
    seeds: seeds.length > 0 ? seeds : [url],
    isFirstStart: options.isFirstStart,
  })
  const store = await openLogStore({
    folder,
    logger,
    onFailure: (cause) => {
      logger.error('disk.failed', { reason: String(cause), remedy: 'replace or empty the disk' })
      options.onFailure?.(cause)
    },
  })
  const member = createRaftMember({
    name: identity.name,
    url,
    founders: identity.founders,
    isFounding: identity.name in identity.founders,
    store,
    machine,
    transport: createHttpTransport({ client, timeoutMs: electionMs }),
    timers,
    random: createRandomSource(Date.now() % 2 ** 31),
    logger,
    invariants,
    metrics,
    electionMs,
    heartbeatMs: options.heartbeatMs ?? DEFAULT_HEARTBEAT_MS,
    snapshotEvery: SNAPSHOT_EVERY,
    startedAt: options.startedAt,
  })
  const keeper = createGroupKeeper({
    member,
    name: identity.name,
    url,
    seeds: options.seeds,
    wantedVoters: options.wantedVoters,
    client,
    timers,
    logger,
  })
  const stopping = new Subject<void>()
  const table = createKnownTable({
    table: machine.table,
    decodeTable: options.decodeTable,
    logger,
  })
  const rejectedInputs = metrics.counter(
    'rejected_inputs',
    'Entries from outside that could not be used',
  )
  options.rejectedInputs.entries.subscribe(({ source }) => rejectedInputs.add(1, { source }))
  const operator = createFleetOperationRunner({
    member,
    machine,
    client,
    timers,
    logger,
    silentAfterMs: options.silentAfterMs,
    isKnownGroup: table.isKnownGroup,
    rejectedInputs: options.rejectedInputs,
  })
  const rollout = createWeightsRollout({
    member,
    machine,
    orders: options.orders,
    instance,
    timers,
    logger,
    orderLeaseMs: options.orderLeaseMs,
    sumLoads: () => feed.sumLoads(),
    findSilenceMs: operator.findSilenceMs,
  })
  const watch = createServerMonitor({
    machine,
    timers,
    findSilenceMs: operator.findSilenceMs,
    silentAfterMs: options.silentAfterMs,
    weightsExpireMs: options.weightsExpireMs,
  })
  const caches = createCacheWatch({
    member,
    machine,
    calls: options.cacheCalls,
    table,
    timers,
    logger,
    onKept: (placements) => feed.addKept(placements),
  })
  const tables = createTableHistory({
    current: machine.table.current,
    changes: machine.fleetChanges,
  })
  const tableSource = createTableSource({
    table: machine.table,
    tables,
    changes: machine.fleetChanges,
    timers,
    stopping,
  })
  const blame = createQuarantineCoordinator({
    member,
    quarantine: machine.quarantine,
    timers,
    logger,
  })
  const quotas = createQuotaBuckets({
    timers,
    findQuota: table.findQuota,
    tolerance: options.quotaTolerance,
  })
  const feed = createFeedSource({
    quotas,
    member,
    machine,
    timers,
    tables,
    blame,
    findConditions: () => ({
      loading: rollout.listLoading(),
      expired: watch.listExpired(),
      silent: watch.listSilent(),
      stores: caches.listLives(),
    }),
    conditionChanges: merge(rollout.loadingChanges, watch.changes, caches.changes),
    kept: caches.kept,
    waitForKept: caches.waitForFirstAnswers,
    stopping,
  })
  const findUnreadyReason = () =>
    member.status().leader === undefined ? 'no leader is known' : undefined
  const routes: Route[] = [
    ...createDaemonRoutes({ metrics, findUnreadyReason }),
    createRaftRoute({ member, isCut: () => false }),
    {
      method: 'POST',
      path: JOIN_PATH,
      handler: async ({ request, response }: HttpExchange) => {
        keeper.noteJoin((await readJson(request, INTERNAL_BODY_LIMITS)) as Joiner)
        sendJson(response, 200, {})
      },
    },
    {
      method: 'POST',
      path: FEED_PATH,
      handler: async ({ request, response }: HttpExchange) => {
        const asked = (await readJson(request, INTERNAL_BODY_LIMITS)) as FeedRequest
        sendJson(response, 200, await feed.answer(asked, response))
      },
    },
    {
      method: 'POST',
      path: QUOTA_PATH,
      handler: async ({ request, response }: HttpExchange) => {
        const report = (await readJson(request, INTERNAL_BODY_LIMITS)) as QuotaReport
        sendJson(response, 200, feed.grantQuotas(report))
      },
    },
    {
      method: 'GET',
      path: QUOTA_PATH,
      handler: ({ response }: HttpExchange) => sendJson(response, 200, feed.listQuotas()),
    },
    {
      method: 'POST',
      path: TABLE_PATH,
      handler: async ({ request, response }: HttpExchange) => {
        const asked = (await readJson(request, INTERNAL_BODY_LIMITS)) as TableRequest
        sendJson(response, 200, await tableSource.answer(asked, response))
      },
    },
    {
      method: 'POST',
      path: `${OPERATION_PATH}/:name`,
      handler: async ({ request, response, params }: HttpExchange) => {
        const input = await readJson(request, INTERNAL_BODY_LIMITS)
        sendJson(response, 200, await operator.runHere(params.name, input))
      },
    },
  ]
  server.addRoutes(routes)
  logger.info('control.listening', {
    url,
    member: identity.name,
    seeds,
    voters: options.wantedVoters,
  })

  return {
    url,
    member,
    machine,
    operator,
    table: createTableAccess({ operator, table: machine.table }),
    renderMetrics: metrics.render,
    close: async (drainMs) => {
      stopping.next()
      watch.close()
      await caches.close()
      await keeper.close()
      await rollout.close()
      const report = await server.close(drainMs)
      await member.close()
      client.close()
      await metrics.close()
      return report
    },
  }
}
