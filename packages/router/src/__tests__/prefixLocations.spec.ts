import {
  buildServerIdentity,
  type FleetView,
  type RegisteredServer,
  type ReachableStore,
} from '@spoolgate/control'
import { createManualTimerService, toBackendServerId, toServerName } from '@spoolgate/core'
import { formatCacheScope, formatSharedOwner, formatStoreId } from '@spoolgate/routing'
import { expect } from 'chai'
import { buildPlacement, createPrefixCacheIndex } from '../direct/prefixCacheIndex.js'
import { createServerStats } from '../direct/serverStats.js'
import { findPrefixLocations } from '../direct/prefixLocations.js'

const STORE = { address: 's:1', epoch: 5 }
const STORES = ['s:1', 's:2', 's:3'].map((address) => ({ address, epoch: 5 }))
const SCOPE = formatCacheScope(formatSharedOwner(1), 1)
const SHARED = [
  { id: 'outer', tokens: 2_000 },
  { id: 'inner', tokens: 3_000 },
]

function createServer(id: string, hall: string): RegisteredServer {
  return {
    ...buildServerIdentity(toServerName(id), undefined),
    group: 'g',
    address: `${id}:1`,
    hall,
    phase: 'ready',
    slots: 4,
    weights: [{ model: 'm', version: 1 }],
  }
}

/** Finds the locations of a prompt when engines or the store have its first parts cached, or were sent them. */
function buildLocations(
  kept: Record<string, number>,
  sent: Record<string, number> = {},
  backingOff: readonly string[] = [],
) {
  const timers = createManualTimerService()
  const memory = createPrefixCacheIndex({ findCacheTokens: () => 100_000 })
  for (const [id, count] of Object.entries(kept)) {
    memory.confirmPlacement(buildPlacement(toBackendServerId(id), 1, SCOPE, SHARED.slice(0, count)))
  }
  for (const [id, count] of Object.entries(sent)) {
    memory.recordPlacement(buildPlacement(toBackendServerId(id), 1, SCOPE, SHARED.slice(0, count)))
  }
  const servers = [createServer('a', 'h1'), createServer('b', 'h1'), createServer('c', 'h2')]
  const view = {
    loading: new Set(),
    stores: [STORE],
    index: { table: { stores: [{ ...STORE, hall: 'h1', cacheTokens: 1, linkMbps: 25_000 }] } },
  } as unknown as FleetView
  const locations = findPrefixLocations({
    view,
    prompt: {
      model: 'm',
      parts: [...SHARED, { id: 'own', tokens: 100 }],
      promptTokens: 5_100,
      maxTokens: 10,
    },
    engine: { slots: 4, cacheTokens: 1, tokenBytes: 18_432, linkMbps: 550_000, models: ['m'] },
    servers,
    isOpen: (id) => !backingOff.includes(id),
    formatScope: () => SCOPE,
    serverStats: createServerStats(timers),
    prefixCache: memory,
    longPromptEngines: undefined,
  })
  return { places: locations, reader: servers[0] }
}

const STORE_ID = formatStoreId(STORE.address, STORE.epoch, 1)

