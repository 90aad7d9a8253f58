/** Types of a member of the control group, for those who create one and those who use it. */
import type { Invariants, Logger, Metrics, RandomSource, TimerService } from '@spoolgate/core'
import type { Observable } from 'rxjs'
import type { LogStore } from '../log/logStore.js'
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

/** The machine that the log drives. */
export interface StateMachine {
  /** Applies a committed command and returns its result; must depend on nothing else. */
  apply(command: unknown, index: number): unknown
  save(): unknown
  load(state: unknown): void
}

/** Options of {@link createRaftMember}. */
export interface RaftMemberOptions {
  readonly name: string
  readonly url: string
  /** Group as it was founded. */
  readonly founders: MemberMap
  /** Whether an empty data folder founds the group, instead of waiting to be taken in. */
  readonly isFounding: boolean
  readonly store: LogStore
  readonly machine: StateMachine
  readonly transport: RaftTransport
  readonly timers: TimerService
  readonly random: RandomSource
  readonly logger: Logger
  readonly invariants: Invariants
  /**
   * Takes the time without a leader.
   * @default undefined, none
   */
  readonly metrics?: Metrics
  /** Shortest election timeout, in ms; the longest is twice that. */
  readonly electionMs: number
  /** Period of heartbeats, in ms. */
  readonly heartbeatMs: number
  /** Entries between snapshots. */
  readonly snapshotEvery: number
  /**
   * When this process began, in ms of the monotonic clock: no leader can have received from this member
   * since without the member knowing.
   * @default now
   */
  readonly startedAt?: number
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

/** What a leader knows of one follower. */
export interface FollowerProgress {
  readonly name: string
  /** Last index known to match. */
  readonly matchIndex: number
  /** When the last acknowledged message was sent, on the leader's monotonic clock, in ms. */
  readonly confirmedAt: number
}

/** A running member. */
export interface RaftMember {
  status(): RaftStatus
  /** Emits the term each time that this member becomes leader. */
  readonly elected: Observable<number>
  /**
   * Appends a command and waits until it is applied.
   * @throws SpoolgateError `notLeader`, or `controlUnavailable` when it is not known whether the
   * command will be applied.
   */
  propose(command: unknown): Promise<unknown>
  /** Whether this member leads, holds its lease and has applied all that was committed. */
  isCurrent(): boolean
  /**
   * The same as a check.
   * @throws SpoolgateError `notLeader` or `controlUnavailable`.
   */
  checkCurrent(): void
  /** Lists the followers as this leader sees them; empty for other roles. */
  listFollowers(): FollowerProgress[]
  /** Changes the group by one member; resolves when the change is committed. */
  changeMembers(next: MemberMap): Promise<void>
  handleVote(request: VoteRequest): Promise<VoteReply>
  handleAppend(request: AppendRequest): Promise<AppendReply>
  handleInstall(request: InstallRequest): Promise<InstallReply>
  close(): Promise<void>
}
