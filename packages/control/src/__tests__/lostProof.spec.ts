/** Tests what proves that a disk is lost. Elections by half of a group rely on this proof. */
import { expect } from 'chai'
import {
  buildPreVote,
  createTestGroup,
  ELECTION_MS,
  type TestGroup,
  type TestMember,
} from './group.js'
import { createMembershipDriver } from './groupSteps.js'

/** Builds a command whose effect is visible in the state: a table version. */
function buildTable(version: number) {
  return { kind: 'table.put', version, document: '{}' }
}

/** Starts a change of one member's kind; resolves when it is committed. */
function startChange(leader: TestMember, name: string, kind: 'learner' | 'voter'): Promise<void> {
  const known = leader.member.status().members
  const members = { ...known, [name]: { url: known[name]?.url ?? name, kind } }
  return leader.member.changeMembers(members)
}

/** Cuts the links between two sets of addresses in both directions. */
function applyCut(group: TestGroup, some: readonly string[], others: readonly string[]): void {
  for (const one of some) {
    for (const other of others) group.cutLinks.add(`${one}>${other}`).add(`${other}>${one}`)
  }
}

describe('proof that the disk of a voter is lost', () => {
  const names = ['a', 'b', 'c', 'd']

  it('excludes the voter from all commit groups, even if it is a learner in the latest one', async () => {
    for (const seed of [1, 2, 3]) {
      const group = await createTestGroup(names, seed)
      const old = await group.waitForLeader()
      const [demoted, reached, unreached] = names.filter((name) => name !== old.name)
      await group.run(ELECTION_MS)
      // An unreachable voter is demoted to learner; the change reaches only one other member.
      applyCut(group, [old.name], [unreached, demoted])
      startChange(old, demoted, 'learner').catch(() => undefined)
      await group.runUntil(
        () => group.members.get(reached)?.member.status().members[demoted].kind === 'learner',
        'the change has reached one member',
      )
      group.frozenMembers.add(old.name)
      await group.loseDisks([demoted])
      group.heal()
      const leader = await group.waitForLeader()
      await group.propose(leader, buildTable(7))
      await group.close()
    }
  })

  it('is not given by a member that moved to the address, so that no term has two leaders', async () => {
    for (let seed = 1; seed <= 40; seed += 1) {
      const group = await createTestGroup(names, seed)
      await group.propose(await group.waitForLeader(), buildTable(7))
      const disks = await group.losePower(names)
      const urls: Record<string, string> = { a: 'c', c: 'a', b: 'b', d: 'd' }
      for (const name of names) {
        await group.start(name, { url: urls[name], folder: disks.get(name), startedAt: 0 })
      }
      applyCut(group, [urls.a, 'b'], [urls.c, 'd'])
      await group.run(ELECTION_MS * 10)
      const leaders = new Map<number, string>()
      for (const { name, member } of group.members.values()) {
        const { role, term } = member.status()
        if (role !== 'leader') continue
        expect(leaders.get(term), `seed ${seed}, term ${term}`).to.equal(undefined)
        leaders.set(term, name)
      }
      expect(group.countLeases(), `seed ${seed}`).to.be.at.most(1)
      await group.close()
    }
  })

  it('is missing if a member with an empty disk keeps its name: it cannot vote before it is added again', async () => {
    const group = await createTestGroup(['a', 'b', 'c'])
    const leader = await group.waitForLeader()
    const changeKind = async (kind: 'learner' | 'voter') => {
      let isDone = false
      void startChange(leader, 'x', kind).then(() => (isDone = true))
      await group.runUntil(() => isDone, 'the change of the group')
      await group.run(ELECTION_MS)
    }
    await group.start('x', { isFounding: false })
    await changeKind('learner')
    await changeKind('voter')
    await group.losePower(['x'])
    const emptied = await group.start('x', { isFounding: false })
    await group.run(ELECTION_MS * 5)
    group.isolate('x')
    await group.run(ELECTION_MS * 5)
    const { lastIndex, term } = leader.member.status()
    const vote = await emptied.member.handleVote(buildPreVote(term + 9, lastIndex + 9))
    expect(vote).to.include({ isGranted: false, refusal: 'mayNotVote' })
    await group.close()
  })
})

describe('a voter that lost its disk and kept its name', () => {
  it('is taken in again, so that its vote is not missing once another voter is lost', async () => {
    const group = await createTestGroup(['a', 'b', 'c'])
    const leader = await group.waitForLeader()
    const [emptied, other] = ['a', 'b', 'c'].filter((name) => name !== leader.name)
    await group.losePower([emptied])
    await group.start(emptied, { isFounding: false })
    const steps = createMembershipDriver({ group, targetVoters: 3 })
    for (let turn = 0; turn < 40; turn += 1) {
      await group.run(ELECTION_MS / 5)
      steps.apply()
    }
    expect(leader.member.status().members[emptied].kind).to.equal('voter')
    group.frozenMembers.add(leader.name)
    expect((await group.waitForLeader(leader.name)).name).to.be.oneOf([emptied, other])
    await group.close()
  })

  for (const [size, away] of [
    [3, 1],
    [5, 2],
  ]) {
    it(`does not cost the leader its majority while ${away} of ${size} voters are away`, async () => {
      const founders = ['a', 'b', 'c', 'd', 'e'].slice(0, size)
      const group = await createTestGroup(founders)
      const leader = await group.waitForLeader()
      const [emptied, ...others] = founders.filter((name) => name !== leader.name)
      const steps = createMembershipDriver({ group, targetVoters: size })
      const runSteps = async (turns: number) => {
        for (let turn = 0; turn < turns; turn += 1) {
          await group.run(ELECTION_MS / 5)
          steps.apply()
        }
      }
      for (const name of others.slice(0, away)) group.frozenMembers.add(name)
      await runSteps(40)
      await group.losePower([emptied])
      await group.start(emptied, { isFounding: false })
      await runSteps(40)
      expect(group.leader()?.name).to.equal(leader.name)
      await group.propose(leader, buildTable(7))
      await group.close()
    })
  }
})
