/**
 * Filters the heartbeats and leave messages of backend servers at the leader. It accepts those of a server's latest
 * start in sequence order, and drops delayed ones of earlier incarnations. Sequence numbers are not replicated: after a
 * leader change, delayed messages are recognised by what the registry has of their incarnation, which never goes back.
 */
import type { BackendServerId, Logger, ServerName, TimerService } from '@spoolgate/core'
import { LRUCache } from 'lru-cache'
import {
  buildServerIdentity,
  isStartTimeKnown,
  type RegisteredServer,
  type ServerIdentity,
  type ServerState,
} from '../state/serverState.js'

/** Options of {@link createServerSignals}. */
export interface ServerSignalsOptions {
  readonly servers: Pick<
    ServerState,
    'findByName' | 'findByAddress' | 'isIncarnationEnded' | 'isDisplaced'
  >
  readonly timers: TimerService
  readonly logger: Logger
  /** Time without a heartbeat after which a backend server counts as silent, in ms. */
  readonly silentAfterMs: number
  /** Returns the time since this leader received a server's last heartbeat, or since it became leader, in ms. */
  readonly findHeartbeatAgeMs: (id: BackendServerId) => number
}

/** See {@link createServerSignals}. */
export interface ServerSignals {
  /**
   * Checks whether a heartbeat is current and, if so, records it. Returns false for a delayed one, which must be
   * ignored.
   * @param count sequence number of the heartbeat; undefined when the server sends none
   */
  admitHeartbeat(server: RegisteredServer, count: number | undefined): boolean
  /** Returns the incarnation that a leave message refers to; undefined when the message must be ignored. */
  resolveLeave(name: ServerName, startedAt: number | undefined): ServerIdentity | undefined
}

/** Maximum number of incarnations to remember: several minutes' worth in a large deployment. */
const MAX_INCARNATIONS = 5_000
/**
 * Time after the first heartbeat of a start within which a leave message without a start time is attributed to the
 * previous start, in ms: messages in transit during a network cut arrive seconds late.
 */
const LATE_LEAVE_WINDOW_MS = 5_000

/** Creates a filter that has received nothing yet. */
export function createServerSignals(options: ServerSignalsOptions): ServerSignals {
  const { servers, timers, logger, findHeartbeatAgeMs } = options
  const counts = new LRUCache<BackendServerId, number>({ max: MAX_INCARNATIONS })
  const firstReceivedAt = new LRUCache<BackendServerId, number>({ max: MAX_INCARNATIONS })

  const findAddressHolder = ({ name, address }: RegisteredServer) => {
    const holder = servers.findByAddress(address)
    return holder?.name === name ? undefined : holder
  }
  /**
   * A heartbeat delayed by a network cut may arrive after its sender crashed and another incarnation took over the
   * address. Accepting it would remove the healthy server until that server's next heartbeat.
   */
  const isDisplaced = ({ id }: RegisteredServer, holder: RegisteredServer | undefined) =>
    holder !== undefined &&
    servers.isDisplaced(id) &&
    findHeartbeatAgeMs(holder.id) < options.silentAfterMs
  const findLateReason = (server: RegisteredServer, count: number | undefined) => {
    if (servers.isIncarnationEnded(server)) return 'over'
    // Without a start time, a lower sequence number may belong to a different start.
    const isLower = count !== undefined && count < (counts.get(server.id) ?? count)
    if (isLower && isStartTimeKnown(server)) return 'count'
    return isDisplaced(server, findAddressHolder(server)) ? 'displaced' : undefined
  }
  const reportDisplacement = (server: RegisteredServer, holder: RegisteredServer) => {
    logger.info('server.displaced', {
      server: holder.id,
      by: server.id,
      address: server.address,
      silentMs: Math.round(findHeartbeatAgeMs(holder.id)),
    })
  }
  const reportRestart = (server: RegisteredServer) => {
    const before = servers.findByName(server.name)
    if (!before || before.id === server.id) return
    logger.info('server.restarted', {
      server: server.id,
      before: before.id,
      address: server.address,
      addressBefore: before.address,
    })
  }
  return {
    admitHeartbeat: (server, count) => {
      const { id, address } = server
      const reason = findLateReason(server, count)
      if (reason !== undefined) {
        const holder = findAddressHolder(server)?.id
        logger.info('server.lateHeartbeat', { server: id, address, reason, count, holder })
        return false
      }
      const holder = findAddressHolder(server)
      if (holder) reportDisplacement(server, holder)
      reportRestart(server)
      if (count !== undefined) counts.set(id, count)
      if (!firstReceivedAt.has(id)) firstReceivedAt.set(id, timers.now())
      return true
    },
    resolveLeave: (name, startedAt) => {
      const known = servers.findByName(name)
      // A server whose heartbeats have no start time is the registered one, whatever start its leave message names.
      if (known && !isStartTimeKnown(known)) return known
      if (startedAt !== undefined || !known) return buildServerIdentity(name, startedAt)
      const isRecentStart =
        timers.now() - (firstReceivedAt.get(known.id) ?? -Infinity) < LATE_LEAVE_WINDOW_MS
      if (isRecentStart) logger.warn('server.leaveWithoutStart', { server: known.id })
      return isRecentStart ? undefined : known
    },
  }
}
