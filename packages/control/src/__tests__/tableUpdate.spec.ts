import { expect } from 'chai'
import fc from 'fast-check'
import { Subject } from 'rxjs'
import { createTableHistory } from '../table/tableHistory.js'
import { applyTableUpdate, buildTableUpdate, type VersionedTable } from '../table/tableUpdate.js'
import { applyTextPatch, buildTextPatch } from '../table/textPatch.js'
import { buildDocument } from './feedSimulation.js'

const SEED = 35
/** Texts of which many segments recur, in any order. */
const texts = fc
  .array(fc.constantFrom('{"a":1}', '{"b":2},', '{', '}', '}}', 'tail', 'é✓'), { maxLength: 30 })
  .map((segments) => segments.join(''))

/** A change of one route in a table of 5,000, packed, in bytes: 1.2 MB whole, 165 KB packed whole. */
const SMALL_UPDATE_BYTES = 1_000

describe('a patch of a text', () => {
  it('leads from any text to any other', () => {
    fc.assert(
      fc.property(texts, texts, (before, after) => {
        expect(applyTextPatch(before, buildTextPatch(before, after))).to.equal(after)
      }),
      { seed: SEED, numRuns: 2_000 },
    )
  })
})

describe('an update of the table', () => {
  const table = (version: number, document: string): VersionedTable => ({ version, document })

  it('costs what it changes', () => {
    const document = buildDocument(7, 5_000)
    const changed = document.replace('"version":7', '"version":8').replace('r-4711"', 'r-x"')
    const update = buildTableUpdate(table(7, document), table(8, changed))
    expect(update.packed.length).to.be.below(SMALL_UPDATE_BYTES)
    expect(applyTableUpdate(table(7, document), update)).to.deep.equal(table(8, changed))
  })

  it('does not fit another version than its base, or other content under its number', () => {
    const update = buildTableUpdate(table(7, '{"a":1}{"b":1}'), table(8, '{"a":1}{"b":2}'))
    expect(applyTableUpdate(undefined, update)).to.equal(undefined)
    expect(applyTableUpdate(table(6, '{"a":1}{"b":1}'), update)).to.equal(undefined)
    expect(applyTableUpdate(table(7, '{"a":0}{"b":1}'), update)).to.equal(undefined)
  })

  it('is nothing when damaged, whatever byte it is', () => {
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

describe('the history of the table at an instance', () => {
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

  it('leads from a version before to the newest and skips those between', () => {
    const { history, put } = createHistory()
    for (const version of [3, 5, 9]) put(version)
    const update = history.findUpdate(3)
    expect(update).to.include({ base: 3, version: 9 })
    expect(history.findUpdate(3)).to.equal(update, 'built once')
    expect(history.findUpdate(9)).to.equal(undefined)
  })

  it('gives the whole table to who is far behind, or holds what was never here', () => {
    const { history, put } = createHistory()
    for (let version = 1; version <= 40; version += 1) put(version)
    for (const from of [-1, 0, 1]) expect(history.findUpdate(from)).to.include({ base: null })
    expect(history.findUpdate(39)).to.include({ base: 39 })
  })

  it('never leads back', () => {
    const { history, put } = createHistory()
    put(7)
    expect(history.findUpdate(8)).to.equal(undefined)
  })
})
