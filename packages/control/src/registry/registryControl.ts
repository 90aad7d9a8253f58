/**
 * Control instance for deployments in which backend servers register themselves. It runs the replicated log that
 * holds the routing table, weights and servers, serves the feed to routers, and rolls out weights.
 */
import {
  addMemoryGauges,
  createDaemonRoutes,
  createHttpClient,
  createHttpServer,
  createInvariants,
  createMetrics,
  createRandomSource,
  type CloseReport,
  type Logger,
  type MemoryBudget,
  type Metrics,
  type RejectedInputs,
  type Route,
  type TimerService,
} from '@spoolgate/core'
import type { RoutingTable } from '@spoolgate/routing'
import { merge, Subject } from 'rxjs'
import { createQuarantineCoordinator } from '../quarantine/quarantineCoordinator.js'
import { createPartCoordinator } from '../parts/partCoordinator.js'
import { createMembershipManager } from '../group/membershipManager.js'
import { createMembershipRoutes } from '../group/membershipRoutes.js'
import { openControlDisk, type ControlDisk, type ControlDiskOptions } from '../log/controlDisk.js'
import type { DataFolder } from '../log/dataFolder.js'
import { createRaftMember } from '../raft/member.js'
import type { RaftMember } from '../raft/types.js'
import { createRaftRoute } from '../server/groupRoutes.js'
import { createHttpTransport } from '../server/raftTransport.js'
import { createControlStateMachine, type ControlStateMachine } from '../state/controlMachine.js'
import { createCacheWatch, type CacheClient } from './cacheWatch.js'
import type { EngineClient } from './engineClient.js'
import { createFeedSource } from './feedSource.js'
import { createFleetOperationRunner, type FleetOperationRunner } from './fleetOperations.js'
import { createQuarantineRoutes } from './quarantineRoutes.js'
import { createDecodedTable } from './decodedTable.js'
import { createLoggedOperations } from './departureLog.js'
import { createQuotaBuckets } from './quotaBuckets.js'
import { createRegistryRoutes } from './registryRoutes.js'
import type { QuotaTolerance } from './quotaProtocol.js'
import { createOverloadMonitor } from './overloadMonitor.js'
import { createServerMonitor } from './serverMonitor.js'
import { createTableAccess, type TableAccess } from './tableAccess.js'
import { createTableSource } from './tableSource.js'
import { createOrderCounter, startWeightsReport } from './weightsReport.js'
import { createWeightsRollout } from './weightsRollout.js'
import { createVersionGate } from './versionGate.js'
import { startVersionRetention } from './versionRetention.js'
import { createTableDecoder } from '../table/tableDecoder.js'
import { createTableHistory } from '../table/tableHistory.js'

/** Options of {@link createRegistryControl}. */
export interface RegistryControlOptions {
  readonly instance: string
  readonly host: string
  /** Port for internal traffic; 0 picks a free port. */
  readonly port: number
  /** Path of the data folder, or a folder implementation supplied by a test. */
  readonly dataFolder: string | DataFolder
  /** URLs of the initial control instances; called again on each use. */
  readonly seeds: () => readonly string[]
  /** Whether this is the first start of the deployment, in which the seeds form the initial group. */
  readonly isFirstStart: boolean
  /** Target number of voters in the group. */
  readonly targetVoters: number
  readonly engineClient: EngineClient
  readonly cacheCalls: CacheClient
  /** Decodes the routing table document submitted by operators. */
  readonly decodeTable: (document: string) => RoutingTable
  /** Time for which orders of a previous leader may still take effect, in ms. */
  readonly orderLeaseMs: number
  /** Time without a heartbeat after which a backend server counts as silent, in ms. */
  readonly silentAfterMs: number
  /** Age of a newer weights version after which no request may start on an older one, in ms. */
  readonly weightsExpireMs: number
  /** Permitted overrun of team limits. */
  readonly quotaTolerance: QuotaTolerance
  /** Budget whose gauges are among the metrics. */
  readonly memory?: MemoryBudget
  /**
   * Maximum number of connections from the fleet.
   * @default Infinity
   */
  readonly maxConnections?: number
  /** Records external input that was rejected. */
  readonly rejectedInputs: RejectedInputs
  readonly logger: Logger
  readonly timers: TimerService
  /**
   * Election timeout, in ms: well above a scheduling pause and below the bound on configuration changes.
   * @default 500
   */
  readonly electionMs?: number
  /**
   * Interval of the leader's heartbeats to the group, in ms.
   * @default 100
   */
  readonly heartbeatMs?: number
  /**
   * Start time of this process on the monotonic clock of `timers`, in ms.
   * @default now
   */
  readonly startedAt?: number
  /**
   * Disk that {@link openRegistryDisk} opened for this address.
   * @default opened once the instance listens
   */
  readonly disk?: ControlDisk
  /**
   * Registry of an instance whose members follow one another; its owner closes it.
   * @default one that is closed with this instance
   */
  readonly metrics?: Metrics
  /** Called after a disk failure; this instance must then be closed. */
  readonly onFailure?: (cause: unknown) => void
}

