import { expect } from 'chai'
import { createTestGroup, type TestGroup, type TestMember } from './group.js'

/** Size of a routing table with many routes, in bytes. */
const DOCUMENT_BYTES = 100_000
/** Tables between two snapshots. */
const TABLES = 40
/** What a link of 32 Mbit/s carries in half a second. */
const CARRIED_BYTES = 2_000_000

describe('a member that missed many large tables', () => {
  let group: TestGroup

  afterEach(() => group.close())

  const putTable = (leader: TestMember, version: number) =>
    group.propose(leader, { kind: 'table.put', version, document: 'x'.repeat(DOCUMENT_BYTES) })

  it('gets them in messages that a link can carry in time', async () => {
    group = await createTestGroup(['a', 'b', 'c'])
    group.carriedBytes = CARRIED_BYTES
    const leader = await group.findLeader()
    const [missing] = [...group.members.values()].filter(({ name }) => name !== leader.name)
    group.isolate(missing.name)
    for (let version = 1; version <= TABLES; version += 1) await putTable(leader, version)
    group.heal()
    await group.runUntil(
      () => missing.machine.table.current()?.version === TABLES,
      'the member has the newest table',
    )
    expect(group.countLeases()).to.equal(1)
  })
})
