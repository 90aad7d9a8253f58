import { createLogger, SpoolgateError } from '@spoolgate/core'
import { expect } from 'chai'
import { createTableWriter } from '../registry/tableWriter.js'
import { createTableState, type PutTable, type PutTableUpdate } from '../state/tableState.js'
import { buildTableUpdate } from '../table/tableUpdate.js'

const logger = createLogger({ write: () => {} })
const buildTable = (version: number) => ({
  version,
  document: `{"v":${version}}${'{"same":1}'.repeat(50)}`,
})

/** A leader; `before` may insert another table into its log ahead of each proposed one. */
function createWriter(before: (proposed: number) => PutTable | undefined = () => undefined) {
  const table = createTableState()
  const proposed: PutTableUpdate[] = []
  const propose = async (command: unknown) => {
    const put = command as PutTableUpdate
    const other = before(proposed.length)
    proposed.push(put)
    if (other) table.put(other)
    return table.put(put)
  }
  return { table, proposed, puts: createTableWriter({ member: { propose }, table, logger }) }
}

describe('table writes at the leader', () => {
  it('are appended to the log in sequence, each as a patch', async () => {
    const { puts, proposed, table } = createWriter()
    await Promise.all([2, 5, 6].map((version) => puts.put(buildTable(version))))
    expect(proposed.map(({ update }) => update.base)).to.deep.equal([null, 2, 5])
    expect(table.current()).to.deep.equal({ ...buildTable(6), sharedSince: 6 })
  })

  it('that are not newer than the current version are acknowledged without a log entry', async () => {
    const { puts, proposed } = createWriter()
    const results = await Promise.all([6, 5, 6].map((version) => puts.put(buildTable(version))))
    expect(results.map(({ version }) => version)).to.deep.equal([6, 6, 6])
    expect(proposed).to.have.length(1)
  })

  it('contain the full table when an entry of an earlier leader was applied in between', async () => {
    const between: PutTableUpdate = {
      kind: 'table.put',
      version: 4,
      update: buildTableUpdate(undefined, buildTable(4)),
    }
    const { puts, proposed, table } = createWriter((count) => (count === 1 ? between : undefined))
    await puts.put(buildTable(2))
    expect(await puts.put(buildTable(7))).to.include({ isNewer: true, version: 7 })
    expect(proposed.map(({ update }) => update.base)).to.deep.equal([null, 2, null])
    expect(table.current()).to.deep.equal({ ...buildTable(7), sharedSince: 7 })
  })

  it('continue after one whose outcome is unknown', async () => {
    const table = createTableState()
    let isLost = true
    const propose = async (command: unknown) => {
      if (isLost) throw new SpoolgateError('controlUnavailable', 'leadership changed')
      return table.put(command as PutTable)
    }
    const puts = createTableWriter({ member: { propose }, table, logger })
    const lost = puts.put(buildTable(2)).catch((cause: SpoolgateError) => cause.kind)
    expect(await lost).to.equal('controlUnavailable')
    isLost = false
    expect(await puts.put(buildTable(3))).to.include({ isNewer: true })
  })
})

describe('the table in a snapshot', () => {
  it('is compressed, and earlier formats are still readable', () => {
    const state = createTableState()
    state.put({ kind: 'table.put', ...buildTable(3) })
    const saved = JSON.parse(JSON.stringify(state.save())) as never
    const other = createTableState()
    other.load(saved)
    expect(other.current()).to.deep.equal({ ...buildTable(3), sharedSince: 3 })
    other.load(buildTable(2))
    expect(other.current()).to.deep.equal({ ...buildTable(2), sharedSince: 2 })
  })
})
