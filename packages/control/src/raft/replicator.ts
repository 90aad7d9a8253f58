/**
 * Log replication by a leader: one task per other member sends entries, or heartbeats when there are
 * none, and tracks what the member acknowledges.
 */
import { type TimerService, waitFor } from '@spoolgate/core'
import type { Subscription } from 'rxjs'
import type { LogEntry, LogStore } from '../log/logStore.js'
import { findMajorityValue, listOthers } from './quorum.js'
import type { MemberInfo, MemberMap, RaftTransport } from './messages.js'
import type { FollowerProgress } from './types.js'

/** Options of {@link createReplicator}. */
export interface ReplicatorOptions {
  readonly name: string
  readonly url: string
  /** Term of this leader. */
  readonly term: number
  readonly store: LogStore
  readonly transport: RaftTransport
  readonly timers: TimerService
  readonly heartbeatMs: number
  /** Time without acknowledgements of a majority after which the leader steps down, in ms. */
  readonly quorumTimeoutMs: number
  readonly listMembers: () => MemberMap
  /** Groups in each of which a majority must acknowledge an entry or a lease. */
  readonly listCommitGroups: () => readonly MemberMap[]
  readonly commitIndex: () => number
  readonly onCommit: (index: number) => void
  readonly onHigherTerm: (term: number) => void
  /** Called when no majority has replied for {@link quorumTimeoutMs}. */
  readonly onQuorumLost: () => void
}

/** Replication during one leader's term. */
export interface Replicator {
  /** Advances the commit index after the leader's own log became durable further. */
  recordLocalAppend(): void
  /** Sends pending entries and the commit index without waiting for the next heartbeat. */
  sendNow(): void
  /** Send time of the latest messages that a majority acknowledged, in ms of the monotonic clock. */
  confirmedAt(): number
  /** The same on the clock that includes the time while the machine is suspended; the lease uses it. */
  leaseConfirmedAt(): number
  listFollowers(): FollowerProgress[]
  close(): void
}

/** Maximum number of entries in one message. */
const MAX_ENTRIES = 512
/**
 * Maximum bytes of entries in one message, unless a single entry is larger: 0.3 s on the slowest link in
 * use, 7 Mbit/s, within the message timeout of 0.5 s. A message that times out is sent again in full, so
 * with larger messages a follower would never catch up.
 */
const MAX_BYTES = 256 * 1024

/** Returns the first entries that fit into one message, at least one. */
function listBatch(entries: readonly LogEntry[]): LogEntry[] {
  let bytes = 0
  const end = entries.findIndex((entry, index) => {
    bytes += JSON.stringify(entry.command).length
    return index > 0 && bytes > MAX_BYTES
  })
  return end === -1 ? [...entries] : entries.slice(0, end)
}

interface Peer {
  nextIndex: number
  matchIndex: number
  /** Send time of the last acknowledged message. */
  confirmedAt: number
  /** The same on the clock that includes suspended time. */
  leaseConfirmedAt: number
  mayVote: boolean | undefined
  /** Aborts the wait for the next heartbeat. */
  wakeController: AbortController
}

