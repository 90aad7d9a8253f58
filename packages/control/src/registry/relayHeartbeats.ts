/**
 * Heartbeats at an instance that is not a member of the control group. Those that repeat what the leader acknowledged
 * go to it in batches, as at a member; the last acknowledged heartbeat of each server takes the place of a replica.
 */
import type { BackendServerId, HttpClient, Logger, TimerService } from '@spoolgate/core'
import { LRUCache } from 'lru-cache'
import type { RegisteredServer, ServerResult } from '../state/serverState.js'
import { LEADER_TIMEOUT_MS, OPERATION_PATH } from './fleetOperations.js'
import {
  createHeartbeatForwarder,
  type HeartbeatForwarder,
  type HeartbeatOutcome,
} from './heartbeatForwarder.js'
import type { ServerHeartbeat } from './heartbeatIntake.js'
import type { LeaderTracker } from './leaderTracker.js'

/** Options of {@link createRelayHeartbeats}. */
export interface RelayHeartbeatsOptions {
  readonly tracker: Pick<LeaderTracker, 'current'>
  /** Sends a heartbeat to the leader and waits for its answer. */
  readonly sendSingle: (heartbeat: ServerHeartbeat) => Promise<ServerResult>
  /** Client for batches; it should use one connection. */
  readonly batchClient: HttpClient
  readonly timers: TimerService
  readonly logger: Logger
  readonly countHeartbeat: (outcome: HeartbeatOutcome) => void
}

/** Maximum number of remembered incarnations: several times the size of a large deployment. */
const MAX_REMEMBERED_SERVERS = 5_000

/** Creates the forwarder of a relay and starts sending batches. */
export function createRelayHeartbeats(options: RelayHeartbeatsOptions): HeartbeatForwarder {
  const { tracker, batchClient, timers, logger, countHeartbeat } = options
  const acknowledged = new LRUCache<BackendServerId, RegisteredServer>({
    max: MAX_REMEMBERED_SERVERS,
  })
  const sendSingle = async (heartbeat: ServerHeartbeat): Promise<ServerResult> => {
    const { server } = heartbeat
    acknowledged.delete(server.id)
    const result = await options.sendSingle(heartbeat)
    const isReady = result.phase === 'ready' && result.isRegistered !== false
    if (isReady) acknowledged.set(server.id, server)
    return result
  }
  /** A leader without a known term may have been elected again, so that its earlier answers do not count. */
  const findLeader = () => {
    const leader = tracker.current()
    return leader?.term === undefined ? undefined : { term: leader.term, leaderUrl: leader.url }
  }
  return createHeartbeatForwarder({
    member: {
      status: () => ({ role: 'follower', ...(findLeader() ?? { term: 0, leaderUrl: undefined }) }),
    },
    servers: { find: (id) => acknowledged.get(id) },
    // A relay never leads.
    intake: { observeServers: () => ({ differing: [] }), checkLeadership: () => {} },
    batchClient,
    timers,
    logger,
    operationPath: OPERATION_PATH,
    timeoutMs: LEADER_TIMEOUT_MS,
    sendSingle,
    countHeartbeat,
    isOverloaded: () => false,
    shedPeriodMs: Infinity,
  })
}
