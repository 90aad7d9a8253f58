/**
 * Guards against stale reads after a machine was suspended for seconds. The monotonic clock stops during a
 * suspension, so a leader that was deposed meanwhile considered its lease valid and reported an outdated
 * configuration as the latest one. Leases are therefore checked on a clock that includes suspended time.
 */
import { expect } from 'chai'
import { createTestGroup, ELECTION_MS, type TestGroup } from './group.js'

describe('Raft member on a suspended machine', () => {
  let group: TestGroup

  beforeEach(async () => {
    group = await createTestGroup(['a', 'b', 'c'])
  })
  afterEach(() => group.close())

  it('no longer has its lease on resume when another member leads', async () => {
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

  it('keeps leading after its wall clock was set ahead', async () => {
    const leader = await group.waitForLeader()
    const { term } = leader.member.status()
    leader.timers.setWall(60_000)
    expect(leader.member.status().hasLease).to.equal(false)
    await group.run(ELECTION_MS)
    expect(leader.member.status()).to.include({ role: 'leader', hasLease: true, term })
  })

  it('does not vote against its leader any earlier because it was suspended', async () => {
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
