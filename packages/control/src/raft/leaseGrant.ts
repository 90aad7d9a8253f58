/**
 * Lease that a follower grants to its leader: for one election timeout after the last message from the
 * leader, the follower votes for no other candidate. The leader's lease relies on this.
 *
 * A restarted process does not know when it last received from its leader, so it counts from its own
 * start, unless the former leader reports that it no longer leads. After a restart of all instances a
 * leader is therefore elected as soon as a majority replies, instead of an election timeout later.
 */
import type { RandomSource, TimerService } from '@spoolgate/core'
import type { VoteState, LeaseHolder } from '../log/logStore.js'
import type { EndedTerms, VoteRequest } from './messages.js'
import { isLeaseEnded } from './votes.js'

/** Options of {@link createLeaseGrant}. */
export interface LeaseGrantOptions {
  readonly timers: TimerService
  readonly random: RandomSource
  /** Minimum election timeout, in ms. */
  readonly electionMs: number
  /** Start of this process, in ms of the monotonic clock. */
  readonly startedAt: number
}

/** See {@link createLeaseGrant}. */
export interface LeaseGrant {
  /** Records that a message of the leader arrived. */
  recordContact(): void
  /** Records a vote for a candidate, which may be about to become leader. */
  recordVote(): void
  /** Whether a pre-vote must be refused because this process has just voted for another candidate. */
  mustHoldVote(request: VoteRequest, voteState: VoteState): boolean
  /** Whether this process received from a leader within the election timeout. */
  isLeaderAlive(): boolean
  /** Finds the leader that this member followed before its restart, if that leader's lease may still be valid. */
  findLeaseHolder(voteState: VoteState, endedTerms: EndedTerms): LeaseHolder | undefined
  /** Draws the time until this member starts an election, in ms. */
  drawElectionTimeout(): number
}

/**
 * Minimum and maximum delay between elections of a process that has not received from a leader yet, as
 * fractions of the election timeout. Its pre-votes neither raise the term nor depose a leader, so it can
 * retry often while other members are still starting.
 */
const STARTUP_RETRY_RATIOS = [0.06, 0.2] as const
/** Time after the start in which these short delays apply, in election timeouts. */
const STARTUP_PERIOD_TIMEOUTS = 6
/**
 * Time after a vote in which no other candidate gets a pre-vote, as a fraction of the election timeout. It covers the
 * election and the first heartbeat: without it, a second candidate wins its pre-vote and deposes the new leader.
 */
const VOTE_HOLD_RATIO = 0.3
/** Assumed when an older version of this program stored a term without a lease holder. */
const UNKNOWN_HOLDER: LeaseHolder = { name: '', term: Number.MAX_SAFE_INTEGER }

/** Creates the lease grant of a process that has not received from a leader yet. */
export function createLeaseGrant(options: LeaseGrantOptions): LeaseGrant {
  const { timers, random, electionMs, startedAt } = options
  let receivedAt: number | undefined
  let votedAt = -Infinity

  const isStarting = () =>
    receivedAt === undefined && timers.now() - startedAt < electionMs * STARTUP_PERIOD_TIMEOUTS
  return {
    recordContact: () => {
      receivedAt = timers.now()
    },
    recordVote: () => {
      votedAt = timers.now()
    },
    mustHoldVote: ({ isPreVote, candidate }, { votedFor }) => {
      const hasJustVoted = timers.now() - votedAt < electionMs * VOTE_HOLD_RATIO
      return isPreVote && hasJustVoted && votedFor !== candidate
    },
    isLeaderAlive: () => receivedAt !== undefined && timers.now() - receivedAt < electionMs,
    findLeaseHolder: ({ leaseHolder, term }, endedTerms) => {
      const isExpired = receivedAt !== undefined || timers.now() - startedAt >= electionMs
      // In term 0 this member has never followed a leader.
      if (isExpired || term === 0) return undefined
      const holder = leaseHolder ?? UNKNOWN_HOLDER
      return isLeaseEnded(holder, endedTerms) ? undefined : holder
    },
    drawElectionTimeout: () => {
      if (!isStarting()) return electionMs * (1 + random.next())
      const [min, max] = STARTUP_RETRY_RATIOS
      return electionMs * (min + (max - min) * random.next())
    },
  }
}
