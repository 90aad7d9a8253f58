/**
 * Decides, at an instance that is not the leader, which heartbeats it acknowledges itself, and collects them into
 * batches for the leader. No network and no clock.
 */
import { removeOldest, type BackendServerId } from '@spoolgate/core'
import { hashText } from '@spoolgate/routing'
import {
  isSameRegistration,
  mergeServer,
  type RegisteredServer,
  type ServerState,
} from '../state/serverState.js'

/**
 * Heartbeat of a server whose registration is unchanged: its sequence number or null, the time since the instance
 * received it, and the digest of the instance's replica of the registration.
 */
export type BatchEntry = readonly [
  id: BackendServerId,
  count: number | null,
  ageMs: number,
  digest: number,
]

/** Heartbeats that an instance received since its last batch, one for each server. */
export interface HeartbeatBatch {
  readonly entries: readonly BatchEntry[]
}

/** Reply of the leader to a {@link HeartbeatBatch}. */
export interface BatchReply {
  /** Servers whose registration at the leader differs from the replica of the sender. */
  readonly differing: readonly BackendServerId[]
}

/** See {@link createHeartbeatBatches}. */
export interface HeartbeatBatches {
  /**
   * Whether a heartbeat that changes nothing may be acknowledged before the leader has it.
   * @param leader key of the current leader; acknowledgements of an earlier leader do not count
   */
  mayAcknowledge(id: BackendServerId, leader: string, now: number): boolean
  /** Whether an overloaded instance may acknowledge a heartbeat that changes nothing without an entry. */
  shed(id: BackendServerId, now: number): boolean
  add(server: RegisteredServer, count: number | undefined, now: number): void
  /** Removes and returns the collected entries. */
  take(now: number): readonly BatchEntry[]
  /** Records that the leader answered a message sent at `sentAt`. */
  recordExchange(leader: string, sentAt: number): void
  /** Records that the leader answered a single heartbeat of a server. */
  recordSingle(id: BackendServerId): void
  /** Records the servers whose next heartbeat goes to the leader singly. */
  recordDiffering(ids: readonly BackendServerId[]): void
  /** Records a batch without an answer; the next heartbeat of each of its servers repeats its content. */
  recordLoss(entries: readonly BatchEntry[], now: number): void
  /** Records that a leader of an earlier version takes no batches. */
  recordUnsupported(leader: string): void
}

/** Interval between batches, in ms: small compared with a heartbeat period of 1.2 s. */
export const HEARTBEAT_BATCH_MS = 100
/** Time since the last exchange with the leader after which an instance acknowledges nothing itself, in ms. */
export const LEADER_CONTACT_MS = 2_000
/** Time for which heartbeats of the servers of a lost batch go to the leader singly, in ms. */
export const SINGLE_AFTER_LOSS_MS = 1_000
/** Maximum number of servers that are tracked singly: several times the size of a large deployment. */
const MAX_TRACKED = 10_000

interface Collected {
  readonly count: number | undefined
  readonly receivedAt: number
  readonly digest: number
}

/** Digests by registration; registrations are immutable. */
const digests = new WeakMap<RegisteredServer, number>()

/** Hashes the fields that {@link isSameRegistration} compares. */
export function hashRegistration(server: RegisteredServer): number {
  const known = digests.get(server)
  if (known !== undefined) return known
  const { id, group, address, hall, phase, slots, weights, softwareVersion } = server
  const versions = weights.map(({ model, version }) => [model, version])
  const fields = [id, group, address, hall, phase, slots, versions, softwareVersion]
  const digest = hashText(JSON.stringify(fields))
  digests.set(server, digest)
  return digest
}

/**
 * Finds the registration that a heartbeat leaves unchanged. Undefined for a new or restarted server, and for one that
 * is draining: an acknowledged `draining` must be on its way to every router.
 */
export function findUnchanged(
  servers: Pick<ServerState, 'find'>,
  server: RegisteredServer,
): RegisteredServer | undefined {
  const known = servers.find(server.id)
  if (known?.phase !== 'ready' || server.phase !== 'ready') return undefined
  return isSameRegistration(known, mergeServer(known, server)) ? known : undefined
}

/** Options of {@link createHeartbeatBatches}. */
export interface HeartbeatBatchesOptions {
  /** Minimum time between two heartbeats of one server without an entry, in ms: two heartbeat periods. */
  readonly shedPeriodMs: number
}

/** Creates the record of one instance, without an exchange with a leader. */
export function createHeartbeatBatches({
  shedPeriodMs,
}: HeartbeatBatchesOptions): HeartbeatBatches {
  const shedAt = new Map<BackendServerId, number>()
  const collected = new Map<BackendServerId, Collected>()
  /** End of the time in which heartbeats of a server go to the leader singly. */
  const singleUntil = new Map<BackendServerId, number>()
  /** Servers whose heartbeats go singly until the leader has answered one. */
  const owed = new Set<BackendServerId>()
  let contact = { leader: '', sentAt: -Infinity }
  let unsupported: string | undefined

  const recordOwed = (ids: readonly BackendServerId[]) => {
    for (const id of ids) owed.add(id)
    removeOldest(owed, MAX_TRACKED)
  }
  return {
    mayAcknowledge: (id, leader, now) => {
      if (contact.leader !== leader || now - contact.sentAt > LEADER_CONTACT_MS) return false
      if (leader === unsupported || owed.has(id)) return false
      return (singleUntil.get(id) ?? -Infinity) <= now
    },
    shed: (id, now) => {
      if (now - (shedAt.get(id) ?? -Infinity) < shedPeriodMs) return false
      shedAt.delete(id)
      shedAt.set(id, now)
      removeOldest(shedAt, MAX_TRACKED)
      return true
    },
    add: (server, count, now) => {
      const known = collected.get(server.id)
      const isLower = count !== undefined && count < (known?.count ?? count)
      if (isLower) return
      collected.set(server.id, { count, receivedAt: now, digest: hashRegistration(server) })
    },
    take: (now) => {
      const entries = [...collected].map(([id, { count, receivedAt, digest }]): BatchEntry => {
        return [id, count ?? null, Math.round(now - receivedAt), digest]
      })
      collected.clear()
      return entries
    },
    recordExchange: (leader, sentAt) => {
      if (leader === contact.leader && sentAt < contact.sentAt) return
      contact = { leader, sentAt }
    },
    recordSingle: (id) => void owed.delete(id),
    recordDiffering: recordOwed,
    recordLoss: (entries, now) => {
      for (const [id, until] of singleUntil) if (until <= now) singleUntil.delete(id)
      for (const [id] of entries) singleUntil.set(id, now + SINGLE_AFTER_LOSS_MS)
      removeOldest(singleUntil, MAX_TRACKED)
      // After an immediate failure the next heartbeats come later than this time: no two in a row may be lost.
      recordOwed(entries.map(([id]) => id))
    },
    recordUnsupported: (leader) => {
      unsupported = leader
    },
  }
}
