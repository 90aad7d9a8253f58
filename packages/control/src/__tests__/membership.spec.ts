import { createQuietLogger } from '@spoolgate/core'
import { expect } from 'chai'
import { openLogStore, type LogStore } from '../log/logStore.js'
import { createMembership } from '../raft/membership.js'
import type { MemberKind, MemberMap } from '../raft/messages.js'
import { createTestGroup, ELECTION_MS } from './group.js'
import { createMemoryFolder } from './memoryFolder.js'

function buildMembers(kinds: Record<string, MemberKind>): MemberMap {
  return Object.fromEntries(
    Object.entries(kinds).map(([name, kind]) => [name, { url: name, kind }]),
  )
}

describe('groups in which an election must be won after a restart', () => {
  let store: LogStore

  beforeEach(async () => {
    const folder = createMemoryFolder()
    store = await openLogStore({ folder, logger: createQuietLogger(), onFailure: () => {} })
    await store.saveVoteState({ term: 1, votedFor: 'a', mayVote: true })
  })
  afterEach(() => store.close())

  it('exclude those before a change that must be committed because a later one was started', () => {
    const founders = buildMembers({ a: 'voter', b: 'voter', c: 'voter' })
    const first = { ...founders, d: { url: 'd', kind: 'learner' as const } }
    const second = { ...founders, d: { url: 'd', kind: 'voter' as const } }
    const membership = createMembership({ name: 'a', store, founders })
    membership.reload()
    const observe = (index: number, members: MemberMap) =>
      membership.observe({ index, term: 1, command: { group: 'members', members } })
    observe(5, first)
    expect(membership.listElectionGroups(0)).to.deep.equal([founders, first])
    observe(9, second)
    // The commit index is unknown, but the second change started only after the first was committed.
    expect(membership.listElectionGroups(0)).to.deep.equal([first, second])
  })
})

describe('a committed membership change', () => {
  it('is sent to the members without waiting for the next heartbeat', async () => {
    for (const seed of [1, 2, 3, 4, 5, 6]) {
      const group = await createTestGroup(['a', 'b', 'c'], seed)
      const leader = await group.waitForLeader()
      await group.run(ELECTION_MS)
      const { members } = leader.member.status()
      let isDone = false
      const next = { ...members, x: { url: 'x', kind: 'learner' as const } }
      void leader.member.changeMembers(next).then(() => (isDone = true))
      await group.runUntil(() => isDone, 'the change of the group')
      await group.run(5)
      for (const { name, member } of group.members.values()) {
        const { commitIndex } = leader.member.status()
        expect(member.status().commitIndex, `seed ${seed}, ${name}`).to.equal(commitIndex)
      }
      await group.close()
    }
  })
})
