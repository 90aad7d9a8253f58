import {
  createRandomSource,
  toBackendServerId,
  toIncarnation,
  toRequestId,
  toTeamId,
} from '@spoolgate/core'
import { expect } from 'chai'
import type { OpenClaimResult } from '../state/claimState.js'
import type { SubmitConfigResult } from '../state/configState.js'
import { createTestGroup, ELECTION_MS, type TestGroup, type TestMember } from './group.js'

const NAMES = ['a', 'b', 'c']

function buildClaim(key: string, request: string) {
  return {
    kind: 'claim.open',
    team: toTeamId('t'),
    key,
    bodyHash: 'h',
    request: toRequestId(request),
    server: toBackendServerId('s'),
    incarnation: toIncarnation('i'),
    at: 0,
  }
}

describe('Raft group', () => {
  let group: TestGroup

  const findLeader = (other?: string) => group.waitForLeader(other)
  const propose = (leader: TestMember, command: unknown) => group.propose(leader, command)

  afterEach(() => group.close())

  it('elects one leader, and every member applies its committed entries', async () => {
    group = await createTestGroup(NAMES)
    const leader = await findLeader()
    const result = (await propose(leader, buildClaim('k', 'r'))) as OpenClaimResult
    expect(result.kind).to.equal('granted')
    await group.runUntil(
      () => [...group.members.values()].every(({ machine }) => machine.claims.size() === 1),
      'all members have applied it',
    )
  })

  it('a partitioned leader loses its lease before another member leads', async () => {
    group = await createTestGroup(NAMES)
    const old = await findLeader()
    group.isolate(old.name)
    let overlap = 0
    const isReplaced = () => {
      overlap = Math.max(overlap, group.countLeases())
      return group.leader() !== undefined && group.leader()?.name !== old.name
    }
    await group.runUntil(isReplaced, 'another leader')
    expect(overlap).to.equal(1)
    expect(() => old.member.checkCurrent()).to.throw()
    const next = group.leader() as TestMember
    expect(((await propose(next, buildClaim('k', 'r1'))) as OpenClaimResult).kind).to.equal(
      'granted',
    )

    const lost = old.member.propose(buildClaim('k', 'r2')).then(
      () => 'granted',
      () => 'refused',
    )
    group.heal()
    await group.run(ELECTION_MS * 10)
    expect(await lost).to.equal('refused')
    const claims = [...group.members.values()].map(({ machine }) => machine.claims.size())
    expect(claims).to.deep.equal([1, 1, 1])
  })

  it('a leader that can send but not receive steps down, and another member leads', async () => {
    group = await createTestGroup(NAMES)
    const old = await findLeader()
    for (const name of NAMES) if (name !== old.name) group.cutLinks.add(`${name}>${old.name}`)
    const next = await findLeader(old.name)
    expect(((await propose(next, buildClaim('k', 'r'))) as OpenClaimResult).kind).to.equal(
      'granted',
    )
  })

  it('a paused leader no longer has its lease when it resumes', async () => {
    group = await createTestGroup(NAMES)
    const old = await findLeader()
    group.frozenMembers.add(old.name)
    await findLeader(old.name)
    group.frozenMembers.delete(old.name)
    // The monotonic clock of a frozen process jumps when it resumes.
    old.timers.advance(ELECTION_MS * 10)
    expect(old.member.status().hasLease).to.equal(false)
    expect(() => old.member.checkCurrent()).to.throw()
  })

  it('a partitioned member does not depose the leader when it reconnects', async () => {
    group = await createTestGroup(NAMES)
    const leader = await findLeader()
    const { term } = leader.member.status()
    const away = NAMES.find((name) => name !== leader.name) as string
    group.isolate(away)
    await group.run(ELECTION_MS * 20)
    group.heal()
    await group.run(ELECTION_MS * 10)
    expect(leader.member.status()).to.include({ role: 'leader', term })
  })

  it('a follower that receives from its leader votes for nobody else', async () => {
    group = await createTestGroup(NAMES)
    const leader = await findLeader()
    await group.run(ELECTION_MS)
    const follower = [...group.members.values()].find(({ name }) => name !== leader.name)
    const { term, lastIndex } = leader.member.status()
    const request = {
      term: term + 5,
      candidate: 'z',
      lastIndex: lastIndex + 9,
      lastTerm: term + 5,
      endedTerms: { [leader.name]: term + 5 },
    }
    for (const isPreVote of [true, false]) {
      const vote = await follower?.member.handleVote({ ...request, isPreVote })
      expect(vote).to.deep.equal({
        voter: follower?.name,
        term,
        isGranted: false,
        endedTerm: term,
        heldBackBy: undefined,
        refusal: 'leaderAlive',
        position: { index: lastIndex, term },
      })
    }
  })

  it('replaces a member whose disk is lost: it joins as a learner and does not vote before', async () => {
    group = await createTestGroup(NAMES)
    const leader = await findLeader()
    await propose(leader, buildClaim('k1', 'r1'))
    const lost = NAMES.find((name) => name !== leader.name) as string
    await group.members.get(lost)?.member.close()
    const replaced = await group.start(lost, { isFounding: false })
    await group.run(ELECTION_MS * 5)
    group.isolate(lost)
    await group.run(ELECTION_MS * 5)
    const vote = await replaced.member.handleVote({
      isPreVote: false,
      term: 99,
      candidate: 'z',
      lastIndex: 99,
      lastTerm: 99,
      endedTerms: {},
    })
    expect(vote.isGranted).to.equal(false)
    group.heal()

    const others = Object.fromEntries(
      Object.entries(leader.member.status().members).filter(([name]) => name !== lost),
    )
    const change = async (members: typeof others) => {
      let isDone = false
      void leader.member.changeMembers(members).then(() => (isDone = true))
      await group.runUntil(() => isDone, 'the change of the group')
    }
    await change(others)
    await change({ ...others, [lost]: { url: lost, kind: 'learner' } })
    await group.runUntil(() => replaced.machine.claims.size() === 1, 'the learner has caught up')
    await change({ ...others, [lost]: { url: lost, kind: 'voter' } })

    // A second member is lost right after the repair.
    const second = NAMES.find((name) => name !== lost && name !== leader.name) as string
    group.isolate(second)
    const result = (await propose(
      group.leader() ?? leader,
      buildClaim('k2', 'r2'),
    )) as OpenClaimResult
    expect(result.kind).to.equal('granted')
  })

  it('sends a snapshot to a member whose log ends before the compacted entries', async () => {
    group = await createTestGroup(NAMES, 3, 20)
    const leader = await findLeader()
    const away = NAMES.find((name) => name !== leader.name) as string
    group.isolate(away)
    for (let index = 0; index < 50; index += 1) await propose(leader, buildClaim(`k${index}`, 'r'))
    group.heal()
    const lagging = group.members.get(away) as TestMember
    await group.runUntil(() => lagging.machine.claims.size() === 50, 'it has caught up')
  })

  it('neither loses nor duplicates changes of two concurrent operators whose replies are lost', async () => {
    group = await createTestGroup(NAMES, 5)
    const random = createRandomSource(7)
    const accepted = new Map<string, number>()
    const submitUntilKnown = async (command: unknown): Promise<SubmitConfigResult> => {
      for (;;) {
        const target = group.leader() ?? (await findLeader())
        try {
          return (await propose(target, command)) as SubmitConfigResult
        } catch {
          group.heal()
        }
      }
    }
    const recordResult = (changeId: string, result: SubmitConfigResult) => {
      if (result.kind !== 'accepted') return
      expect(accepted.get(changeId) ?? result.version).to.equal(result.version)
      accepted.set(changeId, result.version)
    }
    for (let round = 0; round < 500; round += 1) {
      const leader = group.leader() ?? (await findLeader())
      if (random.next() < 0.02) group.isolate(leader.name)
      const base = leader.machine.config.version()
      const sends = ['x', 'y'].map((operator) => ({
        kind: 'config.submit',
        changeId: `${operator}-${round}`,
        base,
        operator,
        source: { models: [{ id: `m-${operator}-${round}`, weightsVersion: 'w' }] },
        at: 0,
      }))
      for (const command of sends) {
        // Some commands are sent twice, as after a lost reply, to the current leader.
        const resends = random.next() < 0.3 ? 2 : 1
        for (let send = 0; send < resends; send += 1) {
          recordResult(command.changeId, await submitUntilKnown(command))
        }
      }
    }
    group.heal()
    await findLeader()
    await group.run(ELECTION_MS * 10)
    const histories = [...group.members.values()].map(({ machine }) => machine.config.history())
    for (const history of histories) expect(history).to.deep.equal(histories[0])
    const versions = histories[0].map(({ version }) => version)
    expect(versions).to.deep.equal([...versions].sort((a, b) => a - b))
    expect(new Set(histories[0].map(({ changeId }) => changeId)).size).to.equal(versions.length)
    for (const [changeId, version] of accepted) {
      expect(histories[0].find((change) => change.changeId === changeId)?.version).to.equal(version)
    }
    expect(accepted.size).to.be.at.least(500)
  })
})
