import { createLogger } from '@spoolgate/core'
import { expect } from 'chai'
import { createTableWriter } from '../registry/tableWriter.js'
import { buildDocument } from './feedFixtures.js'
import { createTestGroup, type TestGroup, type TestMember } from './group.js'

/** Size of a routing table with many routes, in bytes. */
const DOCUMENT_BYTES = 100_000
/** Number of tables written between two snapshots. */
const TABLES = 40
/** Bytes that a link of 32 Mbit/s transfers in half a second. */
const CARRIED_BYTES = 2_000_000

describe('a member that missed many large tables', () => {
  let group: TestGroup

  afterEach(() => group.close())

  const putTable = (leader: TestMember, version: number) =>
    group.propose(leader, { kind: 'table.put', version, document: 'x'.repeat(DOCUMENT_BYTES) })

  it('receives them in messages small enough for the link to transfer in time', async () => {
    group = await createTestGroup(['a', 'b', 'c'])
    group.maxMessageBytes = CARRIED_BYTES
    const leader = await group.waitForLeader()
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

describe('a change of one route among 5,000', () => {
  /** One percent of the table, which is 1.2 MB. */
  const SMALL_BYTES = 12_000
  let group: TestGroup

  afterEach(() => group.close())

  it('is stored in the log as a patch', async () => {
    group = await createTestGroup(['a', 'b', 'c'])
    const { member, machine } = await group.waitForLeader()
    const logger = createLogger({ write: () => {} })
    const puts = createTableWriter({ member, table: machine.table, logger })
    const put = async (version: number, document: string) => {
      let isDone = false
      void puts.put({ version, document }).then(() => (isDone = true))
      await group.runUntil(() => isDone, 'the change is accepted')
    }
    const document = buildDocument(1, 5_000)
    await put(1, document)
    group.maxMessageBytes = SMALL_BYTES
    const changed = document.replace('"version":1', '"version":2').replace('r-4711"', 'r-x"')
    await put(2, changed)
    await group.run(500)
    for (const { machine: other } of group.members.values()) {
      expect(other.table.current()).to.deep.equal({
        version: 2,
        document: changed,
        sharedSince: 2,
      })
    }
  })
})