/** A running control instance; see {@link createRegistryControl}. */
export interface RegistryControl {
  readonly url: string
  readonly member: RaftMember
  readonly machine: ControlStateMachine
  /** Runs the operations requested by operators and backend servers. */
  readonly operations: FleetOperationRunner
  /** Operators' access to the routing table. */
  readonly table: TableAccess
  /** Registry of this instance, for its other servers. */
  readonly metrics: Pick<Metrics, 'counter'>
  renderMetrics(): Promise<string>
  /** Counts a connection to another address of this instance. */
  recordConnection(): void
  close(drainMs: number): Promise<CloseReport>
}

const DEFAULT_ELECTION_MS = 500
const DEFAULT_HEARTBEAT_MS = 100
/** Log entries between snapshots: with tables of 100 KB, the log stays under 7 MB on a 64 MB disk. */
const SNAPSHOT_EVERY = 64
/**
 * Connections over which heartbeats go to the leader singly. Without a bound, a slow leader would get one connection
 * per waiting heartbeat: 930 per second with 300 machines.
 */
export const MAX_HEARTBEAT_CONNECTIONS = 16

/** What to do about a disk that refuses writes. */
export const DISK_REMEDY = 'replace or empty the disk'

/** Options of {@link openRegistryDisk}. */
export interface RegistryDiskOptions
  extends
    Pick<
      RegistryControlOptions,
      'dataFolder' | 'seeds' | 'isFirstStart' | 'logger' | 'timers' | 'onFailure'
    >,
    Pick<ControlDiskOptions, 'url' | 'isAfterFailure' | 'signal'> {}

/** Opens the disk of an instance, once it can be written. */
export function openRegistryDisk(options: RegistryDiskOptions): Promise<ControlDisk> {
  const { logger, url } = options
  const seeds = options.seeds()
  return openControlDisk({
    ...options,
    seeds: seeds.length > 0 ? seeds : [url],
    onFailure: (cause) => {
      logger.error('disk.failed', { reason: String(cause), remedy: DISK_REMEDY })
      options.onFailure?.(cause)
    },
  })
}

