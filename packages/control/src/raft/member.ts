/**
 * One member of the control group: elections with pre-vote, replication, a leader lease on the
 * monotonic clock, snapshots, and changes of membership one member at a time. After Ongaro's
 * dissertation "Consensus: Bridging Theory and Practice" (2014), sections 3, 4, 6 and 9.6.
 */
import {
  SpoolgateError,
  type Invariants,
  type Logger,
  type RandomSource,
  type TimerService,
} from '@spoolgate/core'
import type { Subscription } from 'rxjs'
import type { LogEntry, LogStore } from '../log/logStore.js'
import { countMajority, isMajority, listOthers } from './group.js'
import type {
  AppendReply,
  AppendRequest,
  InstallReply,
  InstallRequest,
  MemberMap,
  RaftTransport,
  VoteReply,
  VoteRequest,
} from './messages.js'
import { createReplicator, type Replicator } from './replicator.js'

/** The machine that the log drives. */
export interface ReplicatedMachine {
  /** Applies a committed command and returns its result; must depend on nothing else. */
  apply(command: unknown, index: number): unknown
  save(): unknown
  load(state: unknown): void
}

/** Entries that the group itself appends. */
type GroupCommand =
  { readonly group: 'noop' } | { readonly group: 'members'; readonly members: MemberMap }

/** Options of {@link createRaftMember}. */
export interface RaftMemberOptions {
  readonly name: string
  readonly url: string
  /** Group as it was founded. */
  readonly founders: MemberMap
  /** Whether an empty data folder founds the group, instead of waiting to be taken in. */
  readonly isFounding: boolean
  readonly store: LogStore
  readonly machine: ReplicatedMachine
  readonly transport: RaftTransport
  readonly timers: TimerService
  readonly random: RandomSource
  readonly logger: Logger
  readonly invariants: Invariants
  /** Shortest election timeout, in ms; the longest is twice that. */
  readonly electionMs: number
  /** Period of heartbeats, in ms. */
  readonly heartbeatMs: number
  /** Entries between snapshots. */
  readonly snapshotEvery: number
}

/** Role of a member. */
export type RaftRole = 'follower' | 'candidate' | 'leader'

/** What a member shows of itself. */
export interface RaftStatus {
  readonly name: string
  readonly role: RaftRole
  readonly term: number
  readonly leader: string | undefined
  readonly leaderUrl: string | undefined
  readonly commitIndex: number
  readonly lastIndex: number
  readonly hasLease: boolean
  readonly members: MemberMap
}

/** A running member. */
export interface RaftMember {
  status(): RaftStatus
  /**
   * Appends a command and waits until it is applied.
   * @throws SpoolgateError `notLeader`, or `controlUnavailable` when it is not known whether the
   * command will be applied.
   */
  propose(command: unknown): Promise<unknown>
  /** Throws unless this member leads, holds its lease and has applied all that was committed. */
  checkCurrent(): void
  /** Changes the group by one member; resolves when the change is committed. */
  changeMembers(next: MemberMap): Promise<void>
  handleVote(request: VoteRequest): Promise<VoteReply>
  handleAppend(request: AppendRequest): Promise<AppendReply>
  handleInstall(request: InstallRequest): Promise<InstallReply>
  close(): Promise<void>
}

/** Part of the election timeout for which an acknowledged heartbeat gives a lease. */
const LEASE_RATIO = 0.9

interface Proposal {
  readonly term: number
  resolve(result: unknown): void
  reject(error: SpoolgateError): void
}

function isGroupCommand(command: unknown): command is GroupCommand {
  return typeof command === 'object' && command !== null && 'group' in command
}

