import {
  createManualTimerService,
  createQuietLogger,
  toServerName,
  type TimerService,
} from '@spoolgate/core'
import {
  formatCacheScope,
  formatSharedOwner,
  formatStoreId,
  hashPromptPart,
} from '@spoolgate/routing'
import { expect } from 'chai'
import { NEVER, type Observable } from 'rxjs'
import {
  createCacheWatch,
  type CacheClient,
  type CacheSnapshot,
  type CacheEvents,
} from '../registry/cacheWatch.js'
import type { CachedPlacement } from '../registry/feed.js'
import { createCacheDirectory, type CacheEntry } from '../registry/cacheDirectory.js'
import type { RaftMember } from '../raft/types.js'
import { createControlStateMachine, type ControlStateMachine } from '../state/controlMachine.js'
import { buildServerIdentity } from '../state/serverState.js'

const ENGINE = { kind: 'engine', id: 'e1', address: 'a:1' } as const
const STORE = { kind: 'store', address: 's:1', epoch: 7 } as const
const V1 = formatCacheScope(formatSharedOwner(1), 1)
const V2 = formatCacheScope(formatSharedOwner(1), 2)

function createEntry(scope: string, id: string, tokens: number): CacheEntry {
  return { scope, id, tokens }
}

describe('the cache directory', () => {
  it('reports the final token count of each part, and lists the cached parts', () => {
    const directory = createCacheDirectory()
    const reported = directory.apply(ENGINE, [
      createEntry(V1, 'a', 60),
      createEntry(V1, 'b', 30),
      createEntry(V1, 'a', 0),
    ])
    const [a, b] = [hashPromptPart(V1, 'a'), hashPromptPart(V1, 'b')]
    expect(reported).to.deep.equal([['e1', 1, a, 0, b, 30]])
    expect(directory.list()).to.deep.equal([['e1', 1, b, 30]])
  })

  it('drops parts of earlier weights at an engine, and retains them at a store', () => {
    const directory = createCacheDirectory()
    for (const place of [ENGINE, STORE]) {
      directory.apply(place, [createEntry(V1, 'a', 60)])
      directory.apply(place, [createEntry(V2, 'a', 60)])
      directory.apply(place, [createEntry(V1, 'late', 60)])
    }
    const versions = (name: string) =>
      directory.list().flatMap(([place, version]) => (place.startsWith(name) ? [version] : []))
    expect(versions('e1')).to.deep.equal([2])
    expect(versions('store')).to.deep.equal([1, 2])
  })

  it('reports parts that are missing from a full list as evicted', () => {
    const directory = createCacheDirectory()
    directory.apply(STORE, [createEntry(V1, 'a', 60), createEntry(V1, 'b', 30)])
    const reported = directory.replace(STORE, [createEntry(V1, 'b', 30)])
    const name = formatStoreId('s:1', 7, 1)
    expect(reported).to.deep.equal([
      [name, 1, hashPromptPart(V1, 'a'), 0],
      [name, 1, hashPromptPart(V1, 'b'), 30],
    ])
  })

  it('is paginated by location, from the cursor of a router and wrapping around once', () => {
    const directory = createCacheDirectory()
    const ids = ['e1', 'e2', 'e3']
    for (const id of ids) {
      const parts = [createEntry(V1, 'a', 60), createEntry(V1, 'b', 30)]
      directory.apply({ kind: 'engine', id, address: id }, parts)
    }
    const reported: string[][] = []
    let position = { after: 'e1', left: Number.MAX_SAFE_INTEGER }
    while (position.left > 0) {
      const piece = directory.readPage(position, 4)
      reported.push(piece.placements.map(([place]) => place))
      position = piece.cursor
    }
    expect(reported).to.deep.equal([['e2', 'e3'], ['e1']])
    expect(directory.readPage(position, 4).placements).to.deep.equal([])
  })

  it('returns at least one location per page, however many parts it holds', () => {
    const directory = createCacheDirectory()
    directory.apply(ENGINE, [createEntry(V1, 'a', 60), createEntry(V1, 'b', 30)])
    const piece = directory.readPage({ after: '', left: Number.MAX_SAFE_INTEGER }, 1)
    expect(piece.placements).to.have.length(1)
    expect(piece.cursor.left).to.equal(0)
  })

  it('ignores parts with a scope that is not of the fleet', () => {
    const directory = createCacheDirectory()
    expect(directory.apply(ENGINE, [createEntry('forged', 'a', 60)])).to.deep.equal([])
  })
})

