/**
 * What users would see: a machine is suspended for seconds, and goes on as if no time had passed. A leader that was deposed
 * meanwhile still believes its lease, and reports an older configuration as the newest. Cause: every instant was read from
 * the steady clock, which stands still meanwhile. Evidence: after the time in which another leader was elected and
 * confirmed, the clock by which the lease is judged has not moved.
 */
import { expect } from 'chai'
import { createTestGroup, ELECTION_MS, type TestGroup } from './group.js'

describe('a member of the control group that was suspended', () => {
  let group: TestGroup

  beforeEach(async () => {
    group = await createTestGroup(['a', 'b', 'c'])
  })
  afterEach(() => group.close())

  it('has no lease any more on waking, where another leads', async () => {
    const old = await group.waitForLeader()
    group.frozenMembers.add(old.name)
    const next = await group.waitForLeader(old.name)
    await group.run(4 * ELECTION_MS)
    group.frozenMembers.delete(old.name)
    old.timers.suspend(next.timers.now() - old.timers.now())
    expect(old.member.status().hasLease).to.equal(false)
    expect(() => old.member.checkCurrent()).to.throw()
    expect(group.countLeases()).to.equal(1)
  })

  it('is not deposed because its time of day was set ahead', async () => {
    const leader = await group.waitForLeader()
    const { term } = leader.member.status()
    leader.timers.setWall(60_000)
    expect(leader.member.status().hasLease).to.equal(false)
    await group.run(ELECTION_MS)
    expect(leader.member.status()).to.include({ role: 'leader', hasLease: true, term })
  })

  it('helps nobody to depose a leader that it followed before, any sooner than without', async () => {
    const leader = await group.waitForLeader()
    const [voter] = [...group.members.values()].filter(({ name }) => name !== leader.name)
    voter.timers.suspend(ELECTION_MS / 4)
    const { lastIndex, term } = leader.member.status()
    const answer = await voter.member.handleVote({
      isPreVote: true,
      term: term + 1,
      candidate: 'z',
      lastIndex,
      lastTerm: term,
      endedTerms: {},
    })
    expect(answer.isGranted).to.equal(false)
  })
})
