import { expect } from 'chai'
import fc from 'fast-check'
import { Subject } from 'rxjs'
import { createTableHistory } from '../table/tableHistory.js'
import { applyTableUpdate, buildTableUpdate, type VersionedTable } from '../table/tableUpdate.js'
import { applyTextPatch, buildTextPatch } from '../table/textPatch.js'
import { buildDocument } from './feedFixtures.js'

const SEED = 35
/** Texts with many repeated segments in any order. */
const texts = fc
  .array(fc.constantFrom('{"a":1}', '{"b":2},', '{', '}', '}}', 'tail', 'é✓'), { maxLength: 30 })
  .map((segments) => segments.join(''))

/** Maximum packed size of a change of one of 5,000 routes, in bytes. The full table has 1.2 MB, or 165 KB packed. */
const SMALL_UPDATE_BYTES = 1_000

describe('a text patch', () => {
  it('transforms any text into any other', () => {
    fc.assert(
      fc.property(texts, texts, (before, after) => {
        expect(applyTextPatch(before, buildTextPatch(before, after))).to.equal(after)
      }),
      { seed: SEED, numRuns: 2_000 },
    )
  })
})

describe('a table update', () => {
  const table = (version: number, document: string): VersionedTable => ({ version, document })

  it('has a size proportional to the change', () => {
    const document = buildDocument(7, 5_000)
    const changed = document.replace('"version":7', '"version":8').replace('r-4711"', 'r-x"')
    const update = buildTableUpdate(table(7, document), table(8, changed))
    expect(update.packed.length).to.be.below(SMALL_UPDATE_BYTES)
    expect(applyTableUpdate(table(7, document), update)).to.deep.equal(table(8, changed))
  })

  it('does not apply to a version other than its base, or to a base with different content', () => {
    const update = buildTableUpdate(table(7, '{"a":1}{"b":1}'), table(8, '{"a":1}{"b":2}'))
    expect(applyTableUpdate(undefined, update)).to.equal(undefined)
    expect(applyTableUpdate(table(6, '{"a":1}{"b":1}'), update)).to.equal(undefined)
    expect(applyTableUpdate(table(7, '{"a":0}{"b":1}'), update)).to.equal(undefined)
  })

  it('is rejected or yields the right document when any byte is corrupt', () => {
    const held = table(7, '{"a":1}{"b":1}')
    const update = buildTableUpdate(held, table(8, '{"a":1}{"b":2}'))
    fc.assert(
      fc.property(fc.nat(update.packed.length - 1), fc.base64String(), (at, text) => {
        const packed = update.packed.slice(0, at) + text + update.packed.slice(at + text.length)
        const applied = applyTableUpdate(held, { ...update, packed })
        expect([undefined, '{"a":1}{"b":2}']).to.include(applied?.document)
      }),
      { seed: SEED, numRuns: 500 },
    )
  })
})

describe('the table history of an instance', () => {
  const createHistory = () => {
    const changes = new Subject<void>()
    let current: VersionedTable | undefined
    const history = createTableHistory({ current: () => current, changes })
    const put = (version: number) => {
      current = { version, document: `{"v":${version}}${'{"same":1}'.repeat(50)}` }
      changes.next()
    }
    return { history, put }
  }

  it('finds the update from an earlier version to the newest and skips intermediate versions', () => {
    const { history, put } = createHistory()
    for (const version of [3, 5, 9]) put(version)
    const update = history.findUpdate(3)
    expect(update).to.include({ base: 3, version: 9 })
    expect(history.findUpdate(3)).to.equal(update, 'built once')
    expect(history.findUpdate(9)).to.equal(undefined)
  })

  it('finds the full table for a version that is too old or unknown', () => {
    const { history, put } = createHistory()
    for (let version = 1; version <= 40; version += 1) put(version)
    for (const from of [-1, 0, 1]) expect(history.findUpdate(from)).to.include({ base: null })
    expect(history.findUpdate(39)).to.include({ base: 39 })
  })

  it('finds no update for a version newer than its own', () => {
    const { history, put } = createHistory()
    put(7)
    expect(history.findUpdate(8)).to.equal(undefined)
  })
})