/** Creates the replication of a new leader. */
export function createReplicator(options: ReplicatorOptions): Replicator {
  const { name, store, transport, timers, term } = options
  const peers = new Map<string, Peer>()
  const startedAt = timers.now()
  let isClosed = false

  const advanceCommitIndex = () => {
    if (isClosed) return
    const findMatch = (member: string) =>
      member === name ? store.durableIndex() : (peers.get(member)?.matchIndex ?? 0)
    const reached = options
      .listCommitGroups()
      .map((members) => findMajorityValue(members, findMatch))
    const index = Math.min(...reached)
    // A leader commits only entries of its own term by counting replicas (Raft paper, figure 8).
    if (index > options.commitIndex() && store.findTerm(index) === term) options.onCommit(index)
  }
  // Like a commit, a lease needs a majority in each commit group: during a membership change, the voters
  // that elect a leader by half of the old group need not intersect a majority of the new one.
  const findQuorumInstant = (now: number, findConfirmed: (peer: Peer) => number) => {
    const findInstant = (member: string) => {
      const peer = peers.get(member)
      if (member === name) return now
      return peer ? findConfirmed(peer) : -Infinity
    }
    const reached = options.listCommitGroups()
    return Math.min(...reached.map((members) => findMajorityValue(members, findInstant)))
  }
  const confirmedAt = () => findQuorumInstant(timers.now(), (peer) => peer.confirmedAt)
  const leaseConfirmedAt = () =>
    findQuorumInstant(timers.promiseNow(), (peer) => peer.leaseConfirmedAt)

  const sendSnapshot = async (member: string, info: MemberInfo, peer: Peer) => {
    const snapshot = store.snapshot()
    if (!snapshot) return
    const request = { term, leader: name, leaderUrl: options.url, snapshot }
    const sentAt = timers.now()
    const leaseSentAt = timers.promiseNow()
    const reply = await transport.send(member, info.url, 'install', request)
    if (reply.term > term) return options.onHigherTerm(reply.term)
    peer.confirmedAt = sentAt
    peer.leaseConfirmedAt = leaseSentAt
    peer.matchIndex = Math.max(peer.matchIndex, snapshot.index)
    peer.nextIndex = peer.matchIndex + 1
  }
  const sendEntries = async (member: string, info: MemberInfo, peer: Peer) => {
    const previousIndex = peer.nextIndex - 1
    const sentAt = timers.now()
    const leaseSentAt = timers.promiseNow()
    const reply = await transport.send(member, info.url, 'append', {
      term,
      leader: name,
      leaderUrl: options.url,
      previousIndex,
      previousTerm: store.findTerm(previousIndex) ?? 0,
      entries: listBatch(store.listEntries(peer.nextIndex, MAX_ENTRIES)),
      commitIndex: options.commitIndex(),
    })
    if (reply.term > term) return options.onHigherTerm(reply.term)
    peer.confirmedAt = sentAt
    peer.leaseConfirmedAt = leaseSentAt
    peer.mayVote = reply.mayVote
    if (!reply.isAccepted) {
      peer.nextIndex = Math.max(1, reply.index)
      return
    }
    peer.matchIndex = Math.max(peer.matchIndex, reply.index)
    peer.nextIndex = peer.matchIndex + 1
    advanceCommitIndex()
  }
  const waitForWork = async (peer: Peer) => {
    if (peer.nextIndex <= store.lastIndex()) return
    await waitFor(timers, options.heartbeatMs, peer.wakeController.signal)
    if (peer.wakeController.signal.aborted && !isClosed) peer.wakeController = new AbortController()
  }
  const isMember = (member: string) => member in options.listMembers()
  const runPeer = async (member: string, info: MemberInfo, peer: Peer) => {
    while (!isClosed && isMember(member)) {
      try {
        if (peer.nextIndex <= store.baseIndex()) await sendSnapshot(member, info, peer)
        else await sendEntries(member, info, peer)
      } catch {
        await waitFor(timers, options.heartbeatMs)
        continue
      }
      if (!isClosed) await waitForWork(peer)
    }
    peers.delete(member)
  }
  const startPeers = () => {
    for (const [member, info] of listOthers(options.listMembers(), name)) {
      if (peers.has(member)) continue
      const peer: Peer = {
        nextIndex: store.lastIndex() + 1,
        matchIndex: 0,
        confirmedAt: -Infinity,
        leaseConfirmedAt: -Infinity,
        mayVote: undefined,
        wakeController: new AbortController(),
      }
      peers.set(member, peer)
      void runPeer(member, info, peer)
    }
  }
  const quorumCheck: Subscription = timers.every(options.heartbeatMs).subscribe(() => {
    startPeers()
    const lastReceivedAt = Math.max(confirmedAt(), startedAt)
    if (timers.now() - lastReceivedAt > options.quorumTimeoutMs) options.onQuorumLost()
  })
  startPeers()

  return {
    recordLocalAppend: advanceCommitIndex,
    sendNow: () => {
      startPeers()
      for (const peer of peers.values()) peer.wakeController.abort()
    },
    confirmedAt,
    leaseConfirmedAt,
    listFollowers: () =>
      [...peers].map(([member, peer]) => ({
        name: member,
        matchIndex: peer.matchIndex,
        confirmedAt: peer.confirmedAt,
        mayVote: peer.mayVote,
      })),
    close: () => {
      isClosed = true
      quorumCheck.unsubscribe()
      for (const peer of peers.values()) peer.wakeController.abort()
    },
  }
}
