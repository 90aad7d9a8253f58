/**
 * What the leader should change next in its group: who joins, who votes, who is removed. One step at
 * a time, since the group changes by one member at a time.
 */
import type { MemberInfo, MemberMap } from '../raft/messages.js'

/** What the leader knows of one member. */
export interface MemberHealth {
  /** Ms since the member last followed; 0 for the leader itself. */
  readonly silentMs: number
  /** Whether the member holds all that was committed. */
  readonly isCaughtUp: boolean
}

/** A process that asked to be taken in. */
export interface JoinRequest {
  readonly name: string
  readonly url: string
}

/** Input of {@link findMembershipStep}. */
export interface MembershipPlanInput {
  readonly leader: string
  readonly members: MemberMap
  readonly joinRequests: readonly JoinRequest[]
  /** Voters that the group should have, if there are as many instances. */
  readonly targetVoters: number
  readonly findHealth: (name: string) => MemberHealth
}

/** A change of the group with its reason. */
export interface MembershipStep {
  readonly members: MemberMap
  readonly reason: string
  readonly member: string
}

/**
 * Silence after which a voter is replaced by a learner, in ms. Longer than an election, so that a
 * restart of a process does not count; an instance that was replaced must be out within the time
 * that its successor has for catching up (4 s on the deployments known).
 */
export const REPLACE_AFTER_MS = 2_000
/**
 * Silence after which an odd group goes on without a voter, in ms; chosen, not measured. Longer than
 * for a replacement: while a voter that will return is a learner, two others may not go for good.
 */
export const SHRINK_AFTER_MS = 5_000
/** Silence after which a learner is forgotten, in ms; it asks to be taken in when it returns. */
export const REMOVE_LEARNER_AFTER_MS = 15_000
/** Longest silence of a learner that becomes a voter, in ms. */
const MAX_PROMOTION_SILENCE_MS = 600

/** Voters below which a silent one is kept: of two, one that is away would stop the group. */
const MIN_VOTERS = 3

type Entry = readonly [string, MemberInfo]

function removeMember(members: MemberMap, name: string): MemberMap {
  return Object.fromEntries(Object.entries(members).filter(([other]) => other !== name))
}

function applyKind(members: MemberMap, [name, info]: Entry, kind: MemberInfo['kind']): MemberMap {
  return { ...members, [name]: { ...info, kind } }
}

/** A member whose address now belongs to another disk can never return. */
function findReplacedDisk({
  members,
  joinRequests: joinRequests,
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

function findJoin({
  members,
  joinRequests: joinRequests,
}: MembershipPlanInput): MembershipStep | undefined {
  const joiner = joinRequests.find(({ name }) => !(name in members))
  if (!joiner) return undefined
  const { name, url } = joiner
  return { members: { ...members, [name]: { url, kind: 'learner' } }, member: name, reason: 'join' }
}

function findVoterStep(input: MembershipPlanInput): MembershipStep | undefined {
  const { members, leader, targetVoters: targetVoters, findHealth: findHealth } = input
  const entries: Entry[] = Object.entries(members)
  const voters = entries.filter(([, { kind }]) => kind === 'voter')
  const isSilent = ([name]: Entry) =>
    name !== leader && findHealth(name).silentMs > REPLACE_AFTER_MS
  const silent = voters.filter(isSilent)
  const promotable = entries.find(([name, { kind }]) => {
    const view = findHealth(name)
    return kind === 'learner' && view.isCaughtUp && view.silentMs < MAX_PROMOTION_SILENCE_MS
  })
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
  // An odd group without one has the same majority, and no entry is held on fewer disks. It bears
  // more: a voter that was replaced for good would else count as away for ever, besides new losses.
  const isShrinkable = voters.length % 2 === 1 && voters.length > MIN_VOTERS
  const away = silent.find(([name]) => findHealth(name).silentMs > SHRINK_AFTER_MS)
  if (!isShrinkable || !away) return undefined
  return { members: applyKind(members, away, 'learner'), member: away[0], reason: 'away' }
}

function findExpiredLearner({
  members,
  findHealth: findHealth,
  leader,
}: MembershipPlanInput): MembershipStep | undefined {
  const lost = Object.entries(members).find(
    ([name, { kind }]) =>
      kind === 'learner' && name !== leader && findHealth(name).silentMs > REMOVE_LEARNER_AFTER_MS,
  )
  return lost && { members: removeMember(members, lost[0]), member: lost[0], reason: 'silent' }
}

/** Plans the next change of the group; undefined when it is as it should be. */
export function findMembershipStep(input: MembershipPlanInput): MembershipStep | undefined {
  return (
    findReplacedDisk(input) ?? findJoin(input) ?? findVoterStep(input) ?? findExpiredLearner(input)
  )
}
