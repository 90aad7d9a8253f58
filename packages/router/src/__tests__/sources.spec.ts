import type { FleetView, RegisteredServer } from '@spoolgate/control'
import { createManualTimerService, toBackendServerId } from '@spoolgate/core'
import { formatCacheScope, formatStoreId } from '@spoolgate/routing'
import { expect } from 'chai'
import { buildPlacement, createPartMemory } from '../direct/partMemory.js'
import { createServerBoard } from '../direct/serverBoard.js'
import { findPlaces } from '../direct/sources.js'

const STORE = { address: 's:1', epoch: 5 }
const SCOPE = formatCacheScope(undefined, 1)
const SHARED = [
  { id: 'outer', tokens: 2_000 },
  { id: 'inner', tokens: 3_000 },
]

function createServer(id: string, hall: string): RegisteredServer {
  return {
    id: toBackendServerId(id),
    group: 'g',
    address: `${id}:1`,
    hall,
    phase: 'ready',
    slots: 4,
    weights: [{ model: 'm', version: 1 }],
  }
}

/** Finds the places of a prompt when some engines, or the store, keep the first parts of it. */
function findKept(kept: Record<string, number>, sent: Record<string, number> = {}) {
  const timers = createManualTimerService()
  const memory = createPartMemory({ findCacheTokens: () => 100_000 })
  for (const [id, count] of Object.entries(kept)) {
    memory.confirm(buildPlacement(toBackendServerId(id), 1, SCOPE, SHARED.slice(0, count)))
  }
  for (const [id, count] of Object.entries(sent)) {
    memory.record(buildPlacement(toBackendServerId(id), 1, SCOPE, SHARED.slice(0, count)))
  }
  const servers = [createServer('a', 'h1'), createServer('b', 'h1'), createServer('c', 'h2')]
  const view = {
    loading: new Set(),
    stores: [STORE],
    index: { table: { stores: [{ ...STORE, hall: 'h1', cacheTokens: 1, linkMbps: 25_000 }] } },
  } as unknown as FleetView
  const places = findPlaces({
    view,
    prompt: {
      model: 'm',
      parts: [...SHARED, { id: 'own', tokens: 100 }],
      promptTokens: 5_100,
      maxTokens: 10,
    },
    engine: { slots: 4, cacheTokens: 1, tokenBytes: 18_432, linkMbps: 550_000, models: ['m'] },
    servers,
    formatScope: () => SCOPE,
    board: createServerBoard(timers),
    memory,
    forLong: undefined,
  })
  return { places, reader: servers[0] }
}

const STORE_ID = formatStoreId(STORE.address, STORE.epoch, 1)

describe('where shared parts of a prompt are fetched from', () => {
  it('is the place that keeps the most', () => {
    const { places, reader } = findKept({ b: 1, c: 2 })
    expect(places.findFetch(1, reader, 0)).to.include({ address: 'c:1', foundTokens: 5_000 })
  })

  it('is the nearest of those that keep as much, and an engine sooner than a store', () => {
    const { places, reader } = findKept({ b: 2, c: 2, [STORE_ID]: 2 })
    expect(places.findFetch(1, reader, 0)?.address).to.equal('b:1')
  })

  it('is the store where no engine has them, at the speed of its link', () => {
    const { places, reader } = findKept({ [STORE_ID]: 2 })
    const plan = places.findFetch(1, reader, 0)
    expect(plan?.address).to.equal('s:1')
    // 5,000 tokens of 18,432 bytes over 25 Gbit/s take 29.5 ms.
    expect(plan?.fetchMs).to.be.within(29.5, 35)
  })

  it('is named as well for an engine that should have everything, and costs nothing then', () => {
    const { places, reader } = findKept({ b: 2 })
    const plan = places.findFetch(1, reader, 5_000)
    expect(plan).to.include({ address: 'b:1', foundTokens: 5_000, fetchMs: 0 })
  })

  it('is also an engine that was only sent them, so that they are not read twice', () => {
    const { places, reader } = findKept({}, { b: 2 })
    expect(places.findFetch(1, reader, 0)).to.include({ address: 'b:1', foundTokens: 5_000 })
  })

  it('counts what is kept anywhere, and saves to a store what it lacks', () => {
    const { places } = findKept({ b: 1, [STORE_ID]: 1 })
    expect(places.countAnywhere(1)).to.equal(2_000)
    expect(places.findStore(1)?.address).to.equal('s:1')
    expect(findKept({ [STORE_ID]: 2 }).places.findStore(1)).to.equal(undefined)
  })
})
