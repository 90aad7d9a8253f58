/**
 * One member of the control group: elections with pre-vote, replication, a leader lease on the
 * monotonic clock, snapshots, and changes of membership one member at a time. After Ongaro's
 * dissertation "Consensus: Bridging Theory and Practice" (2014), sections 3, 4, 6 and 9.6.
 */
import { SpoolgateError } from '@spoolgate/core'
import type { Subscription } from 'rxjs'
import type { LogEntry } from '../log/logStore.js'
import { countDifferences, countMajority } from './group.js'
import type {
  AppendReply,
  AppendRequest,
  InstallReply,
  InstallRequest,
  MemberMap,
  VoteReply,
  VoteRequest,
} from './messages.js'
import { createProposals } from './proposals.js'
import { createReplicator, type Replicator } from './replicator.js'
import type { RaftMember, RaftMemberOptions, RaftRole } from './types.js'
import { askMembersForVotes } from './votes.js'

/** Entries that the group itself appends. */
type GroupCommand =
  { readonly group: 'noop' } | { readonly group: 'members'; readonly members: MemberMap }

/** Part of the election timeout for which an acknowledged heartbeat gives a lease. */
const LEASE_RATIO = 0.9
/**
 * Least and most parts of the election timeout that a member waits which has heard no leader in this
 * life. A living leader is heard within a fifth; and where all members start together nobody leads,
 * so that each wait is a time without service.
 */
const FIRST_WAIT_RATIOS = [0.3, 0.8] as const

function isGroupCommand(command: unknown): command is GroupCommand {
  return typeof command === 'object' && command !== null && 'group' in command
}

/** Creates a member and starts its election timer. */
export function createRaftMember(options: RaftMemberOptions): RaftMember {
  const { name, store, machine, transport, timers, random, logger, invariants } = options
  const proposals = createProposals()
  let role: RaftRole = 'follower'
  let leader: string | undefined
  let leaderUrl: string | undefined
  let commitIndex = store.baseIndex()
  let appliedIndex = store.baseIndex()
  let members: MemberMap = {}
  let membersIndex = 0
  /** When a leader was heard last, or may have been: before the process began. */
  let lastContact = options.startedAt ?? timers.now()
  let hasHeardLeader = false
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

  const drawElectionDelay = () => {
    const { electionMs } = options
    if (hasHeardLeader) return electionMs * (1 + random.next())
    const [least, most] = FIRST_WAIT_RATIOS
    const leaseEndsMs = lastContact + electionMs - timers.now()
    return Math.max(0, leaseEndsMs) + electionMs * (least + (most - least) * random.next())
  }
  const startElectionTimer = () => {
    electionTimer?.unsubscribe()
    if (isClosed) return
    electionTimer = timers.after(drawElectionDelay()).subscribe(() => {
      startElectionTimer()
      if (role !== 'leader') {
        // Learners stand in no election, and must see all the same that their leader is gone.
        leader = undefined
        leaderUrl = undefined
      }
      void runElection()
    })
  }
  const becomeFollower = (found: string | undefined, url: string | undefined) => {
    if (role === 'leader') {
      logger.warn('raft.steppedDown', { term: term(), leader: found })
      replicator?.close()
      replicator = undefined
      proposals.failAll()
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
      proposals.finish(entry, result)
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

  const askForVotes = (isPreVote: boolean, voteTerm: number) =>
    askMembersForVotes({
      members,
      transport,
      onHigherTerm: async (found) => {
        if (found > term()) await adoptTerm(found)
      },
      request: {
        isPreVote,
        term: voteTerm,
        candidate: name,
        lastIndex: store.lastIndex(),
        lastTerm: store.lastTerm(),
      },
    })
  const isCandidateOf = (electionTerm: number) =>
    !isClosed && role === 'candidate' && term() === electionTerm
  const runElection = async () => {
    const isVoter = members[name]?.kind === 'voter' && store.ballot().mayVote
    if (isClosed || role === 'leader' || !isVoter) return
    const started = term()
    role = 'candidate'
    leader = undefined
    leaderUrl = undefined
    if (!(await askForVotes(true, started + 1)) || !isCandidateOf(started)) return
    await store.saveBallot({ ...store.ballot(), term: started + 1, votedFor: name })
    const isElected = await askForVotes(false, started + 1)
    if (isElected && isCandidateOf(started + 1)) becomeLeader()
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
    hasHeardLeader = true
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
    return proposals.add(appendOwn(command))
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
    listFollowers: () => replicator?.listFollowers() ?? [],
    changeMembers: async (next) => {
      checkLeader()
      if (membersIndex > commitIndex || store.findTerm(appliedIndex) !== term()) {
        throw new SpoolgateError('conflict', 'a change of the group is under way; try again')
      }
      if (countDifferences(members, next) > 1) {
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
      proposals.failAll()
      await inbox
      await store.close()
    },
  }
}
