/** Drives a group in memory by the plan that the leader's keeper follows. */
import { findMembershipStep, type MembershipPlanInput } from '../group/groupPlan.js'
import type { TestGroup, TestMember } from './group.js'

/** Options of {@link createMembershipDriver}. */
export interface MembershipDriverOptions {
  readonly group: TestGroup
  /** Voters that the group should have. */
  readonly targetVoters: number
}

/** See {@link createMembershipDriver}. */
export interface MembershipDriver {
  /** Lets whoever leads change its group by the next step, if one is due. */
  apply(): void
}

/** Whether messages pass between two instances in both directions. */
function isLinked({ cut, frozen }: TestGroup, a: TestMember, b: TestMember): boolean {
  const isCut = cut.has(`${a.url}>${b.url}`) || cut.has(`${b.url}>${a.url}`)
  return !isCut && !frozen.has(a.name) && !frozen.has(b.name)
}

/** Creates the driver; instances that run and are no members ask to be taken in. */
export function createMembershipDriver(options: MembershipDriverOptions): MembershipDriver {
  const { group, targetVoters: wantedVoters } = options
  const leaderships = new Map<string, { readonly term: number; readonly since: number }>()

  const buildInput = (leader: TestMember, since: number): MembershipPlanInput => {
    const { members, commitIndex } = leader.member.status()
    const joiners = [...group.members.values()]
      .filter((other) => !(other.name in members) && isLinked(group, leader, other))
      .map(({ name, url }) => ({ name, url }))
    return {
      leader: leader.name,
      members,
      joinRequests: joiners,
      targetVoters: wantedVoters,
      findHealth: (name) => {
        if (name === leader.name) return { silentMs: 0, isCaughtUp: true }
        const found = leader.member.listFollowers().find((follower) => follower.name === name)
        const receivedAt = Math.max(found?.confirmedAt ?? -Infinity, since)
        const isCaughtUp = (found?.matchIndex ?? 0) >= commitIndex
        return { silentMs: leader.timers.now() - receivedAt, isCaughtUp }
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
      const step = findMembershipStep(buildInput(leader, since))
      // Refused while another change is in progress, and not known when leadership is lost.
      if (step) leader.member.changeMembers(step.members).catch(() => {})
    },
  }
}
