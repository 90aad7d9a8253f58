/**
 * Tracks the cache content of engines and KV cache stores, and the epoch of each store that responds. The leader keeps
 * one long poll open to each; the feed reports the content to routers.
 */
import { toSpoolgateError, waitFor, type Logger, type TimerService } from '@spoolgate/core'
import {
  filter,
  firstValueFrom,
  merge,
  mergeMap,
  race,
  Subject,
  Subscription,
  type Observable,
} from 'rxjs'
import { setMaxListeners } from 'node:events'
import type { RaftMember } from '../raft/types.js'
import type { ControlStateMachine } from '../state/controlMachine.js'
import type { Placement, ReachableStore } from './feed.js'
import type { DecodedTable } from './decodedTable.js'
import {
  createCacheDirectory,
  type CacheLocation,
  type CacheEntry,
  type CacheDirectory,
} from './cacheDirectory.js'

/** Client of the cache API of engines and stores; each deployment supplies its own implementation. */
export interface CacheClient {
  /**
   * Long-polls an engine or store for changes after sequence number `after`.
   * @throws ConnectionError or SpoolgateError if there is no readable response.
   */
  waitForChanges(address: string, after: number, signal: AbortSignal): Promise<CacheEvents>
  /**
   * Fetches the full cache content; this blocks other work of the engine or store.
   * @throws ConnectionError or SpoolgateError if there is no readable response.
   */
  fetchSnapshot(address: string, signal: AbortSignal): Promise<CacheSnapshot>
}

/** Full cache content of an engine or store. */
export interface CacheSnapshot {
  /** Changes with each restart. */
  readonly epoch: number
  /** Sequence number from which to wait for later changes. */
  readonly next: number
  readonly parts: readonly CacheEntry[]
}

/** Cache changes of an engine or store. */
export interface CacheEvents {
  /** Changes with each restart. */
  readonly epoch: number
  /** Sequence number from which the next call waits for changes. */
  readonly next: number
  /** Whether changes before these were lost. */
  readonly hasGap: boolean
  readonly changes: readonly CacheEntry[]
}

/** Options of {@link createCacheWatch}. */
export interface CacheWatchOptions {
  readonly member: RaftMember
  readonly machine: ControlStateMachine
  readonly client: CacheClient
  readonly table: Pick<DecodedTable, 'current' | 'isKnownGroup'>
  readonly timers: TimerService
  readonly logger: Logger
  /** Called with the cache changes to report to routers. */
  readonly onCacheChanges: (placements: readonly Placement[]) => void
}

/** See {@link createCacheWatch}. */
export interface CacheWatch {
  /** Stores that answered the last call. */
  listReachableStores(): readonly ReachableStore[]
  /** Known cache content. */
  readonly directory: Pick<CacheDirectory, 'readPage'>
  /** Waits until every engine and store has answered once, at most {@link FIRST_ANSWERS_TIMEOUT_MS}. */
  waitForFirstAnswers(): Promise<void>
  /** Emits when the epoch of a store changes. */
  readonly changes: Observable<void>
  close(): Promise<void>
}

/** Period of refreshing the set of watched engines and stores, in ms. */
const REFRESH_PERIOD_MS = 300
/** Pause between two calls to one cache, in ms; it determines how stale the routers' cache state is. */
const PAUSE_MS = 100
/** Added to the pause per watched cache, in ms, so that the leader makes at most 60 calls per second. */
const PAUSE_PER_CACHE_MS = 16
/**
 * Maximum wait for the first answers of all caches, in ms; a running engine answers within 15 ms. Routers that start
 * after a total outage need the cache content to choose servers: without it, nine tenths of all prompt tokens were
 * prefilled again in the following seconds.
 */
const FIRST_ANSWERS_TIMEOUT_MS = 100
/** Pause after a failed call, in ms. */
const RETRY_PAUSE_MS = 300
/**
 * Maximum concurrent snapshot requests. 23 snapshots kept a new leader with half of a third of a core busy for 0.31 s,
 * during which it sent no heartbeats. Extrapolated, 16 take 0.08 s with half of 0.86 of a core.
 */
const MAX_CONCURRENT_SNAPSHOTS = 16
/** Maximum number of engines that the leader watches; with more, their events would exceed its CPU share. */
const MAX_ENGINES = 48

/** Position up to which the events of a cache are applied. */
interface Position {
  readonly epoch: number
  readonly after: number
}

/** A watched cache: a store across its restarts, or one incarnation of an engine. */
interface WatchedCache {
  readonly key: string
  readonly address: string
  /** Incarnation of an engine; undefined for a store. */
  readonly engine: string | undefined
}

