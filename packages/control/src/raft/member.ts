/**
 * Raft member of the control group: elections with pre-vote, replication, a time-based leader lease,
 * snapshots, and single-member membership changes. Based on Ongaro's dissertation "Consensus: Bridging
 * Theory and Practice" (2014), sections 3, 4, 6 and 9.6.
 */
import { SpoolgateError } from '@spoolgate/core'
import { Subject, type Subscription } from 'rxjs'
import type { VoteState, LeaseHolder, LogEntry } from '../log/logStore.js'
import { createAppliedLog } from './appliedLog.js'
import { createElectionReport } from './electionReport.js'
import { createEntryAppend } from './entryAppend.js'
import { countChangedMembers, countMajority } from './quorum.js'
import type {
  AppendReply,
  AppendRequest,
  EndedTerms,
  InstallReply,
  InstallRequest,
  VoteRefusal,
  VoteReply,
  VoteRequest,
} from './messages.js'
import { createLeaseGrant } from './leaseGrant.js'
import { createMembership, type GroupCommand } from './membership.js'
import { createMessageQueue } from './messageQueue.js'
import { createProposals } from './proposals.js'
import { createReplicator, type Replicator } from './replicator.js'
import type { RaftMember, RaftMemberOptions, RaftRole } from './types.js'
import { runVoteRound } from './votes.js'

/** Lease duration after an acknowledged heartbeat, as a fraction of the election timeout. */
const LEASE_RATIO = 0.9

