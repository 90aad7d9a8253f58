import { expect } from 'chai'
import {
  findMembershipStep,
  REMOVE_LEARNER_AFTER_MS,
  REPLACE_AFTER_MS,
  SHRINK_AFTER_MS,
  type MembershipPlanInput,
  type MemberHealth,
} from '../group/groupPlan.js'
import type { MemberMap } from '../raft/messages.js'

const HEALTHY: MemberHealth = { silentMs: 0, isCaughtUp: true }
const AWAY: MemberHealth = { silentMs: SHRINK_AFTER_MS + 1, isCaughtUp: true }
const SILENT: MemberHealth = { silentMs: REPLACE_AFTER_MS + 1, isCaughtUp: true }

function buildMembers(kinds: Record<string, 'voter' | 'learner'>): MemberMap {
  return Object.fromEntries(
    Object.entries(kinds).map(([name, kind]) => [name, { url: `http://${name}`, kind }]),
  )
}

function buildInput(
  kinds: Record<string, 'voter' | 'learner'>,
  views: Record<string, MemberHealth> = {},
  change: Partial<MembershipPlanInput> = {},
): MembershipPlanInput {
  return {
    leader: 'a',
    members: buildMembers(kinds),
    joinRequests: [],
    targetVoters: 3,
    findHealth: (name) => views[name] ?? HEALTHY,
    ...change,
  }
}

describe('the membership plan of the control group', () => {
  const fullGroup = { a: 'voter', b: 'voter', c: 'voter' } as const

  it('plans no change for a complete group with an additional learner', () => {
    expect(findMembershipStep(buildInput({ ...fullGroup, d: 'learner' }))).to.equal(undefined)
  })

  it('adds an instance that requests to join as a learner', () => {
    const step = findMembershipStep(
      buildInput(fullGroup, {}, { joinRequests: [{ name: 'd', url: 'http://d' }] }),
    )
    expect(step?.members.d).to.deep.equal({ url: 'http://d', kind: 'learner' })
  })

  it('promotes a learner to voter only after it has caught up', () => {
    const kinds = { a: 'voter', b: 'voter', d: 'learner' } as const
    const behind = { d: { silentMs: 0, isCaughtUp: false } }
    expect(findMembershipStep(buildInput(kinds, behind))).to.equal(undefined)
    expect(findMembershipStep(buildInput(kinds))?.members.d.kind).to.equal('voter')
  })

  it('makes a voter that may not vote a learner, and no learner a voter that may not', () => {
    const barred = { silentMs: 0, isCaughtUp: false, isBarred: true }
    const step = findMembershipStep(buildInput(fullGroup, { c: barred }))
    expect([step?.members.c.kind, step?.reason]).to.deep.equal(['learner', 'mayNotVote'])
    const learner = buildInput({ a: 'voter', b: 'voter', c: 'learner' }, { c: barred })
    expect(findMembershipStep(learner)).to.equal(undefined)
  })

  it('keeps a voter that may not vote while the other voters in touch are no majority without it', () => {
    const barred = { silentMs: 0, isCaughtUp: false, isBarred: true }
    const missing = { silentMs: 600, isCaughtUp: true }
    const plan = (kinds: Record<string, 'voter'>, views: Record<string, MemberHealth>) =>
      findMembershipStep(buildInput(kinds, views, { targetVoters: 5 }))?.member
    expect(plan(fullGroup, { b: missing, c: barred })).to.equal(undefined)
    expect(plan(fullGroup, { b: barred, c: barred })).to.equal(undefined)
    const five = { ...fullGroup, d: 'voter', e: 'voter' } as const
    expect(plan(five, { c: missing, d: missing, e: barred })).to.equal(undefined)
    expect(plan(five, { d: missing, e: barred })).to.equal('e')
  })

  it('replaces a silent voter with a learner, one step at a time', () => {
    const views = { c: SILENT }
    const first = findMembershipStep(buildInput({ ...fullGroup, d: 'learner' }, views))
    expect(first?.members.d.kind).to.equal('voter')
    expect(first?.members.c.kind).to.equal('voter')
    const second = findMembershipStep(buildInput({ ...fullGroup, d: 'voter' }, views))
    expect(second?.members.c.kind).to.equal('learner')
  })

  it('keeps a silent voter when no learner can replace it', () => {
    expect(findMembershipStep(buildInput(fullGroup, { c: SILENT }))).to.equal(undefined)
  })

  it('demotes a silent voter of an odd group, which does not change the size of the majority', () => {
    const kinds = { ...fullGroup, d: 'voter', e: 'voter' } as const
    const five = findMembershipStep(buildInput(kinds, { e: AWAY }, { targetVoters: 5 }))
    expect(five?.members.e.kind).to.equal('learner')
    const seven = { ...kinds, f: 'voter', g: 'voter' } as const
    // A voter that may only be restarting or disconnected briefly stays a voter.
    expect(findMembershipStep(buildInput(kinds, { e: SILENT }, { targetVoters: 5 }))).to.equal(
      undefined,
    )
    const six = findMembershipStep(buildInput(seven, { c: AWAY }, { targetVoters: 7 }))
    expect(six?.members.c.kind).to.equal('learner')
  })

  it('keeps a silent voter when entries would be stored on fewer disks without it', () => {
    const four = { ...fullGroup, d: 'voter' } as const
    expect(findMembershipStep(buildInput(four, { d: AWAY }, { targetVoters: 5 }))).to.equal(
      undefined,
    )
    const two = { a: 'voter', b: 'voter' } as const
    expect(findMembershipStep(buildInput(two, { b: AWAY }, { targetVoters: 5 }))).to.equal(
      undefined,
    )
    expect(findMembershipStep(buildInput(fullGroup, { c: AWAY }, { targetVoters: 5 }))).to.equal(
      undefined,
    )
  })

  it('demotes silent voters one at a time and promotes them again when they return', () => {
    const five = { ...fullGroup, d: 'voter', e: 'voter' } as const
    const input = { targetVoters: 5 }
    const step = findMembershipStep(buildInput(five, { d: AWAY, e: AWAY }, input))
    const kinds = Object.values(step?.members ?? {}).map(({ kind }) => kind)
    expect(kinds.filter((kind) => kind === 'voter')).to.have.length(4)
    const four = { ...five, e: 'learner' } as const
    expect(findMembershipStep(buildInput(four, { d: AWAY, e: AWAY }, input))).to.equal(undefined)
    expect(findMembershipStep(buildInput(four, {}, input))?.members.e.kind).to.equal('voter')
  })

  it('removes a voter when an instance with an empty disk joins from its address', () => {
    const joiners = [{ name: 'c#new', url: 'http://c' }]
    const first = findMembershipStep(buildInput(fullGroup, {}, { joinRequests: joiners }))
    expect(first?.members).to.not.have.property('c')
    const second = findMembershipStep(
      buildInput({ a: 'voter', b: 'voter' }, {}, { joinRequests: joiners }),
    )
    expect(second?.members['c#new'].kind).to.equal('learner')
  })

  it('removes a learner that stays silent, but never the leader', () => {
    const gone = { silentMs: REMOVE_LEARNER_AFTER_MS + 1, isCaughtUp: false }
    const step = findMembershipStep(
      buildInput({ ...fullGroup, d: 'learner' }, { d: gone, a: gone }),
    )
    expect(step?.members).to.have.all.keys('a', 'b', 'c')
  })
})
