/** Messages between the members of the control group. Field names are part of the protocol. */
import type { LeaseHolder, LogEntry, Snapshot } from '../log/logStore.js'

/** Kind of a member: learners replicate the log but neither vote nor count towards a majority. */
export type MemberKind = 'voter' | 'learner'

/** One member of the group. */
export interface MemberInfo {
  readonly url: string
  readonly kind: MemberKind
}

/** Members of the group by name. */
export type MemberMap = Readonly<Record<string, MemberInfo>>

/** By member name, the highest term that the member reported it does not lead and never will. */
export type EndedTerms = Readonly<Record<string, number>>

/** Requests a vote; a pre-vote checks whether an election could be won, without raising the term. */
export interface VoteRequest {
  readonly isPreVote: boolean
  readonly term: number
  readonly candidate: string
  readonly lastIndex: number
  readonly lastTerm: number
  /** Ended terms from the replies to the pre-vote; empty in a pre-vote itself. */
  readonly endedTerms: EndedTerms
}

/** Why a vote was not granted. */
export type VoteRefusal =
  /** The voter received from a leader within the election timeout. */
  | 'leaderAlive'
  /** The lease of an earlier leader may still be valid; see {@link VoteReply.heldBackBy}. */
  | 'heldBack'
  /** The voter started with an empty disk and has not been added as a learner since. */
  | 'mayNotVote'
  | 'oldTerm'
  /** The candidate's log is less up to date than the voter's. */
  | 'behind'
  /** The voter already voted for another candidate in this term. */
  | 'votedOther'

/** Last entry of a log. */
export interface LogPosition {
  readonly index: number
  readonly term: number
}

export interface VoteReply {
  /** Name of the replying instance. An instance that lost its disk replies under a new name, not that of the member. */
  readonly voter: string
  readonly term: number
  readonly isGranted: boolean
  /** Highest term that the replying member does not lead and never will. */
  readonly endedTerm: number
  /** Leader whose possible lease is the only reason why this restarted member does not grant the vote. */
  readonly heldBackBy?: LeaseHolder
  /** Undefined when the vote is granted, and in replies of older versions of this program. */
  readonly refusal?: VoteRefusal
  /** Last entry of the replying instance; undefined in replies of older versions of this program. */
  readonly position?: LogPosition
}

/** Sends entries to a follower (Raft's AppendEntries); a heartbeat if there are none. */
export interface AppendRequest {
  readonly term: number
  readonly leader: string
  readonly leaderUrl: string
  readonly previousIndex: number
  readonly previousTerm: number
  readonly entries: readonly LogEntry[]
  readonly commitIndex: number
}

export interface AppendReply {
  readonly term: number
  readonly isAccepted: boolean
  /** Last matching index if accepted; otherwise the next index that the leader should try. */
  readonly index: number
  /** Whether the follower may vote; absent in replies of older versions of this program. */
  readonly mayVote?: boolean
}

/** Replaces a follower's log by a snapshot (Raft's InstallSnapshot). */
export interface InstallRequest {
  readonly term: number
  readonly leader: string
  readonly leaderUrl: string
  readonly snapshot: Snapshot
}

export interface InstallReply {
  readonly term: number
}

/** Request and reply types by message name. */
export interface RaftMessages {
  vote: { request: VoteRequest; reply: VoteReply }
  append: { request: AppendRequest; reply: AppendReply }
  install: { request: InstallRequest; reply: InstallReply }
}

export type RaftMessageName = keyof RaftMessages

/** Sends messages to other members; rejects when no reply arrives. */
export interface RaftTransport {
  send<Name extends RaftMessageName>(
    to: string,
    url: string,
    name: Name,
    request: RaftMessages[Name]['request'],
  ): Promise<RaftMessages[Name]['reply']>
}