/** Creates a member and starts its election timer. */
export function createRaftMember(options: RaftMemberOptions): RaftMember {
  const { name, store, machine, transport, timers, random, logger, invariants } = options
  const proposals = createProposals()
  const report = createElectionReport({ logger, timers, metrics: options.metrics })
  const elected = new Subject<number>()
  let role: RaftRole = 'follower'
  let leader: string | undefined
  let leaderUrl: string | undefined
  const leaseGrant = createLeaseGrant({
    timers,
    random,
    electionMs: options.electionMs,
    startedAt: options.startedAt ?? timers.now(),
  })
  /** Term of the election that this member currently runs and may still win. */
  let campaignTerm: number | undefined
  /** Voters whose disks are lost: another instance replied at their addresses. */
  const lostVoters = new Set<string>()
  let electionTimer: Subscription | undefined
  let replicator: Replicator | undefined
  let isClosed = false
  const messages = createMessageQueue(store.failed)

  const term = () => store.voteState().term
  const readPosition = () => ({ index: store.lastIndex(), term: store.lastTerm() })
  const membership = createMembership({ name, store, founders: options.founders })
  const saveVoteState = (change: Partial<VoteState>) =>
    store.saveVoteState({ ...store.voteState(), ...change })
  if (options.isFounding && store.lastIndex() === 0 && term() === 0) {
    void saveVoteState({ mayVote: true })
  }
  const applied = createAppliedLog({
    store,
    machine,
    membership,
    proposals,
    logger,
    snapshotEvery: options.snapshotEvery,
  })
  const { commitIndex } = applied

  const followLeader = (newLeader: string | undefined, url: string | undefined) => {
    leader = newLeader
    leaderUrl = url
    report.recordLeader(newLeader)
  }
  const startElectionTimer = () => {
    electionTimer?.unsubscribe()
    if (isClosed) return
    electionTimer = timers.after(leaseGrant.drawElectionTimeout()).subscribe(() => {
      startElectionTimer()
      if (role !== 'leader') {
        // Learners do not run elections, but must also notice that their leader is gone.
        followLeader(undefined, undefined)
      }
      void runElection()
    })
  }
  const becomeFollower = (newLeader: string | undefined, url: string | undefined) => {
    if (role === 'leader') {
      logger.warn('raft.steppedDown', { term: term(), leader: newLeader })
      replicator?.close()
      replicator = undefined
      proposals.failAll()
    }
    role = 'follower'
    followLeader(newLeader, url)
    startElectionTimer()
  }
  const adoptTerm = async (next: number) => {
    if (next <= term()) return
    becomeFollower(undefined, undefined)
    await saveVoteState({ term: next, votedFor: undefined })
  }

  const appendLocal = (command: unknown): LogEntry => {
    const entry = { index: store.lastIndex() + 1, term: term(), command }
    membership.observe(entry)
    void store.append([entry]).then(() => replicator?.recordLocalAppend())
    replicator?.sendNow()
    return entry
  }
  const becomeLeader = (lost: readonly string[]) => {
    role = 'leader'
    followLeader(name, options.url)
    electionTimer?.unsubscribe()
    const index = store.lastIndex()
    logger.info('raft.elected', { term: term(), index, lostVoters: lost })
    replicator = createReplicator({
      name,
      url: options.url,
      term: term(),
      store,
      transport,
      timers,
      heartbeatMs: options.heartbeatMs,
      listMembers: membership.members,
      listCommitGroups: () => membership.listCommitGroups(commitIndex()),
      commitIndex,
      onCommit: (index) => {
        const isChanging = membership.lastChangeIndex() > commitIndex()
        void applied.advance(index)
        // Until a new voter knows that its change is committed, it cannot vote if the other voters are lost.
        if (isChanging && membership.lastChangeIndex() <= index) replicator?.sendNow()
      },
      onHigherTerm: (higherTerm) => void adoptTerm(higherTerm),
      onQuorumLost: () => becomeFollower(undefined, undefined),
      quorumTimeoutMs: options.electionMs * 2,
    })
    appendLocal(membership.buildFirstCommand(lost))
    elected.next(term())
  }

  const askForVotes = async (isPreVote: boolean, voteTerm: number, endedTerms: EndedTerms) => {
    // A member does not vote for itself while the lease that it granted to a leader may be valid.
    const heldBackBy = isPreVote ? findLeaseHolder(endedTerms) : undefined
    const groups = membership.listElectionGroups(commitIndex())
    const outcome = await runVoteRound({
      groups,
      knownLostVoters: [...lostVoters, ...membership.listLostVoters()],
      transport,
      onReplyTerm: async (replyTerm) => {
        if (replyTerm > term()) await adoptTerm(replyTerm)
      },
      onLostVoter: (voter, url, found) => {
        if (lostVoters.has(voter)) return
        lostVoters.add(voter)
        report.recordLostVoter(voter, url, found)
      },
      ownReply: {
        voter: name,
        term: voteTerm,
        isGranted: heldBackBy === undefined,
        endedTerm: findEndedTerm(),
        heldBackBy,
        refusal: heldBackBy && 'heldBack',
        position: readPosition(),
      },
      request: {
        isPreVote,
        term: voteTerm,
        candidate: name,
        lastIndex: store.lastIndex(),
        lastTerm: store.lastTerm(),
        endedTerms,
      },
    })
    const isFollowing = leader !== undefined || isClosed
    if (!outcome.isWon && !isFollowing) {
      const members = membership.members()
      report.recordFailedRound({ term: voteTerm, isPreVote, members, ...outcome })
    }
    return outcome
  }
  /** A granted vote can start the candidate's lease, as an acknowledged heartbeat does. */
  const saveVote = (voteTerm: number, candidate: string) => {
    leaseGrant.recordVote()
    const leaseHolder = { name: candidate, term: voteTerm }
    return saveVoteState({ term: voteTerm, votedFor: candidate, leaseHolder })
  }
  const isCandidateOf = (electionTerm: number) =>
    !isClosed && role === 'candidate' && term() === electionTerm
  const isCampaigning = () => campaignTerm !== undefined && isCandidateOf(campaignTerm)
  const runElection = async () => {
    if (isClosed || role === 'leader') return
    const { mayVote } = store.voteState()
    if (!membership.isVoter() || !mayVote) {
      report.recordIneligible(membership.members()[name]?.kind, mayVote)
      return
    }
    const startTerm = term()
    role = 'candidate'
    followLeader(undefined, undefined)
    // Abandons an earlier campaign that was not won, so that other members need not wait for it.
    campaignTerm = undefined
    const { isWon, endedTerms } = await askForVotes(true, startTerm + 1, {})
    if (!isWon || !isCandidateOf(startTerm)) return
    campaignTerm = startTerm + 1
    startElectionTimer()
    await saveVote(startTerm + 1, name)
    const outcome = await askForVotes(false, startTerm + 1, endedTerms)
    const isElected = outcome.isWon && isCampaigning() && campaignTerm === startTerm + 1
    if (isElected) becomeLeader(outcome.lostVoters)
  }

  const isUpToDate = (request: VoteRequest) =>
    request.lastTerm > store.lastTerm() ||
    (request.lastTerm === store.lastTerm() && request.lastIndex >= store.lastIndex())
  const hasLiveLeader = () => (role === 'leader' ? hasLease() : leaseGrant.isLeaderAlive())
  const findLeaseHolder = (endedTerms: EndedTerms) =>
    leaseGrant.findLeaseHolder(store.voteState(), { ...endedTerms, [name]: findEndedTerm() })
  /** Highest term that this member does not lead and never will. */
  const findEndedTerm = () => (role === 'leader' || isCampaigning() ? term() - 1 : term())
  const hasLease = () => {
    if (role !== 'leader' || !replicator) return false
    // This clock includes suspended time, during which the others may have elected another leader.
    const now = timers.promiseNow()
    return now < replicator.leaseConfirmedAt() + options.electionMs * LEASE_RATIO
  }

  const findRefusal = (request: VoteRequest): VoteRefusal | undefined => {
    // A member that still receives from its leader votes for no other candidate; the lease relies on this.
    if (hasLiveLeader() || leaseGrant.mustHoldVote(request, store.voteState())) return 'leaderAlive'
    if (!store.voteState().mayVote) return 'mayNotVote'
    if (request.term < term()) return 'oldTerm'
    return isUpToDate(request) ? undefined : 'behind'
  }
  const processVote = async (request: VoteRequest): Promise<VoteReply> => {
    const reply = (refusal?: VoteRefusal, heldBackBy?: LeaseHolder): VoteReply => ({
      voter: name,
      term: term(),
      isGranted: refusal === undefined,
      endedTerm: findEndedTerm(),
      heldBackBy,
      refusal,
      position: readPosition(),
    })
    const refusal = findRefusal(request)
    if (refusal) return reply(refusal)
    const holder = findLeaseHolder(request.endedTerms)
    if (holder) return reply('heldBack', holder)
    if (request.isPreVote) return reply()
    await adoptTerm(request.term)
    const { votedFor } = store.voteState()
    if (term() !== request.term || (votedFor !== undefined && votedFor !== request.candidate)) {
      return reply(term() === request.term ? 'votedOther' : 'oldTerm')
    }
    startElectionTimer()
    await saveVote(request.term, request.candidate)
    return reply()
  }

  /** Accepts the sender as leader; returns false if its term is outdated. */
  const acceptLeader = async (from: { term: number; leader: string; leaderUrl: string }) => {
    if (from.term < term()) return false
    await Promise.all([adoptTerm(from.term), saveLeaseHolder(from.leader, from.term)])
    leaseGrant.recordContact()
    becomeFollower(from.leader, from.leaderUrl)
    return true
  }
  /** The followed leader must be on disk before a reply can support its lease. */
  const saveLeaseHolder = async (leaderName: string, leaderTerm: number) => {
    const known = store.voteState().leaseHolder
    if (known?.name === leaderName && known.term === leaderTerm) return
    await saveVoteState({ leaseHolder: { name: leaderName, term: leaderTerm } })
  }
  const appendEntries = createEntryAppend({ store, membership, invariants, commitIndex })
  const processAppend = async (request: AppendRequest): Promise<AppendReply> => {
    if (!(await acceptLeader(request))) return { term: term(), isAccepted: false, index: 0 }
    const { previousIndex, previousTerm, entries } = request
    const isMatching =
      previousIndex <= store.baseIndex() || store.findTerm(previousIndex) === previousTerm
    if (!isMatching) {
      const index = Math.max(store.baseIndex() + 1, Math.min(previousIndex, store.lastIndex() + 1))
      return { term: term(), isAccepted: false, index }
    }
    await appendEntries(request.entries)
    const matched = previousIndex + entries.length
    await applied.advance(Math.min(request.commitIndex, matched))
    // An entry committed in the sender's own term implies that all earlier membership changes are committed.
    const isCaughtUp = matched >= request.commitIndex
    const isCommittedInTerm = store.findTerm(request.commitIndex) === request.term
    if (isCaughtUp && isCommittedInTerm) await membership.enableVoting()
    return { term: term(), isAccepted: true, index: matched }
  }
  const processInstall = async (request: InstallRequest): Promise<InstallReply> => {
    if (!(await acceptLeader(request))) return { term: term() }
    await applied.install(request.snapshot)
    return { term: term() }
  }

  const checkLeader = () => {
    if (role === 'leader' && !isClosed) return
    throw new SpoolgateError('notLeader', 'send this to the leader', {
      details: { leader, leaderUrl },
    })
  }
  const isCurrent = () => !isClosed && hasLease() && applied.appliedTerm() === term()
  const propose = (command: unknown): Promise<unknown> => {
    checkLeader()
    return proposals.add(appendLocal(command))
  }

  const stop = () => {
    isClosed = true
    electionTimer?.unsubscribe()
    replicator?.close()
    proposals.failAll()
  }
  void store.failed.then(stop)

  startElectionTimer()
  // A single-voter group need not wait for the election timeout.
  if (membership.isVoter() && countMajority(membership.members()) === 1) void runElection()

  return {
    elected,
    status: () => ({
      name,
      role,
      term: term(),
      leader,
      leaderUrl,
      commitIndex: commitIndex(),
      lastIndex: store.lastIndex(),
      hasLease: hasLease(),
      members: membership.members(),
      cannotElect: report.cannotElect(),
    }),
    propose: async (command) => propose(command),
    isCurrent,
    checkCurrent: () => {
      checkLeader()
      if (isCurrent()) return
      throw new SpoolgateError('controlUnavailable', 'the leader lease is not held; try again', {
        retryAfterSeconds: 1,
      })
    },
    listFollowers: () => replicator?.listFollowers() ?? [],
    changeMembers: async (next) => {
      checkLeader()
      if (membership.lastChangeIndex() > commitIndex() || applied.appliedTerm() !== term()) {
        throw new SpoolgateError('conflict', 'another membership change is in progress; try again')
      }
      if (countChangedMembers(membership.members(), next) > 1) {
        throw new SpoolgateError('invalidRequest', 'change one member of the group at a time')
      }
      await propose({ group: 'members', members: next } satisfies GroupCommand)
    },
    handleVote: (request) => messages.run(() => processVote(request)),
    handleAppend: (request) =>
      messages.run(async () => ({
        ...(await processAppend(request)),
        mayVote: store.voteState().mayVote,
      })),
    handleInstall: (request) => messages.run(() => processInstall(request)),
    close: async () => {
      stop()
      await messages.finish()
      await store.close()
    },
  }
}
