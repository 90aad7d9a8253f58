/**
 * Plans the next membership change of the leader's group: a join, a promotion, a demotion or a removal. Steps are
 * planned one at a time, because a membership change affects one member.
 */
import type { MemberInfo, MemberMap } from '../raft/messages.js'
import type { RaftMember } from '../raft/types.js'

/** Health of a member, as seen by the leader. */
export interface MemberHealth {
  /** Time since the member last confirmed the leader, in ms; 0 for the leader itself. */
  readonly silentMs: number
  /** Whether the member stores all committed entries and, as far as it is known, may vote. */
  readonly isCaughtUp: boolean
  /** Whether the member said that it may not vote. */
  readonly isBarred?: boolean
}

/** Request of an instance to join the group. */
export interface JoinRequest {
  readonly name: string
  readonly url: string
}

/** Input of {@link findMembershipStep}. */
export interface MembershipPlanInput {
  readonly leader: string
  readonly members: MemberMap
  readonly joinRequests: readonly JoinRequest[]
  /** Target number of voters, if there are as many instances. */
  readonly targetVoters: number
  readonly findHealth: (name: string) => MemberHealth
}

/** Membership change with its reason. */
export interface MembershipStep {
  readonly members: MemberMap
  readonly reason: string
  readonly member: string
}

/**
 * Silence after which a voter is replaced by a learner, in ms. It is longer than an election, so that a process
 * restart does not cause a replacement. A replaced instance must be removed within the time that its successor has
 * to catch up, which is 4 s on known deployments.
 */
export const REPLACE_AFTER_MS = 2_000
/**
 * Silence after which a voter of an odd group is demoted without a replacement, in ms. It is longer than for a
 * replacement, because while a voter that will return is a learner, the group does not tolerate the permanent loss of
 * two others.
 */
export const SHRINK_AFTER_MS = 5_000
/** Silence after which a learner is removed, in ms; it requests to join again when it returns. */
export const REMOVE_LEARNER_AFTER_MS = 15_000
/** Maximum silence, in ms, of a learner that is promoted, and of voters that are to commit a demotion. */
const MAX_PROMOTION_SILENCE_MS = 600

/** Number of voters up to which a silent voter is kept: in a group of two, one failure would stop the group. */
const MIN_VOTERS = 3

type Entry = readonly [string, MemberInfo]

/**
 * Measures the health of another member.
 * @param since when this leader was elected, in ms of its clock: it has received no messages before
 */
export function measureHealth(
  leader: Pick<RaftMember, 'status' | 'listFollowers'>,
  name: string,
  { now, since }: { readonly now: number; readonly since: number },
): MemberHealth {
  const found = leader.listFollowers().find((follower) => follower.name === name)
  const isBarred = found?.mayVote === false
  const isLevel = (found?.matchIndex ?? 0) >= leader.status().commitIndex
  return {
    silentMs: now - Math.max(found?.confirmedAt ?? -Infinity, since),
    isCaughtUp: isLevel && !isBarred,
    isBarred,
  }
}

function removeMember(members: MemberMap, name: string): MemberMap {
  return Object.fromEntries(Object.entries(members).filter(([other]) => other !== name))
}

function applyKind(members: MemberMap, [name, info]: Entry, kind: MemberInfo['kind']): MemberMap {
  return { ...members, [name]: { ...info, kind } }
}

/** Removes a member whose address now belongs to an instance with another disk; the member cannot return. */
function findReplacedDisk({
  members,
  joinRequests,
  leader,
}: MembershipPlanInput): MembershipStep | undefined {
  for (const joiner of joinRequests) {
    const old = Object.entries(members).find(
      ([name, { url }]) => url === joiner.url && name !== joiner.name && name !== leader,
    )
    if (old) return { members: removeMember(members, old[0]), member: old[0], reason: 'lostDisk' }
  }
  return undefined
}

function findJoin({ members, joinRequests }: MembershipPlanInput): MembershipStep | undefined {
  const joiner = joinRequests.find(({ name }) => !(name in members))
  if (!joiner) return undefined
  const { name, url } = joiner
  return { members: { ...members, [name]: { url, kind: 'learner' } }, member: name, reason: 'join' }
}

/**
 * Finds a voter that may not vote; as a learner that holds what is committed it may vote again. The voters that remain
 * must be able to commit the change without it, otherwise the leader would remove its own majority.
 */
function findBarredVoter({ members, leader, findHealth }: MembershipPlanInput): Entry | undefined {
  const voters = Object.entries(members).filter(([, { kind }]) => kind === 'voter')
  const isBarred = ([name]: Entry) => name !== leader && findHealth(name).isBarred === true
  const isInTouch = ([name]: Entry) =>
    name === leader || findHealth(name).silentMs < MAX_PROMOTION_SILENCE_MS
  const ready = voters.filter((voter) => !isBarred(voter) && isInTouch(voter))
  return ready.length * 2 > voters.length - 1 ? voters.find(isBarred) : undefined
}

function findVoterStep(input: MembershipPlanInput): MembershipStep | undefined {
  const { members, leader, targetVoters, findHealth } = input
  const entries: Entry[] = Object.entries(members)
  const voters = entries.filter(([, { kind }]) => kind === 'voter')
  const isSilent = ([name]: Entry) =>
    name !== leader && findHealth(name).silentMs > REPLACE_AFTER_MS
  const silent = voters.filter(isSilent)
  const promotable = entries.find(([name, { kind }]) => {
    const view = findHealth(name)
    return kind === 'learner' && view.isCaughtUp && view.silentMs < MAX_PROMOTION_SILENCE_MS
  })
  const barred = findBarredVoter(input)
  if (barred) {
    const next = applyKind(members, barred, 'learner')
    return { members: next, member: barred[0], reason: 'mayNotVote' }
  }
  const activeVoters = voters.length - silent.length
  if (promotable && activeVoters < targetVoters && voters.length <= targetVoters) {
    return {
      members: applyKind(members, promotable, 'voter'),
      member: promotable[0],
      reason: 'caughtUp',
    }
  }
  if (voters.length > targetVoters) {
    const surplus = silent[0] ?? voters.filter(([name]) => name !== leader).at(-1)
    if (!surplus) return undefined
    const next = applyKind(members, surplus, 'learner')
    return { members: next, member: surplus[0], reason: 'surplus' }
  }
  // Without one voter, an odd group needs as many disks for a majority as before, so entries stay on as many disks.
  // Tolerance improves: a permanently lost voter would otherwise count as a failure in addition to later ones.
  const isShrinkable = voters.length % 2 === 1 && voters.length > MIN_VOTERS
  const away = silent.find(([name]) => findHealth(name).silentMs > SHRINK_AFTER_MS)
  if (!isShrinkable || !away) return undefined
  return { members: applyKind(members, away, 'learner'), member: away[0], reason: 'away' }
}

function findExpiredLearner({
  members,
  findHealth,
  leader,
}: MembershipPlanInput): MembershipStep | undefined {
  const lost = Object.entries(members).find(
    ([name, { kind }]) =>
      kind === 'learner' && name !== leader && findHealth(name).silentMs > REMOVE_LEARNER_AFTER_MS,
  )
  return lost && { members: removeMember(members, lost[0]), member: lost[0], reason: 'silent' }
}

/** Plans the next membership change; undefined when none is needed. */
export function findMembershipStep(input: MembershipPlanInput): MembershipStep | undefined {
  return (
    findReplacedDisk(input) ?? findJoin(input) ?? findVoterStep(input) ?? findExpiredLearner(input)
  )
}
