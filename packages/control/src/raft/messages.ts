/** Messages between the members of the control group. */
import type { LeaseHolder, LogEntry, Snapshot } from '../log/logStore.js'

/** What a member may do: learners follow the log and neither vote nor count for a majority. */
export type MemberKind = 'voter' | 'learner'

/** One member of the group. */
export interface MemberInfo {
  readonly url: string
  readonly kind: MemberKind
}

/** The group by member name. */
export type MemberMap = Readonly<Record<string, MemberInfo>>

/** By member, the highest term in which it said that it does not lead and never will. */
export type EndedTerms = Readonly<Record<string, number>>

/** Asks for a vote; a pre-vote asks whether a real one would be worth while. */
export interface VoteRequest {
  readonly isPreVote: boolean
  readonly term: number
  readonly candidate: string
  readonly lastIndex: number
  readonly lastTerm: number
  /** What the members answered to the pre-vote; empty in a pre-vote. */
  readonly endedTerms: EndedTerms
}

/** Why a vote is not granted. */
export type VoteRefusal =
  /** A leader's message came so lately that it counts as alive. */
  | 'leaderAlive'
  /** An earlier leader's lease may still hold; see {@link VoteReply.heldBackBy}. */
  | 'heldBack'
  /** The voter started with an empty disk and was not taken in since. */
  | 'mayNotVote'
  | 'oldTerm'
  /** The candidate's log ends before the voter's. */
  | 'behind'
  /** The vote of this term was given to another candidate. */
  | 'votedOther'

export interface VoteReply {
  /** Who answers: an instance whose disk was lost has another name than the member it was. */
  readonly voter: string
  readonly term: number
  readonly isGranted: boolean
  /** Highest term in which the member that answers does not lead and never will. */
  readonly endedTerm: number
  /** Leader whose lease is all that keeps the member, which has restarted, from granting. */
  readonly heldBackBy?: LeaseHolder
  /** Undefined where the vote is granted, and from older versions of this program. */
  readonly refusal?: VoteRefusal
}

/** Hands entries to a follower; without entries it is a heartbeat. */
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
  /** Last index known to match when accepted; otherwise where the leader should try next. */
  readonly index: number
}

/** Replaces a follower's log by a snapshot. */
export interface InstallRequest {
  readonly term: number
  readonly leader: string
  readonly leaderUrl: string
  readonly snapshot: Snapshot
}

export interface InstallReply {
  readonly term: number
}

/** The messages by name, each with its reply. */
export interface RaftMessages {
  vote: { request: VoteRequest; reply: VoteReply }
  append: { request: AppendRequest; reply: AppendReply }
  install: { request: InstallRequest; reply: InstallReply }
}

/** Name of a message. */
export type RaftMessageName = keyof RaftMessages

/** Carries messages to other members; rejects when there is no answer. */
export interface RaftTransport {
  send<Name extends RaftMessageName>(
    to: string,
    url: string,
    name: Name,
    request: RaftMessages[Name]['request'],
  ): Promise<RaftMessages[Name]['reply']>
}