/** Creates the watch and starts it. */
export function createCacheWatch(options: CacheWatchOptions): CacheWatch {
  const { member, machine, client, timers, logger } = options
  const stopping = new AbortController()
  // Each watched cache adds a listener; Node warns about more than ten by default.
  setMaxListeners(0, stopping.signal)
  const changes = new Subject<void>()
  const storeEpochs = new Map<string, number>()
  const watched = new Map<string, WatchedCache>()
  /** Keys of caches that have answered or whose first answer timed out; nothing waits for them. */
  const settled = new Set<string>()
  const settledChanges = new Subject<void>()
  const directory = createCacheDirectory()
  const settleTimers = new Subscription()
  const snapshotQueue = new Subject<() => Promise<void>>()
  snapshotQueue.pipe(mergeMap((task) => task(), MAX_CONCURRENT_SNAPSHOTS)).subscribe()

  const listStores = (): WatchedCache[] =>
    (options.table.current()?.stores ?? []).map(({ address }) => ({
      key: address,
      address,
      engine: undefined,
    }))
  const listEngines = (): WatchedCache[] => {
    const engines: WatchedCache[] = []
    for (const { id, address, weights } of machine.servers.list()) {
      if (weights.length === 0) continue
      // Ends early, because this runs for each change of the fleet.
      if (engines.length >= MAX_ENGINES) return []
      engines.push({ key: id, address, engine: id })
    }
    return engines
  }
  const listCaches = () =>
    member.status().role === 'leader' ? [...listStores(), ...listEngines()] : []

  const recordStoreEpoch = (address: string, epoch: number | undefined) => {
    const before = storeEpochs.get(address)
    if (before === epoch) return
    if (before !== undefined) directory.forget({ kind: 'store', address, epoch: before })
    if (epoch === undefined) storeEpochs.delete(address)
    else storeEpochs.set(address, epoch)
    logger.info('store.life', { address, epoch, before })
    changes.next()
  }
  const toCacheLocation = ({ address, engine }: WatchedCache, epoch: number): CacheLocation =>
    engine === undefined
      ? { kind: 'store', address, epoch }
      : { kind: 'engine', id: engine, address }
  const applyEvents = (cache: WatchedCache, events: CacheEvents) => {
    if (cache.engine === undefined) recordStoreEpoch(cache.address, events.epoch)
    const at = toCacheLocation(cache, events.epoch)
    options.onCacheChanges(directory.apply(at, events.changes))
  }
  /**
   * Replaces the content of a cache with a snapshot. A new leader starts with it: replaying the thousands of events
   * since the start of an engine took the leader longer than its first replies may be delayed.
   */
  const applySnapshot = async (cache: WatchedCache, reason: string): Promise<Position> => {
    const { epoch, next, parts } = await fetchInTurn(cache)
    if (cache.engine === undefined) recordStoreEpoch(cache.address, epoch)
    logger.info('cache.listed', { place: cache.key, parts: parts.length, reason })
    options.onCacheChanges(directory.replace(toCacheLocation(cache, epoch), parts))
    return { epoch, after: next }
  }
  const fetchInTurn = ({ address }: WatchedCache) =>
    new Promise<CacheSnapshot>((resolve, reject) => {
      snapshotQueue.next(() => client.fetchSnapshot(address, stopping.signal).then(resolve, reject))
    })
  const followEvents = async (cache: WatchedCache, { epoch, after }: Position) => {
    const events = await client.waitForChanges(cache.address, after, stopping.signal)
    if (!isWatching(cache)) return { epoch, after }
    // Sequence numbers restart with each epoch.
    if (events.epoch !== epoch) return { epoch: events.epoch, after: 0 }
    if (events.hasGap) return applySnapshot(cache, 'events lost')
    applyEvents(cache, events)
    return { epoch, after: events.next }
  }
  const recordUnreachable = (cache: WatchedCache, cause: unknown) => {
    const { key, address, engine } = cache
    const isKnown = engine === undefined ? storeEpochs.has(address) : true
    const reason = toSpoolgateError(cause).message
    if (isKnown) logger.warn('cache.lost', { place: key, reason })
    if (engine === undefined) recordStoreEpoch(address, undefined)
  }
  const settleCache = ({ key }: WatchedCache) => {
    if (settled.has(key)) return
    settled.add(key)
    settledChanges.next()
  }
  const isEachSettled = () => [...watched.keys()].every((key) => settled.has(key))
  const isWatching = ({ key }: WatchedCache) => !stopping.signal.aborted && watched.has(key)
  const watchCache = async (cache: WatchedCache) => {
    let position: Position | undefined
    while (isWatching(cache)) {
      try {
        position = position
          ? await followEvents(cache, position)
          : await applySnapshot(cache, 'first contact')
        settleCache(cache)
        await waitFor(timers, PAUSE_MS + watched.size * PAUSE_PER_CACHE_MS, stopping.signal)
      } catch (cause) {
        if (!isWatching(cache)) break
        recordUnreachable(cache, cause)
        settleCache(cache)
        await waitFor(timers, RETRY_PAUSE_MS, stopping.signal)
      }
    }
    if (cache.engine === undefined) recordStoreEpoch(cache.address, undefined)
    else directory.forget({ kind: 'engine', id: cache.engine, address: cache.address })
  }
  const refreshWatches = () => {
    const caches = new Map(listCaches().map((cache) => [cache.key, cache]))
    for (const key of watched.keys()) {
      if (caches.has(key)) continue
      watched.delete(key)
      settled.delete(key)
    }
    for (const [key, cache] of caches) {
      if (watched.has(key)) continue
      watched.set(key, cache)
      settleTimers.add(timers.after(FIRST_ANSWERS_TIMEOUT_MS).subscribe(() => settleCache(cache)))
      void watchCache(cache)
    }
  }
  const run = async () => {
    while (!stopping.signal.aborted) {
      refreshWatches()
      await waitFor(timers, REFRESH_PERIOD_MS, stopping.signal)
    }
  }
  const running = run()
  // A new leader learns the engines by applying its log; the next periodic refresh would be too late.
  const refreshes = merge(member.elected, machine.fleetChanges).subscribe(refreshWatches)
  return {
    listReachableStores: () => [...storeEpochs].map(([address, epoch]) => ({ address, epoch })),
    directory,
    waitForFirstAnswers: async () => {
      if (isEachSettled()) return
      // Engines may register all the time, and none of them may delay what else a reply contains.
      const isOver = race(
        settledChanges.pipe(filter(isEachSettled)),
        timers.after(FIRST_ANSWERS_TIMEOUT_MS),
      )
      await firstValueFrom(isOver, { defaultValue: undefined })
    },
    changes,
    close: async () => {
      stopping.abort()
      refreshes.unsubscribe()
      settleTimers.unsubscribe()
      settledChanges.complete()
      snapshotQueue.complete()
      await running
    },
  }
}
