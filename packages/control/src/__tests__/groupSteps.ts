/** Applies the membership plan to an in-memory group, as the leader's membership manager does. */
import { findMembershipStep, measureHealth, type MembershipPlanInput } from '../group/groupPlan.js'
import type { TestGroup, TestMember } from './group.js'

/** Options of {@link createMembershipDriver}. */
export interface MembershipDriverOptions {
  readonly group: TestGroup
  /** Target number of voters. */
  readonly targetVoters: number
}

/** See {@link createMembershipDriver}. */
export interface MembershipDriver {
  /** Lets the current leader apply the next membership step, if one is due. */
  apply(): void
}

/** Whether messages are delivered between two instances in both directions. */
function isLinked(
  { cutLinks: cut, frozenMembers: frozen }: TestGroup,
  a: TestMember,
  b: TestMember,
): boolean {
  const isCut = cut.has(`${a.url}>${b.url}`) || cut.has(`${b.url}>${a.url}`)
  return !isCut && !frozen.has(a.name) && !frozen.has(b.name)
}

/** Creates the driver; running instances that are not members request to join. */
export function createMembershipDriver(options: MembershipDriverOptions): MembershipDriver {
  const { group, targetVoters } = options
  const leaderships = new Map<string, { readonly term: number; readonly since: number }>()

  const buildPlanInput = (leader: TestMember, since: number): MembershipPlanInput => {
    const { members } = leader.member.status()
    const joiners = [...group.members.values()]
      .filter((other) => !(other.name in members) && isLinked(group, leader, other))
      .map(({ name, url }) => ({ name, url }))
    return {
      leader: leader.name,
      members,
      joinRequests: joiners,
      targetVoters,
      findHealth: (name) => {
        if (name === leader.name) return { silentMs: 0, isCaughtUp: true }
        return measureHealth(leader.member, name, { now: leader.timers.now(), since })
      },
    }
  }
  return {
    apply: () => {
      const leader = group.leader()
      if (!leader) return
      const { term } = leader.member.status()
      const known = leaderships.get(leader.name)
      const since = known?.term === term ? known.since : leader.timers.now()
      leaderships.set(leader.name, { term, since })
      const step = findMembershipStep(buildPlanInput(leader, since))
      // Rejected while another change is in progress; the outcome is unknown when leadership is lost.
      if (step) leader.member.changeMembers(step.members).catch(() => {})
    },
  }
}