describe('the source to fetch shared prompt parts from', () => {
  it('is the one with the most cached tokens', () => {
    const { places, reader } = buildLocations({ b: 1, c: 2 })
    expect(places.findFetchPlan(1, reader, 0)).to.include({ address: 'c:1', foundTokens: 5_000 })
  })

  it('is the nearest of those with as many cached tokens, and an engine rather than a store', () => {
    const { places, reader } = buildLocations({ b: 2, c: 2, [STORE_ID]: 2 })
    expect(places.findFetchPlan(1, reader, 0)?.address).to.equal('b:1')
  })

  it('is the store if no engine has them cached, with the transfer time of its link', () => {
    const { places, reader } = buildLocations({ [STORE_ID]: 2 })
    const plan = places.findFetchPlan(1, reader, 0)
    expect(plan?.address).to.equal('s:1')
    // 5,000 tokens of 18,432 bytes over 25 Gbit/s take 29.5 ms.
    expect(plan?.fetchMs).to.be.within(29.5, 35)
  })

  it('is also named for an engine that should have everything, at no cost', () => {
    const { places, reader } = buildLocations({ b: 2 })
    const plan = places.findFetchPlan(1, reader, 5_000)
    expect(plan).to.include({ address: 'b:1', foundTokens: 5_000, fetchMs: 0 })
  })

  it('may be an engine that was only sent them, so that they are not prefilled twice', () => {
    const { places, reader } = buildLocations({}, { b: 2 })
    expect(places.findFetchPlan(1, reader, 0)).to.include({ address: 'b:1', foundTokens: 5_000 })
  })

  it('counts the tokens cached anywhere, and saves to a store what it lacks', () => {
    const { places } = buildLocations({ b: 1, [STORE_ID]: 1 })
    expect(places.countCachedAnywhere(1)).to.equal(2_000)
    expect(places.findSaveTarget(1)?.address).to.equal('s:1')
    expect(buildLocations({ [STORE_ID]: 2 }).places.findSaveTarget(1)).to.equal(undefined)
  })
})

describe('the preferred engine for parts that are cached nowhere', () => {
  it('is another one while it accepts no requests, and the same again afterwards', () => {
    const home = String(buildLocations({}).places.findPreferredEngine(1))
    const second = buildLocations({}, {}, [home]).places.findPreferredEngine(1)
    expect(second).to.not.equal(home)
    expect(buildLocations({}, {}, [String(second)]).places.findPreferredEngine(1)).to.equal(home)
    expect(buildLocations({}, {}, ['a', 'b', 'c']).places.findPreferredEngine(1)).to.equal(
      undefined,
    )
  })

  it('can still serve fetches while it accepts no requests', () => {
    const { places, reader } = buildLocations({ b: 2 }, {}, ['b'])
    expect(places.findFetchPlan(1, reader, 0)).to.include({ address: 'b:1', foundTokens: 5_000 })
  })
})

describe('the store to which the shared parts of a prompt are saved', () => {
  const SHARED_TOKENS = 3_000
  const PROMPTS = 300

  /** Lists the stores to which a number of prompts are saved. */
  function listSavedTo(stores: readonly ReachableStore[]): (string | undefined)[] {
    const table = {
      stores: STORES.map(({ address }) => ({
        address,
        hall: 'h1',
        cacheTokens: 1,
        linkMbps: 25_000,
      })),
    }
    const view = { loading: new Set(), stores, index: { table } } as unknown as FleetView
    const memory = createPrefixCacheIndex({ findCacheTokens: () => 100_000 })
    return Array.from({ length: PROMPTS }, (_, index) => {
      const parts = [
        { id: `shared-${index}`, tokens: SHARED_TOKENS },
        { id: 'own', tokens: 100 },
      ]
      const places = findPrefixLocations({
        view,
        prompt: { model: 'm', parts, promptTokens: SHARED_TOKENS + 100, maxTokens: 10 },
        engine: undefined,
        servers: [],
        isOpen: () => true,
        formatScope: () => SCOPE,
        serverStats: createServerStats(createManualTimerService()),
        prefixCache: memory,
        longPromptEngines: undefined,
      })
      return places.findSaveTarget(1)?.address
    })
  }

  it('differs by prompt, so that all stores together hold more', () => {
    const savedTo = listSavedTo(STORES)
    for (const { address } of STORES) {
      const count = savedTo.filter((store) => store === address).length
      expect(count).to.be.within(PROMPTS / 5, PROMPTS / 2)
    }
  })

  it('changes only for the prompts of a removed store', () => {
    const before = listSavedTo(STORES)
    const after = listSavedTo(STORES.slice(0, 2))
    for (const [index, store] of before.entries()) {
      if (store !== 's:3') expect(after[index]).to.equal(store)
      else expect(after[index]).to.be.oneOf(['s:1', 's:2'])
    }
  })

  it('does not depend on the order in which a router learns of the stores', () => {
    expect(listSavedTo([...STORES].reverse())).to.deep.equal(listSavedTo(STORES))
  })
})