/** Creates a member and starts its election timer. */
export function createRaftMember(options: RaftMemberOptions): RaftMember {
  const { name, store, machine, transport, timers, random, logger, invariants } = options
  const proposals = new Map<number, Proposal>()
  let role: RaftRole = 'follower'
  let leader: string | undefined
  let leaderUrl: string | undefined
  let commitIndex = store.baseIndex()
  let appliedIndex = store.baseIndex()
  let members: MemberMap = {}
  let membersIndex = 0
  let lastContact = timers.now()
  let electionTimer: Subscription | undefined
  let replicator: Replicator | undefined
  let isCompacting = false
  let isClosed = false
  /** Followers take one message at a time, so that log changes never overlap. */
  let inbox: Promise<unknown> = Promise.resolve()

  const term = () => store.ballot().term

  /** The group before any entry names it. */
  const listFounders = (): MemberMap => (store.ballot().mayVote ? options.founders : {})
  const loadState = () => {
    members = listFounders()
    const saved = store.snapshot()?.state as { machine: unknown; members: MemberMap } | undefined
    if (saved) {
      machine.load(saved.machine)
      members = saved.members
    }
    for (const entry of store.list(store.baseIndex() + 1, Infinity)) observeMembers(entry)
  }
  const observeMembers = (entry: LogEntry) => {
    const { command } = entry
    if (!isGroupCommand(command) || command.group !== 'members') return
    members = command.members
    membersIndex = entry.index
    const isTakenIn = members[name]?.kind === 'learner' && !store.ballot().mayVote
    if (isTakenIn) void store.saveBallot({ ...store.ballot(), mayVote: true })
  }
  /** Finds the group again after entries were removed. */
  const reloadMembers = () => {
    const saved = store.snapshot()?.state as { members: MemberMap } | undefined
    members = saved?.members ?? listFounders()
    membersIndex = 0
    for (const entry of store.list(store.baseIndex() + 1, Infinity)) observeMembers(entry)
  }

  const failProposals = () => {
    const message = 'leadership changed before the outcome was known; send the same change again'
    for (const proposal of proposals.values()) {
      proposal.reject(new SpoolgateError('controlUnavailable', message, { notRun: false }))
    }
    proposals.clear()
  }

  const startElectionTimer = () => {
    electionTimer?.unsubscribe()
    if (isClosed) return
    const delay = options.electionMs * (1 + random.next())
    electionTimer = timers.after(delay).subscribe(() => {
      startElectionTimer()
      void runElection()
    })
  }
  const becomeFollower = (found: string | undefined, url: string | undefined) => {
    if (role === 'leader') {
      logger.warn('raft.steppedDown', { term: term(), leader: found })
      replicator?.close()
      replicator = undefined
      failProposals()
    }
    role = 'follower'
    leader = found
    leaderUrl = url
    startElectionTimer()
  }
  const adoptTerm = async (next: number) => {
    if (next <= term()) return
    becomeFollower(undefined, undefined)
    await store.saveBallot({ ...store.ballot(), term: next, votedFor: undefined })
  }

  const applyCommitted = () => {
    while (appliedIndex < commitIndex) {
      const [entry] = store.list(appliedIndex + 1, 1)
      if (!entry) return
      appliedIndex = entry.index
      const result = isGroupCommand(entry.command)
        ? undefined
        : machine.apply(entry.command, entry.index)
      const proposal = proposals.get(entry.index)
      proposals.delete(entry.index)
      if (proposal?.term === entry.term) proposal.resolve(result)
    }
    void compactWhenLarge()
  }
  const compactWhenLarge = async () => {
    if (isCompacting || appliedIndex - store.baseIndex() < options.snapshotEvery) return
    isCompacting = true
    const state = { machine: machine.save(), members }
    const appliedTerm = store.findTerm(appliedIndex) ?? 0
    await store.compact({ index: appliedIndex, term: appliedTerm, state })
    logger.info('raft.compacted', { index: store.baseIndex() })
    isCompacting = false
  }
  const advanceCommit = (next: number) => {
    if (next <= commitIndex) return
    commitIndex = next
    applyCommitted()
  }

  const appendOwn = (command: unknown): LogEntry => {
    const entry = { index: store.lastIndex() + 1, term: term(), command }
    observeMembers(entry)
    void store.append([entry]).then(() => replicator?.recordOwn())
    replicator?.wake()
    return entry
  }
  const becomeLeader = () => {
    role = 'leader'
    leader = name
    leaderUrl = options.url
    electionTimer?.unsubscribe()
    logger.info('raft.elected', { term: term(), index: store.lastIndex() })
    replicator = createReplicator({
      name,
      url: options.url,
      term: term(),
      store,
      transport,
      timers,
      heartbeatMs: options.heartbeatMs,
      listMembers: () => members,
      commitIndex: () => commitIndex,
      onCommit: advanceCommit,
      onHigherTerm: (found) => void adoptTerm(found),
      onLost: () => becomeFollower(undefined, undefined),
      lostAfterMs: options.electionMs * 2,
    })
    const isUnnamed = membersIndex === 0 && !store.snapshot()
    const first: GroupCommand = isUnnamed ? { group: 'members', members } : { group: 'noop' }
    appendOwn(first)
  }

  const askForVotes = async (isPreVote: boolean, voteTerm: number): Promise<boolean> => {
    const request: VoteRequest = {
      isPreVote,
      term: voteTerm,
      candidate: name,
      lastIndex: store.lastIndex(),
      lastTerm: store.lastTerm(),
    }
    const granted = new Set([name])
    return new Promise((resolve) => {
      if (isMajority(members, granted)) return resolve(true)
      const asked = listOthers(members, name).map(async ([other, info]) => {
        const reply = await transport.send(other, info.url, 'vote', request)
        if (reply.term > term()) await adoptTerm(reply.term)
        if (reply.isGranted && info.kind === 'voter') granted.add(other)
        if (isMajority(members, granted)) resolve(true)
      })
      void Promise.allSettled(asked).then(() => resolve(false))
    })
  }
  const runElection = async () => {
    const isVoter = members[name]?.kind === 'voter' && store.ballot().mayVote
    if (isClosed || role === 'leader' || !isVoter) return
    const started = term()
    role = 'candidate'
    leader = undefined
    leaderUrl = undefined
    if (!(await askForVotes(true, started + 1))) return
    if (isClosed || term() !== started || role !== 'candidate') return
    await store.saveBallot({ ...store.ballot(), term: started + 1, votedFor: name })
    const isElected = await askForVotes(false, started + 1)
    if (isElected && !isClosed && term() === started + 1 && role === 'candidate') becomeLeader()
  }

  const isUpToDate = (request: VoteRequest) =>
    request.lastTerm > store.lastTerm() ||
    (request.lastTerm === store.lastTerm() && request.lastIndex >= store.lastIndex())
  const hasLiveLeader = () =>
    role === 'leader' ? hasLease() : timers.now() - lastContact < options.electionMs
  const hasLease = () => {
    if (role !== 'leader' || !replicator) return false
    const confirmed = replicator.confirmedAt()
    return timers.now() < confirmed + options.electionMs * LEASE_RATIO
  }

  const voteNow = async (request: VoteRequest): Promise<VoteReply> => {
    // A member that still hears its leader does not help to depose it; the lease rests on this.
    const isStale = request.term < term() || !isUpToDate(request)
    if (hasLiveLeader() || isStale || !store.ballot().mayVote)
      return { term: term(), isGranted: false }
    if (request.isPreVote) return { term: term(), isGranted: true }
    await adoptTerm(request.term)
    const { votedFor } = store.ballot()
    if (term() !== request.term || (votedFor !== undefined && votedFor !== request.candidate)) {
      return { term: term(), isGranted: false }
    }
    startElectionTimer()
    await store.saveBallot({ ...store.ballot(), votedFor: request.candidate })
    return { term: request.term, isGranted: true }
  }

  /** Accepts the sender as leader; false when its term is over. */
  const acceptLeader = async (from: { term: number; leader: string; leaderUrl: string }) => {
    if (from.term < term()) return false
    await adoptTerm(from.term)
    lastContact = timers.now()
    becomeFollower(from.leader, from.leaderUrl)
    return true
  }
  const takeEntries = async (request: AppendRequest) => {
    const isHeld = (entry: LogEntry) =>
      entry.index <= store.baseIndex() || store.findTerm(entry.index) === entry.term
    const added = request.entries.filter((entry) => !isHeld(entry))
    if (added.length === 0) return
    if (added[0].index <= store.lastIndex()) {
      invariants.assert('logKeepsCommitted', added[0].index > commitIndex, () => ({
        from: added[0].index,
        commitIndex,
      }))
      void store.truncate(added[0].index)
      reloadMembers()
    }
    added.forEach(observeMembers)
    await store.append(added)
  }
  const appendNow = async (request: AppendRequest): Promise<AppendReply> => {
    if (!(await acceptLeader(request))) return { term: term(), isAccepted: false, index: 0 }
    const { previousIndex, previousTerm, entries } = request
    const isMatching =
      previousIndex <= store.baseIndex() || store.findTerm(previousIndex) === previousTerm
    if (!isMatching) {
      const index = Math.max(store.baseIndex() + 1, Math.min(previousIndex, store.lastIndex() + 1))
      return { term: term(), isAccepted: false, index }
    }
    await takeEntries(request)
    const matched = previousIndex + entries.length
    advanceCommit(Math.min(request.commitIndex, matched))
    return { term: term(), isAccepted: true, index: matched }
  }
  const installNow = async (request: InstallRequest): Promise<InstallReply> => {
    if (!(await acceptLeader(request))) return { term: term() }
    const { snapshot } = request
    if (snapshot.index > commitIndex) {
      await store.compact(snapshot)
      loadState()
      commitIndex = snapshot.index
      appliedIndex = snapshot.index
    }
    return { term: term() }
  }
  const enqueue = <T>(run: () => Promise<T>): Promise<T> => {
    const result = inbox.then(run)
    inbox = result.catch(() => {})
    return result
  }

  const checkLeader = () => {
    if (role === 'leader' && !isClosed) return
    throw new SpoolgateError('notLeader', 'send this to the leader', {
      details: { leader, leaderUrl },
    })
  }
  const propose = (command: unknown): Promise<unknown> => {
    checkLeader()
    return new Promise((resolve, reject) => {
      const entry = appendOwn(command)
      proposals.set(entry.index, { term: entry.term, resolve, reject })
    })
  }

  if (options.isFounding && store.lastIndex() === 0 && term() === 0) {
    void store.saveBallot({ ...store.ballot(), mayVote: true })
  }
  loadState()
  startElectionTimer()
  // A group of one has nobody to wait for.
  if (members[name]?.kind === 'voter' && countMajority(members) === 1) void runElection()

  return {
    status: () => ({
      name,
      role,
      term: term(),
      leader,
      leaderUrl,
      commitIndex,
      lastIndex: store.lastIndex(),
      hasLease: hasLease(),
      members,
    }),
    propose: async (command) => propose(command),
    checkCurrent: () => {
      checkLeader()
      const isSettled = store.findTerm(appliedIndex) === term()
      if (hasLease() && isSettled) return
      throw new SpoolgateError('controlUnavailable', 'the lease is not held now; try again', {
        retryAfterSeconds: 1,
      })
    },
    changeMembers: async (next) => {
      checkLeader()
      if (membersIndex > commitIndex || store.findTerm(appliedIndex) !== term()) {
        throw new SpoolgateError('conflict', 'a change of the group is under way; try again')
      }
      const changed = new Set([...Object.keys(members), ...Object.keys(next)])
      const differing = [...changed].filter((id) => members[id]?.kind !== next[id]?.kind)
      if (differing.length > 1) {
        throw new SpoolgateError('invalidRequest', 'change the group by one member at a time')
      }
      await propose({ group: 'members', members: next } satisfies GroupCommand)
    },
    handleVote: (request) => enqueue(() => voteNow(request)),
    handleAppend: (request) => enqueue(() => appendNow(request)),
    handleInstall: (request) => enqueue(() => installNow(request)),
    close: async () => {
      isClosed = true
      electionTimer?.unsubscribe()
      replicator?.close()
      failProposals()
      await inbox
      await store.close()
    },
  }
}
