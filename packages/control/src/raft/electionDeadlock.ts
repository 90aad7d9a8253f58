/** Finds out whether a group can elect a leader at all, once each of its voters has answered. */
import type { LogPosition, MemberMap, VoteReply } from './messages.js'
import { countElectionQuorum, listVoters } from './quorum.js'

/** What is known of one voter of a group that cannot elect a leader. */
export interface VoterState {
  /** What the voter lacks; undefined for one that can vote. */
  readonly lacks: 'itsDisk' | 'permissionToVote' | undefined
  /** Last entry of the instance at the address of the voter. */
  readonly position: LogPosition | undefined
}

/** Shortage of able voters that keeps a group from electing a leader. */
export interface ElectionDeadlock {
  /** Voters that can vote, and those that are needed. */
  readonly able: number
  readonly needed: number
  /** State of each voter, by its name. */
  readonly voters: Readonly<Record<string, VoterState>>
}

/** Evidence of a vote round that has ended. */
export interface RoundEvidence {
  /** Groups in each of which the election must be won. */
  readonly groups: readonly MemberMap[]
  readonly lost: ReadonlySet<string>
  /** Replies by the member that was asked, that of the candidate included. */
  readonly replies: ReadonlyMap<string, VoteReply>
  readonly candidate: string
}

function isLonger(one: LogPosition, other: LogPosition): boolean {
  return one.term > other.term || (one.term === other.term && one.index > other.index)
}

function findState(name: string, { lost, replies }: RoundEvidence): VoterState {
  const reply = replies.get(name)
  const isBarred = reply?.refusal === 'mayNotVote'
  const lacks = lost.has(name) ? 'itsDisk' : isBarred ? 'permissionToVote' : undefined
  return { lacks, position: reply?.position }
}

/**
 * Finds out whether no election can succeed. Undefined while that is not certain: a voter did not answer, or an instance has
 * a longer log than the candidate, which may contain another group.
 */
export function findDeadlock(evidence: RoundEvidence): ElectionDeadlock | undefined {
  const { groups, lost, replies, candidate } = evidence
  const own = replies.get(candidate)?.position
  const isCertain =
    own !== undefined &&
    groups.flatMap(listVoters).every((name) => replies.get(name)?.position !== undefined) &&
    [...replies.values()].every(({ position }) => !position || !isLonger(position, own))
  if (!isCertain) return undefined
  const toState = (name: string) => [name, findState(name, evidence)] as const
  const stuck = groups
    .map((group) => {
      const voters = Object.fromEntries(listVoters(group).map(toState))
      const able = Object.values(voters).filter(({ lacks }) => lacks === undefined).length
      return { able, needed: countElectionQuorum(group, lost), voters }
    })
    .find(({ able, needed }) => able < needed)
  return stuck
}
