import { createRandomSource, toTeamId } from '@spoolgate/core'
import { expect } from 'chai'
import { createTableState } from '../state/tableState.js'
import { buildNextEpoch, type CacheEpoch, type TeamIsolation } from '../table/cacheEpoch.js'

/** Builds the teams of a table from names; those of isolated teams are in capitals. */
function buildTeams(names: string): TeamIsolation[] {
  return [...names].map((name) => ({
    id: toTeamId(name.toLowerCase()),
    isIsolated: name !== name.toLowerCase(),
  }))
}

function listEpochs(tables: readonly string[]): number[] {
  const epochs: number[] = []
  let epoch: CacheEpoch | undefined
  for (const [index, names] of tables.entries()) {
    epoch = buildNextEpoch(epoch, index + 1, buildTeams(names))
    epochs.push(epoch?.sharedSince ?? 0)
  }
  return epochs
}

describe('epochs of shared cached parts', () => {
  it('end when a team changes between sharing and isolation, and with no other change', () => {
    expect(listEpochs(['ab', 'Ab', 'ab', 'Ab'])).to.deep.equal([1, 2, 3, 4])
    expect(listEpochs(['ab', 'abc', 'a', 'abcD', 'bD', 'D', 'abcD'])).to.deep.equal(
      Array(7).fill(1),
    )
  })

  it('remember the teams that are no longer in the table', () => {
    expect(listEpochs(['ab', 'b', 'b', 'Ab'])).to.deep.equal([1, 1, 1, 4])
    expect(listEpochs(['Ab', 'b', 'ab'])).to.deep.equal([1, 1, 3])
  })

  it('take a team for isolated that any of its entries isolates', () => {
    expect(listEpochs(['ab', 'aAb'])).to.deep.equal([1, 2])
  })

  it('end when they would hold more teams than their bound', () => {
    const name = (index: number) => ({ id: toTeamId(`team-${index}`), isIsolated: false })
    let epoch = buildNextEpoch(undefined, 1, [])
    for (let version = 2; version <= 30; version += 1) {
      const teams = Array.from({ length: 400 }, (_, index) => name(version * 400 + index))
      epoch = buildNextEpoch(epoch, version, teams)
      expect(epoch?.sharing.length).to.be.at.most(10_000)
    }
    expect(epoch?.sharedSince).to.equal(27)
  })

  // Whatever tables two routers hold, one must not read what the other's teams left if either table isolates them.
  it('never hold parts of a team that a table of the epoch isolates, in any order of changes', () => {
    for (let seed = 1; seed <= 300; seed += 1) {
      const random = createRandomSource(seed)
      const draw = (name: string) => ['', name, name.toUpperCase()][Math.floor(random.next() * 3)]
      const tables = Array.from({ length: 40 }, () => [...'abcd'].map(draw).join(''))
      const sharing = new Map<number, Set<string>>()
      const isolated = new Map<number, Set<string>>()
      for (const [index, epoch] of listEpochs(tables).entries())
        for (const name of tables[index]) {
          const sets = name === name.toLowerCase() ? sharing : isolated
          sets.set(epoch, (sets.get(epoch) ?? new Set()).add(name.toLowerCase()))
        }
      for (const [epoch, names] of sharing)
        expect([...names].filter((name) => isolated.get(epoch)?.has(name))).to.deep.equal([])
    }
  })
})

describe('the epoch of the routing table', () => {
  const listTeams = (document: string) => (document === '?' ? undefined : buildTeams(document))
  const put = (version: number, document: string) =>
    ({ kind: 'table.put', version, document }) as const

  it('survives a snapshot, and goes on as without one', () => {
    const state = createTableState({ listTeams })
    state.put(put(3, 'ab'))
    state.put(put(4, 'abc'))
    const restored = createTableState({ listTeams })
    restored.load(JSON.parse(JSON.stringify(state.save())))
    for (const [version, document, sharedSince] of [
      [5, 'abC', 5],
      [6, 'aC', 5],
    ] as const)
      for (const each of [state, restored]) {
        each.put(put(version, document))
        expect(each.current()?.sharedSince).to.equal(sharedSince)
      }
  })

  it('begins anew after a snapshot that does not hold it, and after a table without readable teams', () => {
    const state = createTableState({ listTeams })
    state.load({ version: 7, document: 'ab' })
    expect(state.current()?.sharedSince).to.equal(7)
    state.put(put(8, 'ab'))
    expect(state.current()?.sharedSince).to.equal(8)
    state.put(put(9, '?'))
    expect(state.current()?.sharedSince).to.equal(9)
    state.put(put(10, 'ab'))
    expect(state.current()?.sharedSince).to.equal(10)
    state.put(put(11, 'ab'))
    expect(state.current()?.sharedSince).to.equal(10)
  })
})
