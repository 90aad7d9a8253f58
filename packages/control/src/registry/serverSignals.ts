/**
 * Which signals of a backend server count at the leader: those of its last start, in the order of their
 * numbers, and no late one of an earlier incarnation. Soft state; after a change of the leader late signals are
 * known by their start alone, and change nothing back (mergeServer).
 */
import type { BackendServerId, Logger, ServerName, TimerService } from '@spoolgate/core'
import { LRUCache } from 'lru-cache'
import {
  buildServerIdentity,
  isStartKnown,
  type RegisteredServer,
  type ServerIdentity,
  type ServerState,
} from '../state/serverState.js'

/** Options of {@link createServerSignals}. */
export interface ServerSignalsOptions {
  readonly servers: Pick<ServerState, 'find' | 'findByName' | 'list' | 'isOver'>
  readonly timers: TimerService
  readonly logger: Logger
  /** Silence after which a backend server counts as silent, in ms. */
  readonly silentAfterMs: number
  /** Ms since this leader last received a heartbeat of a server, or since it leads. */
  readonly findHeartbeatAgeMs: (id: BackendServerId) => number
}

/** See {@link createServerSignals}. */
export interface ServerSignals {
  /**
   * Judges a heartbeat, and takes note of it where it counts. False for a late one, which changes nothing.
   * @param count number of the heartbeat, which rises with each; undefined where there is none
   */
  admitHeartbeat(server: RegisteredServer, count: number | undefined): boolean
  /** Finds whom a leave concerns; undefined where it must change nothing. */
  resolveLeave(name: ServerName, startedAt: number | undefined): ServerIdentity | undefined
}

/** Incarnations that are remembered: those of minutes in a large fleet. */
const MAX_INCARNATIONS = 5_000
/**
 * Time after the first signal of a start within which a leave that names no start is taken for a late signal of
 * the start before, in ms: what is sent on the way of a cut comes seconds late.
 */
const LATE_LEAVE_WINDOW_MS = 5_000

/** Creates a judge without signals. */
export function createServerSignals(options: ServerSignalsOptions): ServerSignals {
  const { servers, timers, logger, findHeartbeatAgeMs } = options
  /** Incarnations whose address another one took over while this instance led. */
  const displaced = new LRUCache<BackendServerId, true>({ max: MAX_INCARNATIONS })
  const counts = new LRUCache<BackendServerId, number>({ max: MAX_INCARNATIONS })
  const firstReceivedAt = new LRUCache<BackendServerId, number>({ max: MAX_INCARNATIONS })

  const findAddressHolder = ({ name, address }: RegisteredServer) =>
    servers.list().find((other) => other.address === address && other.name !== name)
  /**
   * A heartbeat may be held up by a cut, and arrive when its sender has crashed and another
   * incarnation has the address. It would take a good server out until that one's next heartbeat.
   */
  const isDisplaced = ({ id }: RegisteredServer, holder: RegisteredServer | undefined) =>
    holder !== undefined &&
    displaced.has(id) &&
    findHeartbeatAgeMs(holder.id) < options.silentAfterMs
  const findLateReason = (server: RegisteredServer, count: number | undefined) => {
    if (servers.isOver(server)) return 'over'
    // Where no start is named, a lower number may be that of another one.
    const isLower = count !== undefined && count < (counts.get(server.id) ?? count)
    if (isLower && isStartKnown(server)) return 'count'
    return isDisplaced(server, findAddressHolder(server)) ? 'displaced' : undefined
  }
  const recordDisplacement = (server: RegisteredServer, holder: RegisteredServer) => {
    logger.info('server.displaced', {
      server: holder.id,
      by: server.id,
      address: server.address,
      silentMs: Math.round(findHeartbeatAgeMs(holder.id)),
    })
    displaced.set(holder.id, true)
    displaced.delete(server.id)
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
      if (holder) recordDisplacement(server, holder)
      reportRestart(server)
      if (count !== undefined) counts.set(id, count)
      if (!firstReceivedAt.has(id)) firstReceivedAt.set(id, timers.now())
      return true
    },
    resolveLeave: (name, startedAt) => {
      const known = servers.findByName(name)
      // A server that names no start in its heartbeats is the one that is known, whatever its leave names.
      if (known && !isStartKnown(known)) return known
      if (startedAt !== undefined || !known) return buildServerIdentity(name, startedAt)
      const isRecentStart =
        timers.now() - (firstReceivedAt.get(known.id) ?? -Infinity) < LATE_LEAVE_WINDOW_MS
      if (isRecentStart) logger.warn('server.leaveWithoutStart', { server: known.id })
      return isRecentStart ? undefined : known
    },
  }
}
