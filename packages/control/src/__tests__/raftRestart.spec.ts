import { expect } from 'chai'
import type { MemberMap } from '../raft/messages.js'
import {
  buildPreVote,
  createTestGroup,
  ELECTION_MS,
  type TestGroup,
  type TestMember,
} from './group.js'

const NAMES = ['a', 'b', 'c']

/** Builds a command whose effect is visible in the state: a table version. */
function buildTable(version: number) {
  return { kind: 'table.put', version, document: '{}' }
}

function listPairs(names: readonly string[]): string[][] {
  return names.flatMap((first, index) => names.slice(index + 1).map((second) => [first, second]))
}

describe('Raft group whose members restart or lose their disks', () => {
  let group: TestGroup

  afterEach(() => group.close())

  it('elects a leader within half an election timeout after all members restart together', async () => {
    for (let seed = 1; seed <= 8; seed += 1) {
      group = await createTestGroup(NAMES, seed)
      await group.waitForLeader()
      // The processes have just started, so none has received from a leader since its start.
      await group.restart(NAMES, 0)
      let steps = 0
      await group.runUntil(() => {
        steps += 1
        return group.leader() !== undefined
      }, 'a leader')
      const waitedMs = steps * 5
      expect(waitedMs, `seed ${seed}`).to.be.at.most(ELECTION_MS / 2)
      if (seed < 8) await group.close()
    }
  })

  it('does not wait for the lease of a leader whose disk is lost', async () => {
    for (let seed = 1; seed <= 8; seed += 1) {
      group = await createTestGroup(NAMES, seed)
      const old = await group.waitForLeader()
      await group.run(ELECTION_MS)
      const others = NAMES.filter((name) => name !== old.name)
      await group.restart(others, 0)
      await group.loseDisks([old.name])
      await group.run(ELECTION_MS * 0.8)
      expect(others, `seed ${seed}`).to.include(group.leader()?.name)
      if (seed < 8) await group.close()
    }
  })

  it('restarted members grant no vote while the lease of the old leader may be valid', async () => {
    for (let seed = 1; seed <= 8; seed += 1) {
      group = await createTestGroup(NAMES, seed)
      const old = await group.waitForLeader()
      await group.run(ELECTION_MS)
      // The partitioned leader keeps running and serves under the lease that the other two granted.
      group.isolate(old.name)
      const others = NAMES.filter((name) => name !== old.name)
      await group.restart(others, 0)
      let elapsedMs = 0
      while (elapsedMs < ELECTION_MS - 5) {
        await group.run(5)
        elapsedMs += 5
        expect(group.countLeases(), `seed ${seed} after ${elapsedMs} ms`).to.be.at.most(1)
        expect(others.map((name) => group.members.get(name)?.member.status().role)).not.to.include(
          'leader',
        )
      }
      await group.waitForLeader(old.name)
      expect(group.countLeases()).to.equal(1)
      if (seed < 8) await group.close()
    }
  })

  it('does not depose a new leader by a pre-vote that arrives before its first heartbeat', async () => {
    group = await createTestGroup(NAMES)
    const [first] = [...group.members.values()]
    group.isolate(first.name)
    // The lease that a restarted member may have granted before has expired.
    first.timers.advance(ELECTION_MS)
    const request = buildPreVote(4, 9)
    const vote = await first.member.handleVote({ ...request, isPreVote: false, candidate: 'b' })
    expect(vote).to.include({ isGranted: true })
    const askAgain = async (candidate: string) =>
      (await first.member.handleVote({ ...buildPreVote(5, 9), candidate })).isGranted
    expect(await askAgain('c')).to.equal(false)
    expect(await askAgain('b')).to.equal(true)
    // A candidate that was not elected must not hold up the others for long.
    first.timers.advance(ELECTION_MS * 0.3)
    expect(await askAgain('c')).to.equal(true)
  })

  it('a member that followed a leader but did not vote for it remembers it across a restart', async () => {
    group = await createTestGroup(NAMES)
    const old = await group.waitForLeader()
    await group.run(ELECTION_MS)
    const [follower] = NAMES.filter((name) => name !== old.name)
    await group.restart([follower], 0)
    group.isolate(follower)
    const { term, lastIndex } = old.member.status()
    const request = {
      isPreVote: false,
      term: term + 5,
      candidate: 'z',
      lastIndex: lastIndex + 9,
      lastTerm: term + 5,
    }
    const restarted = group.members.get(follower) as TestMember
    const vote = async (endedTerms: Record<string, number>) =>
      restarted.member.handleVote({ ...request, endedTerms })
    const heldBackBy = { name: old.name, term }
    expect(await vote({})).to.deep.equal({
      voter: follower,
      term,
      isGranted: false,
      endedTerm: term,
      heldBackBy,
      refusal: 'heldBack',
      position: { index: 1, term: 1 },
    })
    // The end of an earlier term of the leader does not end the lease of this term.
    expect((await vote({ [old.name]: term - 1 })).isGranted).to.equal(false)
    expect((await vote({ [old.name]: term })).isGranted).to.equal(true)
  })

  it('four voters tolerate the loss of two disks right after an acknowledgement', async () => {
    const names = [...NAMES, 'd']
    for (const [seed, pair] of listPairs(names).entries()) {
      group = await createTestGroup(names, seed + 1)
      await group.propose(await group.waitForLeader(), buildTable(7))
      await group.restart(
        names.filter((name) => !pair.includes(name)),
        0,
      )
      await group.loseDisks(pair)
      const leader = await group.waitForLeader()
      expect(pair, 'an empty disk does not lead').not.to.include(leader.name)
      // The group serves again and still has the acknowledged entry: version 7 is not new.
      const again = await group.propose(leader, buildTable(7))
      expect(again, `without ${pair.join()}`).to.deep.equal({ isNewer: false, version: 7 })
      const left = names.filter((name) => !pair.includes(name))
      expect(Object.keys(leader.member.status().members)).to.have.members(left)
      if (seed < 5) await group.close()
    }
  })

  it('elects no leader when a majority of the disks is lost', async () => {
    for (const [names, lost] of [
      [NAMES, ['a', 'b']],
      [
        [...NAMES, 'd'],
        ['a', 'b', 'c'],
      ],
    ]) {
      group = await createTestGroup(names)
      await group.waitForLeader()
      await group.restart(
        names.filter((name) => !lost.includes(name)),
        0,
      )
      await group.loseDisks(lost)
      await group.run(ELECTION_MS * 30)
      expect(group.leader()).to.equal(undefined)
      if (names === NAMES) await group.close()
    }
  })

  it('elects no leader without voters that may return with their disks', async () => {
    const names = [...NAMES, 'd']
    group = await createTestGroup(names)
    await group.propose(await group.waitForLeader(), buildTable(7))
    await group.restart(names, 0)
    // Two voters are unreachable, and nothing proves that their disks are lost.
    group.frozenMembers.add('a')
    group.frozenMembers.add('b')
    await group.run(ELECTION_MS * 30)
    expect(group.leader(), 'two of four are away').to.equal(undefined)
    group.frozenMembers.delete('b')
    await group.waitForLeader()
    await group.close()

    const five = [...names, 'e']
    group = await createTestGroup(five)
    await group.propose(await group.waitForLeader(), buildTable(7))
    await group.restart(five, 0)
    group.frozenMembers.add('a')
    await group.loseDisks(['c', 'd'])
    await group.run(ELECTION_MS * 30)
    expect(group.leader(), 'two of five are lost and one is away').to.equal(undefined)
    group.frozenMembers.delete('a')
    const again = await group.propose(await group.waitForLeader(), buildTable(7))
    expect(again).to.deep.equal({ isNewer: false, version: 7 })
  })

  it('four voters tolerate one lost disk while another voter is unreachable', async () => {
    const names = [...NAMES, 'd']
    for (const [seed, [away, lost]] of [...listPairs(names), ...listPairs(names)].entries()) {
      group = await createTestGroup(names, seed + 1)
      const old = await group.waitForLeader()
      await group.propose(old, buildTable(7))
      const what = `${lost} is lost and ${away} is away, ${old.name} led`
      // The unreachable voter keeps running and may lead, with a lease granted by the member now lost.
      group.isolate(away)
      await group.loseDisks([lost])
      for (const other of group.members.values()) {
        group.cutLinks.add(`${away}>${other.url}`)
        group.cutLinks.add(`${other.url}>${away}`)
      }
      let leases = 0
      const runWatched = async (duration: number) => {
        for (let spent = 0; spent < duration; spent += 5) {
          await group.run(5)
          leases = Math.max(leases, group.countLeases())
        }
      }
      await runWatched(ELECTION_MS * 30)
      const leader = group.leader() as TestMember
      expect([away, `${lost}#new`], what).not.to.include(leader.name)
      const again = await group.propose(leader, buildTable(7))
      expect(again, what).to.deep.equal({ isNewer: false, version: 7 })
      await group.propose(leader, buildTable(8))
      group.heal()
      await runWatched(ELECTION_MS * 10)
      expect(leases, what).to.equal(1)
      const last = await group.propose(await group.waitForLeader(), buildTable(8))
      expect(last, what).to.deep.equal({ isNewer: false, version: 8 })
      if (seed < 11) await group.close()
    }
  })

  it('an instance that joined through a snapshot can vote', async () => {
    group = await createTestGroup(NAMES, 1, 20)
    const leader = await group.waitForLeader()
    const newcomer = await group.start('x', { isFounding: false })
    const take = async (kind: 'learner' | 'voter') => {
      const members = { ...leader.member.status().members, x: { url: 'x', kind } }
      let isDone = false
      void leader.member.changeMembers(members).then(() => (isDone = true))
      await group.runUntil(() => isDone, 'the change of the group')
    }
    group.isolate('x')
    await take('learner')
    // By then the membership change is in a snapshot, and no log entry contains it.
    for (let version = 1; version <= 50; version += 1) {
      await group.propose(leader, buildTable(version))
    }
    group.heal()
    await group.runUntil(() => newcomer.machine.table.current()?.version === 50, 'it is caught up')
    await take('voter')
    group.isolate('x')
    await group.run(ELECTION_MS * 2)
    const { lastIndex, term } = leader.member.status()
    const vote = await newcomer.member.handleVote(buildPreVote(term + 9, lastIndex + 9))
    expect(vote).to.include({ isGranted: true, refusal: undefined })
  })

  it('commits a membership change only with a majority of the previous group', async () => {
    const names = [...NAMES, 'd']
    group = await createTestGroup(names)
    const leader = await group.waitForLeader()
    const others = names.filter((name) => name !== leader.name)
    await group.start('e', { isFounding: false })
    const { members } = leader.member.status()
    const change = async (kind: 'learner' | 'voter') => {
      let isDone = false
      const next = { ...members, e: { url: 'e', kind } }
      void leader.member.changeMembers(next).then(() => (isDone = true))
      return () => isDone
    }
    await group.runUntil(await change('learner'), 'the learner is taken in')
    await group.run(ELECTION_MS)
    // Leader, new voter and one other are three of five, but two of the previous four.
    group.isolate(others[0])
    group.isolate(others[1])
    const isDone = await change('voter')
    await group.run(ELECTION_MS)
    expect(isDone()).to.equal(false)
    group.heal()
    await group.runUntil(isDone, 'the change of the group')
  })

  it('commits after a second lost disk when the first lost one was replaced', async () => {
    group = await createTestGroup(NAMES)
    let leader = await group.waitForLeader()
    const [first, second] = NAMES.filter((name) => name !== leader.name)
    await group.loseDisks([first])
    const replacement = `${first}#new`
    const change = async (build: (members: MemberMap) => MemberMap) => {
      let isDone = false
      const next = build(leader.member.status().members)
      void leader.member.changeMembers(next).then(() => (isDone = true))
      await group.runUntil(() => isDone, 'the change of the group')
    }
    await change(({ [first]: _lost, ...rest }) => rest)
    await change((members) => ({ ...members, [replacement]: { url: first, kind: 'learner' } }))
    await group.run(ELECTION_MS)
    await change((members) => ({ ...members, [replacement]: { url: first, kind: 'voter' } }))
    await group.propose(leader, buildTable(7))
    await group.restart([leader.name, replacement], 0)
    await group.loseDisks([second])
    leader = await group.waitForLeader()
    const again = await group.propose(leader, buildTable(7))
    expect(again).to.deep.equal({ isNewer: false, version: 7 })
  })
})