describe('the watch of engines and stores', () => {
  const server = {
    ...buildServerIdentity(toServerName('e1'), undefined),
    group: 'g',
    address: 'e:1',
    hall: 'h',
    phase: 'ready' as const,
    slots: 1,
    weights: [{ model: 'm', version: 1 }],
  }

  /** Lets pending promises settle. */
  const settle = async () => {
    for (let turn = 0; turn < 5; turn += 1) await new Promise((resolve) => setImmediate(resolve))
  }

  function createWatch(parts: {
    calls: CacheClient
    machine: ControlStateMachine
    timers: TimerService
    reported: CachedPlacement[]
    elected?: Observable<number>
  }) {
    const { calls, machine, timers, reported, elected = NEVER } = parts
    return createCacheWatch({
      member: { status: () => ({ role: 'leader' }), elected } as unknown as RaftMember,
      machine,
      client: calls,
      table: { current: () => undefined, isKnownGroup: () => true },
      timers,
      logger: createQuietLogger(),
      onCacheChanges: (placements) => reported.push(...placements),
    })
  }

  async function watchEvents(
    news: (call: number, after: number) => CacheEvents,
    list: (call: number) => CacheEntry[],
  ) {
    const timers = createManualTimerService()
    const machine = createControlStateMachine()
    machine.apply({ kind: 'server.observe', server }, 1)
    const reported: CachedPlacement[] = []
    const askedAfter: number[] = []
    let snapshots = 0
    const calls: CacheClient = {
      waitForChanges: async (_address, after) => {
        askedAfter.push(after)
        return news(askedAfter.length, after)
      },
      fetchSnapshot: async () => {
        snapshots += 1
        return { epoch: 1, next: 5, parts: list(snapshots) }
      },
    }
    const watch = createWatch({ calls, machine, timers, reported })
    for (let turn = 0; turn < 4; turn += 1) {
      await settle()
      timers.advance(400)
    }
    await settle()
    void watch.close()
    timers.advance(10_000)
    return { reported, asked: askedAfter, lists: snapshots }
  }

  it('starts with a snapshot, and continues after the last reported change', async () => {
    const { reported, asked, lists } = await watchEvents(
      (call) => ({
        epoch: 1,
        next: call * 10,
        hasGap: false,
        changes: call === 1 ? [createEntry(V1, 'a', 60)] : [],
      }),
      () => [createEntry(V1, 'b', 30)],
    )
    expect(lists).to.equal(1)
    expect(asked.slice(0, 3)).to.deep.equal([5, 10, 20])
    expect(reported).to.deep.equal([
      ['e1', 1, hashPromptPart(V1, 'b'), 30],
      ['e1', 1, hashPromptPart(V1, 'a'), 60],
    ])
  })

  it('fetches the snapshot again after lost events', async () => {
    const { reported, asked } = await watchEvents(
      (call) => ({ epoch: 1, next: 9, hasGap: call === 1, changes: [] }),
      (call) => (call === 1 ? [createEntry(V1, 'a', 60)] : [createEntry(V1, 'b', 30)]),
    )
    expect(asked.slice(0, 2)).to.deep.equal([5, 5])
    expect(reported).to.deep.equal([
      ['e1', 1, hashPromptPart(V1, 'a'), 60],
      ['e1', 1, hashPromptPart(V1, 'a'), 0],
      ['e1', 1, hashPromptPart(V1, 'b'), 30],
    ])
  })

  it('starts at the first change of a new epoch', async () => {
    const { asked } = await watchEvents(
      (call) => ({ epoch: call < 2 ? 1 : 2, next: 50, hasGap: false, changes: [] }),
      () => [],
    )
    expect(asked.slice(0, 4)).to.deep.equal([5, 50, 0, 50])
  })

  /** Watches a number of engines whose snapshots resolve when they are released. */
  function watchEngines(count: number) {
    const timers = createManualTimerService()
    const machine = createControlStateMachine()
    for (let index = 0; index < count; index += 1) {
      const identity = buildServerIdentity(toServerName(`e${index}`), undefined)
      const engine = { ...server, ...identity, address: `e:${index}` }
      machine.apply({ kind: 'server.observe', server: engine }, 1)
    }
    const listed: string[] = []
    const releases: (() => void)[] = []
    const calls: CacheClient = {
      waitForChanges: () => new Promise(() => {}),
      fetchSnapshot: (address) => {
        listed.push(address)
        return new Promise((resolve) => {
          releases.push(() => resolve({ epoch: 1, next: 1, parts: [] }))
        })
      },
    }
    const watch = createWatch({ calls, machine, timers, reported: [] })
    const releaseAll = async () => {
      for (const release of releases.splice(0)) release()
      await settle()
    }
    return { timers, watch, listed, releaseAll }
  }

  it('fetches at most 16 snapshots at a time, and reaches every engine', async () => {
    const { timers, watch, listed, releaseAll } = watchEngines(40)
    await settle()
    expect(listed).to.have.length(16)
    await releaseAll()
    expect(listed).to.have.length(32)
    await releaseAll()
    expect(new Set(listed).size).to.equal(40)
    await releaseAll()
    const closing = watch.close()
    timers.advance(10_000)
    await closing
  })

  describe('at a new leader', () => {
    const answer: CacheSnapshot = { epoch: 1, next: 1, parts: [createEntry(V1, 'a', 9)] }

    /** Watches one engine whose first snapshot resolves when `release` is called. */
    function watchSlowEngine() {
      const timers = createManualTimerService()
      const machine = createControlStateMachine()
      const reported: CachedPlacement[] = []
      let release: (list: CacheSnapshot) => void = () => {}
      const calls: CacheClient = {
        waitForChanges: () => new Promise(() => {}),
        fetchSnapshot: () => new Promise((resolve) => (release = resolve)),
      }
      const watch = createWatch({ calls, machine, timers, reported })
      // A leader learns of the engine only by applying its log.
      machine.apply({ kind: 'server.observe', server }, 1)
      let isReported = false
      void watch.waitForFirstAnswers().then(() => (isReported = true))
      const finish = async () => {
        const closing = watch.close()
        release(answer)
        timers.advance(10_000)
        await settle()
        await closing
      }
      return {
        timers,
        reported,
        /** Registers one engine more, which does not answer either. */
        addEngine: (name: string) => {
          const identity = buildServerIdentity(toServerName(name), undefined)
          const added = { ...server, ...identity, address: `${name}:1` }
          machine.apply({ kind: 'server.observe', server: added }, 2)
        },
        isReported: () => isReported,
        release: () => release(answer),
        finish,
      }
    }

    it('fetches at once, and makes callers wait until all engines have answered', async () => {
      const engine = watchSlowEngine()
      await settle()
      expect(engine.isReported()).to.equal(false)
      engine.release()
      await settle()
      expect(engine.isReported()).to.equal(true)
      expect(engine.reported).to.deep.equal([['e1', 1, hashPromptPart(V1, 'a'), 9]])
      await engine.finish()
    })

    it('waits at most 100 ms for an engine that does not answer', async () => {
      const engine = watchSlowEngine()
      engine.timers.advance(99)
      await settle()
      expect(engine.isReported()).to.equal(false)
      engine.timers.advance(1)
      await settle()
      expect(engine.isReported()).to.equal(true)
      await engine.finish()
    })

    it('does not keep routers waiting while one engine after the other registers', async () => {
      const engine = watchSlowEngine()
      for (const name of ['e2', 'e3']) {
        engine.timers.advance(50)
        engine.addEngine(name)
        await settle()
      }
      expect(engine.isReported()).to.equal(true)
      await engine.finish()
    })
  })
})
