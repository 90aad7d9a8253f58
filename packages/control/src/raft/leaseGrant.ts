/**
 * What a member has promised to the leader that it follows: for an election timeout after it received
 * from it, it helps nobody to depose it. Leases rest on this. A process that restarted does not know
 * when that was and counts from its own start, unless the leader that it followed says that
 * it no longer leads: after a loss of all instances the first leader is then elected as soon as a
 * majority listens, and not an election timeout later.
 */
import type { RandomSource, TimerService } from '@spoolgate/core'
import type { VoteState, LeaseHolder } from '../log/logStore.js'
import type { EndedTerms } from './messages.js'
import { isLeaseEnded } from './votes.js'

/** Options of {@link createLeaseGrant}. */
export interface LeaseGrantOptions {
  readonly timers: TimerService
  readonly random: RandomSource
  /** Shortest election timeout, in ms. */
  readonly electionMs: number
  /** When this process began, in ms of the monotonic clock. */
  readonly startedAt: number
}

/** The promise; see {@link createLeaseGrant}. */
export interface LeaseGrant {
  /** Records a message of a leader. */
  recordContact(): void
  /** Whether a leader's message came in this life so lately that it counts as alive. */
  isLeaderAlive(): boolean
  /** Finds the leader of an earlier life whose lease may still rest on this member. */
  findLeaseHolder(ballot: VoteState, endedTerms: EndedTerms): LeaseHolder | undefined
  /** Draws the time until this member stands for election, in ms. */
  drawElectionTimeout(): number
}

/**
 * Least and most parts of the election timeout between two tries of a member that knows no
 * leader in this life. Its pre-votes raise no term and depose nobody, so that it can ask again while
 * the others are still starting.
 */
const STARTUP_RETRY_RATIOS = [0.06, 0.2] as const
/** Election timeouts after the start from which on such a member asks no more often than others. */
const STARTUP_PERIOD_TIMEOUTS = 6
/** Holder in place of one that an older version of this program did not write down. */
const UNKNOWN_HOLDER: LeaseHolder = { name: '', term: Number.MAX_SAFE_INTEGER }

/** Creates the promise of a process that knows no leader. */
export function createLeaseGrant(options: LeaseGrantOptions): LeaseGrant {
  const { timers, random, electionMs, startedAt } = options
  let receivedAt: number | undefined

  const isStarting = () =>
    receivedAt === undefined && timers.now() - startedAt < electionMs * STARTUP_PERIOD_TIMEOUTS
  return {
    recordContact: () => {
      receivedAt = timers.now()
    },
    isLeaderAlive: () => receivedAt !== undefined && timers.now() - receivedAt < electionMs,
    findLeaseHolder: ({ leaseHolder, term }, endedTerms) => {
      const isExpired = receivedAt !== undefined || timers.now() - startedAt >= electionMs
      // Without any term this member has never followed anybody.
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
