/** Public types of a Raft member of the control group. */
import type { Invariants, Logger, Metrics, RandomSource, TimerService } from '@spoolgate/core'
import type { Observable } from 'rxjs'
import type { LogStore } from '../log/logStore.js'
import type { ElectionDeadlock } from './electionDeadlock.js'
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

/** State machine that the replicated log drives. */
export interface StateMachine {
  /** Applies a committed command and returns its result, which may depend only on state and arguments. */
  apply(command: unknown, index: number): unknown
  /** Returns the state for a snapshot. */
  save(): unknown
  /** Replaces the state by that of a snapshot. */
  load(state: unknown): void
}

/** Options of {@link createRaftMember}. */
export interface RaftMemberOptions {
  readonly name: string
  readonly url: string
  /** Initial members of the group. */
  readonly founders: MemberMap
  /** Whether a member with an empty data folder bootstraps the group instead of waiting to be added to it. */
  readonly isFounding: boolean
  readonly store: LogStore
  readonly machine: StateMachine
  readonly transport: RaftTransport
  readonly timers: TimerService
  readonly random: RandomSource
  readonly logger: Logger
  readonly invariants: Invariants
  /**
   * Receives the `leaderless_ms` histogram.
   * @default undefined, no metrics
   */
  readonly metrics?: Metrics
  /** Minimum election timeout, in ms; the maximum is twice that. */
  readonly electionMs: number
  /** Heartbeat interval, in ms. */
  readonly heartbeatMs: number
  /** Number of log entries between snapshots. */
  readonly snapshotEvery: number
  /**
   * Start of this process, in ms of the monotonic clock. Since then no leader can have
   * received a message from this member that it does not remember.
   * @default now
   */
  readonly startedAt?: number
}

/** Role of a member. */
export type RaftRole = 'follower' | 'candidate' | 'leader'

/** Observable state of a member. */
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
  /** Why the group cannot elect a leader by itself; undefined while it may be able to. */
  readonly cannotElect?: ElectionDeadlock
}

/** Replication progress of one follower, as its leader knows it. */
export interface FollowerProgress {
  readonly name: string
  /** Highest index known to be replicated on the follower. */
  readonly matchIndex: number
  /** Send time of the last acknowledged message, in ms of the leader's monotonic clock. */
  readonly confirmedAt: number
  /** Whether it may vote, as it replied last; undefined before, and with older versions of this program. */
  readonly mayVote: boolean | undefined
}

/** A running member. */
export interface RaftMember {
  status(): RaftStatus
  /** Emits the term each time this member becomes leader. */
  readonly elected: Observable<number>
  /**
   * Appends a command and resolves with its result once it is applied.
   * @throws SpoolgateError `notLeader`, or `controlUnavailable` when it is unknown whether the
   * command will be applied.
   */
  propose(command: unknown): Promise<unknown>
  /**
   * Whether this member can serve linearizable reads: it leads, holds its lease and has applied all
   * committed entries.
   */
  isCurrent(): boolean
  /**
   * Throws unless {@link isCurrent}.
   * @throws SpoolgateError `notLeader` or `controlUnavailable`.
   */
  checkCurrent(): void
  /** Lists the progress of the followers; empty unless this member leads. */
  listFollowers(): FollowerProgress[]
  /** Adds, removes or changes one member; resolves when the change is committed. */
  changeMembers(next: MemberMap): Promise<void>
  handleVote(request: VoteRequest): Promise<VoteReply>
  handleAppend(request: AppendRequest): Promise<AppendReply>
  handleInstall(request: InstallRequest): Promise<InstallReply>
  close(): Promise<void>
}
