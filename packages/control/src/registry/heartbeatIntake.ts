/**
 * The leader's side of the heartbeats of backend servers: admits single heartbeats and batches, records when each
 * server was last active, and proposes changes of registrations to the log.
 */
import {
  SpoolgateError,
  type BackendServerId,
  type Logger,
  type RejectedInputs,
  type TimerService,
} from '@spoolgate/core'
import { LRUCache } from 'lru-cache'
import type { RaftMember } from '../raft/types.js'
import {
  isSameRegistration,
  mergeServer,
  type RegisteredServer,
  type ServerResult,
  type ServerState,
} from '../state/serverState.js'
import { hashRegistration, type BatchEntry, type BatchReply } from './heartbeatBatches.js'
import { createHeldRegistrations } from './heldRegistrations.js'
import { createServerSignals, type ServerSignals } from './serverSignals.js'
import type { VersionGate } from './versionGate.js'

/** Heartbeat of a backend server. */
export interface ServerHeartbeat {
  readonly server: RegisteredServer
  /** Sequence number of the heartbeat within one start; undefined if the server sends none. */
  readonly count?: number
}

/** Options of {@link createHeartbeatIntake}. */
export interface HeartbeatIntakeOptions {
  readonly member: Pick<RaftMember, 'status' | 'propose'>
  readonly servers: ServerState
  readonly timers: TimerService
  readonly logger: Logger
  /** Time without a heartbeat after which a backend server counts as silent, in ms. */
  readonly silentAfterMs: number
  /** Whether the routing table, if there is one, contains a group. */
  readonly isKnownGroup: (name: string) => boolean
  readonly rejectedInputs: RejectedInputs
  /**
   * Decides when servers of a new software version may be registered.
   * @default at once
   */
  readonly versionGate?: Pick<VersionGate, 'isOpen' | 'waitUntilOpen'>
}

/** See {@link createHeartbeatIntake}. */
export interface HeartbeatIntake {
  observeServer(heartbeat: ServerHeartbeat): Promise<ServerResult>
  /**
   * Records heartbeats that another instance acknowledged.
   * @throws SpoolgateError `notLeader`.
   */
  observeServers(entries: readonly BatchEntry[]): BatchReply
  readonly resolveLeave: ServerSignals['resolveLeave']
  /** Returns the time since this leader received a server's last heartbeat, or since it became leader, in ms. */
  findHeartbeatAgeMs(id: BackendServerId): number
  /** Checks whether this instance became leader; the silence of servers counts from then. */
  checkLeadership(): void
}

/** Maximum number of incarnations with a tracked heartbeat: several times the size of a large deployment. */
const MAX_TRACKED_SERVERS = 5_000
/** Maximum age of the known leadership, in ms: a pass over 3,000 servers reads the status of the member once. */
const STATUS_MAX_AGE_MS = 1

const OPEN_GATE: Pick<VersionGate, 'isOpen' | 'waitUntilOpen'> = {
  isOpen: () => true,
  waitUntilOpen: () => Promise.resolve(true),
}

/** Creates the intake of one instance. */
export function createHeartbeatIntake(options: HeartbeatIntakeOptions): HeartbeatIntake {
  const { member, servers, timers, logger } = options
  const receivedAt = new LRUCache<BackendServerId, number>({ max: MAX_TRACKED_SERVERS })
  let leadingTerm: number | undefined
  let leadingSince = timers.now()
  let statusReadAt = -Infinity
  /** Heartbeats went to the previous leader until then, so silence counts from the start of this leadership. */
  const findLeadingSince = (now: number) => {
    if (now - statusReadAt < STATUS_MAX_AGE_MS) return leadingSince
    statusReadAt = now
    const { role, term } = member.status()
    const current = role === 'leader' ? term : undefined
    if (current !== leadingTerm) leadingSince = now
    leadingTerm = current
    return leadingSince
  }
  const findHeartbeatAgeMs = (id: BackendServerId) => {
    const now = timers.now()
    return now - Math.max(receivedAt.get(id) ?? -Infinity, findLeadingSince(now))
  }
  const signals = createServerSignals({
    servers,
    timers,
    logger,
    silentAfterMs: options.silentAfterMs,
    findHeartbeatAgeMs,
  })
  const gate = options.versionGate ?? OPEN_GATE
  const heldRegistrations = createHeldRegistrations({ ...options, gate })
  /** Batches arrive out of order: the time of the last heartbeat never decreases. */
  const recordActivity = (id: BackendServerId, at: number) =>
    receivedAt.set(id, Math.max(at, receivedAt.get(id) ?? -Infinity))
  /** A new server of an unknown group cannot be used; one that is already registered stays registered. */
  const isAcceptable = ({ id, group }: RegisteredServer) =>
    options.isKnownGroup(group) || servers.find(id) !== undefined
  /** Records an entry; returns false if the sender's replica of the registration differs. */
  const observeEntry = ([id, count, ageMs, digest]: BatchEntry) => {
    const known = servers.find(id)
    if (!known) return false
    if (signals.admitHeartbeat(known, count ?? undefined)) recordActivity(id, timers.now() - ageMs)
    return hashRegistration(known) === digest
  }
  /** Stores a departure before it is acknowledged, although no registration takes it. */
  const recordDeparture = async (server: RegisteredServer, reason: string) => {
    const { id, phase } = server
    if (phase === 'ready' || servers.findDeparture(id) || servers.isIncarnationEnded(server)) return
    await member.propose({ kind: 'server.retire', id, phase })
    logger.info('server.departureStored', { server: id, phase, reason })
  }
  return {
    resolveLeave: (name, startedAt) => {
      heldRegistrations.remove(name)
      return signals.resolveLeave(name, startedAt)
    },
    findHeartbeatAgeMs,
    checkLeadership: () => void findLeadingSince(timers.now()),
    observeServers: (entries) => {
      const { role, leader, leaderUrl } = member.status()
      if (role !== 'leader') {
        throw new SpoolgateError('notLeader', 'this instance is not the leader; ask the leader', {
          details: { leader, leaderUrl },
        })
      }
      const differing = entries.filter((entry) => !observeEntry(entry)).map(([id]) => id)
      return { differing }
    },
    observeServer: async ({ server, count }) => {
      const { id, name, group } = server
      if (!isAcceptable(server)) {
        options.rejectedInputs.record({
          source: 'heartbeat',
          from: name,
          reason: `unknown group ${group}`,
        })
        await recordDeparture(server, 'unknownGroup')
        return { phase: server.phase, isRegistered: false }
      }
      if (!signals.admitHeartbeat(server, count)) {
        await recordDeparture(server, 'late')
        return { phase: servers.find(id)?.phase ?? 'gone' }
      }
      const known = servers.find(id)
      recordActivity(id, timers.now())
      if (known && isSameRegistration(known, mergeServer(known, server)))
        return { phase: known.phase }
      if (heldRegistrations.hold(server)) {
        await recordDeparture(server, 'held')
        return { phase: server.phase, isRegistered: false }
      }
      logger.info('server.observed', {
        server: id,
        group,
        address: server.address,
        phase: server.phase,
        before: known?.phase,
        weights: server.weights,
        softwareVersion: server.softwareVersion,
      })
      return (await member.propose({ kind: 'server.observe', server })) as ServerResult
    },
  }
}