/** Creates a control instance; resolves once it is listening. */
export async function createRegistryControl(
  options: RegistryControlOptions,
): Promise<RegistryControl> {
  const { logger, timers, instance } = options
  const metrics = options.metrics ?? createMetrics('control')
  if (options.memory) addMemoryGauges(metrics, options.memory)
  const invariants = createInvariants({ logger, metrics })
  const electionMs = options.electionMs ?? DEFAULT_ELECTION_MS
  const decoder = createTableDecoder(options.decodeTable, logger)
  const machine = createControlStateMachine({ listTeams: decoder.listTeams })
  const { memory } = options
  const client = createHttpClient({ memory })
  const connections = metrics.counter('connections_opened', 'Connections opened to this instance')
  const recordConnection = () => connections.add(1)
  const server = await createHttpServer({
    host: options.host,
    port: options.port,
    logger,
    metrics,
    timers,
    memory,
    routes: [],
    traffic: 'fleet',
    maxConnections: options.maxConnections,
    onConnection: recordConnection,
  })
  const { url } = server
  const { identity, store } = options.disk ?? (await openRegistryDisk({ ...options, url }))
  metrics.gauge('log_bytes', 'Bytes added to the log since the last snapshot', store.addedBytes)
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
  const membershipManager = createMembershipManager({
    member,
    name: identity.name,
    url,
    seeds: options.seeds,
    targetVoters: options.targetVoters,
    client,
    timers,
    logger,
  })
  const stopping = new Subject<void>()
  const table = createDecodedTable({
    table: machine.table,
    decodeTable: decoder.decode,
    logger,
  })
  const rejectedInputs = metrics.counter(
    'rejected_inputs',
    'Entries from outside that could not be used',
  )
  const rejections = options.rejectedInputs.entries.subscribe(({ source }) =>
    rejectedInputs.add(1, { source }),
  )
  const heartbeats = metrics.counter('heartbeats', 'Heartbeats of backend servers by outcome')
  const heartbeatClient = createHttpClient({ memory, maxConnections: MAX_HEARTBEAT_CONNECTIONS })
  const batchClient = createHttpClient({ memory, maxConnections: 1 })
  const overload = createOverloadMonitor({ timers, logger })
  const versionGate = createVersionGate({
    versions: machine.softwareVersions,
    servers: machine.servers,
    timers,
  })
  const operations = createFleetOperationRunner({
    member,
    machine,
    client,
    heartbeatClient,
    batchClient,
    isOverloaded: overload.isOverloaded,
    countHeartbeat: (outcome) => heartbeats.add(1, { outcome }),
    timers,
    logger,
    silentAfterMs: options.silentAfterMs,
    isKnownGroup: table.isKnownGroup,
    versionGate,
    rejectedInputs: options.rejectedInputs,
  })
  const { run } = createLoggedOperations({ operations, logger, metrics })
  const versionRetention = startVersionRetention({ member, machine, timers, logger })
  const rollout = createWeightsRollout({
    member,
    machine,
    engineClient: options.engineClient,
    instance,
    timers,
    logger,
    orderLeaseMs: options.orderLeaseMs,
    sumLoads: () => feed.sumLoads(),
    findHeartbeatAgeMs: operations.findHeartbeatAgeMs,
    listExpired: () => monitor.listExpired(),
    countOrder: createOrderCounter(metrics),
  })
  const monitor = createServerMonitor({
    machine,
    timers,
    findHeartbeatAgeMs: operations.findHeartbeatAgeMs,
    silentAfterMs: options.silentAfterMs,
    weightsExpireMs: options.weightsExpireMs,
  })
  startWeightsReport({ servers: machine.servers, monitor, rollout, logger, metrics })
  const caches = createCacheWatch({
    member,
    machine,
    client: options.cacheCalls,
    table,
    timers,
    logger,
    onCacheChanges: (placements) => feed.addCacheChanges(placements),
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
  const parts = createPartCoordinator({
    member,
    parts: machine.quarantinedParts,
    countServers: () => machine.servers.list().filter(({ weights }) => weights.length > 0).length,
    readWallClock: Date.now,
    timers,
    logger,
  })
  const feed = createFeedSource({
    quotas,
    member,
    machine,
    timers,
    tables,
    versionGate,
    quarantine: blame,
    parts,
    findConditions: () => ({
      loading: rollout.listLoading(),
      expired: monitor.listExpired(),
      silent: monitor.listSilent(),
      stores: caches.listReachableStores(),
    }),
    listVersionAges: monitor.listVersionAges,
    conditionChanges: merge(rollout.loadingChanges, monitor.changes, caches.changes),
    cacheDirectory: caches.directory,
    waitForCacheDirectory: caches.waitForFirstAnswers,
    stopping,
  })
  const findUnreadyReason = () =>
    member.status().leader === undefined ? 'no leader is known' : undefined
  const routes: Route[] = [
    ...createDaemonRoutes({ metrics, findUnreadyReason }),
    createRaftRoute({ member, isCut: () => false }),
    ...createMembershipRoutes(membershipManager),
    ...createQuarantineRoutes({ parts, requests: blame, checkLeading: () => feed.checkLeading() }),
    ...createRegistryRoutes({ feed, tableSource, operations }),
  ]
  server.addRoutes(routes)
  logger.info('control.listening', {
    url,
    member: identity.name,
    seeds: options.seeds(),
    voters: options.targetVoters,
  })

  return {
    url,
    member,
    machine,
    operations: { ...operations, run },
    table: createTableAccess({ operator: operations, table: machine.table }),
    metrics,
    renderMetrics: metrics.render,
    recordConnection,
    close: async (drainMs) => {
      stopping.next()
      rejections.unsubscribe()
      operations.close()
      versionGate.close()
      versionRetention.close()
      overload.close()
      monitor.close()
      await caches.close()
      await membershipManager.close()
      await rollout.close()
      const report = await server.close(drainMs)
      await member.close()
      for (const used of [client, heartbeatClient, batchClient]) used.close()
      if (!options.metrics) await metrics.close()
      return report
    },
  }
}
