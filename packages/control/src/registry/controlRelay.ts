/**
 * Control instance on a machine without a disk. It forwards the calls of operators and backend servers to the leader;
 * it stores nothing, never votes and is never a member of the group.
 */
import {
  addMemoryGauges,
  createDaemonRoutes,
  createHttpClient,
  createHttpServer,
  createMetrics,
  createRandomSource,
  createTimeLimit,
  BODY_LIMITS,
  readJson,
  sendJson,
  SpoolgateError,
  type CloseReport,
  type HttpExchange,
  type Logger,
  type MemoryBudget,
  type Metrics,
  type Route,
  type TimerService,
} from '@spoolgate/core'
import { LEADER_PATH, type LeaderAnnouncement } from '../group/leaderAnnouncer.js'
import { JOIN_PATH } from '../group/membershipManager.js'
import { createLoggedOperations } from './departureLog.js'
import { FEED_PATH, TABLE_PATH } from './feed.js'
import { OPERATION_PATH } from './fleetOperations.js'
import type { ServerHeartbeat } from './heartbeatIntake.js'
import { createLeaderTracker } from './leaderTracker.js'
import { QUOTA_PATH } from './quotaProtocol.js'
import { MAX_HEARTBEAT_CONNECTIONS, type RegistryControl } from './registryControl.js'
import { createRelayHeartbeats } from './relayHeartbeats.js'
import { createRelayOperations } from './relayOperations.js'
import { createTableAccess } from './tableAccess.js'

/** Options of {@link createControlRelay}. */
export interface ControlRelayOptions {
  readonly host: string
  /** Port for internal traffic; 0 picks a free port. */
  readonly port: number
  /** URLs of control instances; called again on each use. */
  readonly seeds: () => readonly string[]
  /**
   * Maximum number of connections from the fleet.
   * @default Infinity
   */
  readonly maxConnections?: number
  readonly logger: Logger
  readonly timers: TimerService
  /**
   * Memory budgets of the process.
   * @default undefined, bodies are bounded one by one
   */
  readonly memory?: MemoryBudget
  /**
   * Registry of an instance that is a relay for a time; its owner closes it.
   * @default one that is closed with this relay
   */
  readonly metrics?: Metrics
}

/** What a relay and a member of the control group both offer. */
export interface ControlRelay extends Pick<
  RegistryControl,
  'url' | 'table' | 'metrics' | 'renderMetrics' | 'recordConnection'
> {
  /** Runs operations at the leader. */
  readonly operations: Pick<RegistryControl['operations'], 'run'>
  close(drainMs: number): Promise<CloseReport>
}

/**
 * Time for which a request is held while no leader is known, in ms. It limits the request rate, and is shorter than
 * the timeout after which a router also asks another instance.
 */
const MAX_LEADER_WAIT_MS = 250
/** Calls that only the leader answers, by method and path. */
const LEADER_ROUTES = [
  ['POST', FEED_PATH],
  ['POST', TABLE_PATH],
  ['POST', QUOTA_PATH],
  ['GET', QUOTA_PATH],
  ['POST', JOIN_PATH],
  ['POST', `${OPERATION_PATH}/:name`],
] as const

/** Creates a relay; resolves once it is listening. */
export async function createControlRelay(options: ControlRelayOptions): Promise<ControlRelay> {
  const { logger, timers, memory } = options
  const metrics = options.metrics ?? createMetrics('control')
  if (memory) addMemoryGauges(metrics, memory)
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
  const client = createHttpClient({ memory })
  const heartbeatClient = createHttpClient({ memory, maxConnections: MAX_HEARTBEAT_CONNECTIONS })
  const tracker = createLeaderTracker({
    seeds: () => options.seeds().filter((seed) => seed !== url),
    client,
    timers,
    random: createRandomSource(Date.now() % 2 ** 31),
    logger,
  })
  const forwarded = createRelayOperations({
    tracker,
    findClient: (name) => (name === 'observeServer' ? heartbeatClient : client),
    timers,
  })
  const counted = metrics.counter('heartbeats', 'Heartbeats of backend servers by outcome')
  const batchClient = createHttpClient({ memory, maxConnections: 1 })
  const heartbeats = createRelayHeartbeats({
    tracker,
    sendSingle: (heartbeat) => forwarded.run('observeServer', heartbeat),
    batchClient,
    timers,
    logger,
    countHeartbeat: (outcome) => counted.add(1, { outcome }),
  })
  const operations: ControlRelay['operations'] = {
    run: (name, input) =>
      name === 'observeServer'
        ? (heartbeats.forward(input as ServerHeartbeat) as Promise<never>)
        : forwarded.run(name, input),
  }
  const findLeaderUrl = async () => {
    const limit = createTimeLimit(timers, MAX_LEADER_WAIT_MS)
    const leader = tracker.current() ?? (await tracker.search(limit.signal))
    limit.close()
    return leader?.url
  }
  const refuse = async () => {
    const leaderUrl = await findLeaderUrl()
    throw new SpoolgateError('notLeader', 'this instance is a relay; ask the leader', {
      details: { leaderUrl },
    })
  }
  const serveAnnouncement = async ({ request, response }: HttpExchange) => {
    const announcement = await readJson(request, BODY_LIMITS.message)
    tracker.recordCandidate((announcement as LeaderAnnouncement).leaderUrl)
    sendJson(response, 200, {})
  }
  const findUnreadyReason = () => (tracker.current() ? undefined : 'no leader is known')
  server.addRoutes([
    ...createDaemonRoutes({ metrics, findUnreadyReason }),
    { method: 'POST', path: LEADER_PATH, handler: serveAnnouncement },
    ...LEADER_ROUTES.map(([method, path]): Route => ({ method, path, handler: refuse })),
  ])
  logger.info('relay.listening', { url, seeds: options.seeds() })
  return {
    url,
    operations: createLoggedOperations({ operations, logger, metrics }),
    // A relay holds no table, so that each read returns the leader's.
    table: createTableAccess({ operator: operations, table: { current: () => undefined } }),
    metrics,
    renderMetrics: metrics.render,
    recordConnection,
    close: async (drainMs) => {
      heartbeats.close()
      const report = await server.close(drainMs)
      await tracker.close()
      for (const used of [client, heartbeatClient, batchClient]) used.close()
      if (!options.metrics) await metrics.close()
      return report
    },
  }
}
