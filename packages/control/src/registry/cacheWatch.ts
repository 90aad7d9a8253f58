/**
 * What engines and stores of KV cache keep, and which stores answer in which life. The leader keeps
 * one waiting call open to each; the feed reports it to routers.
 */
import { toSpoolgateError, waitFor, type Logger, type TimerService } from '@spoolgate/core'
import {
  filter,
  firstValueFrom,
  merge,
  mergeMap,
  Subject,
  Subscription,
  type Observable,
} from 'rxjs'
import { setMaxListeners } from 'node:events'
import type { RaftMember } from '../raft/types.js'
import type { ControlMachine } from '../state/controlMachine.js'
import type { Placement, ReachableStore } from './feed.js'
import type { DecodedTable } from './decodedTable.js'
import {
  createCacheDirectory,
  type CacheLocation,
  type CacheEntry,
  type CacheDirectory,
} from './cacheDirectory.js'

/** Speaks to what keeps KV cache; deployments bring their own way. */
export interface CacheClient {
  /**
   * Waits at an engine or store until something changed there after `after`, or for a while.
   * @throws ConnectionError or SpoolgateError when there is no readable answer.
   */
  waitForChanges(address: string, after: number, signal: AbortSignal): Promise<CacheEvents>
  /**
   * Fetches the whole list; it holds up the work there.
   * @throws ConnectionError or SpoolgateError when there is no readable answer.
   */
  fetchSnapshot(address: string, signal: AbortSignal): Promise<CacheSnapshot>
}

/** What an engine or store keeps. */
export interface CacheSnapshot {
  /** Changes with each restart. */
  readonly epoch: number
  /** Number after which a call waits for changes since. */
  readonly next: number
  readonly parts: readonly CacheEntry[]
}

/** What an engine or store says of its changes. */
export interface CacheEvents {
  /** Changes with each restart. */
  readonly epoch: number
  /** Number after which the next call waits for changes. */
  readonly next: number
  /** Whether changes before these are missing. */
  readonly hasGap: boolean
  readonly changes: readonly CacheEntry[]
}

/** Options of {@link createCacheWatch}. */
export interface CacheWatchOptions {
  readonly member: RaftMember
  readonly machine: ControlMachine
  readonly client: CacheClient
  readonly table: Pick<DecodedTable, 'current' | 'isKnownGroup'>
  readonly timers: TimerService
  readonly logger: Logger
  /** Called with what is to be reported to routers. */
  readonly onCacheChanges: (placements: readonly Placement[]) => void
}

/** The watch; see {@link createCacheWatch}. */
export interface CacheWatch {
  /** Stores that answered last time. */
  listReachableStores(): readonly ReachableStore[]
  /** What is known to be kept. */
  readonly directory: Pick<CacheDirectory, 'readPage'>
  /** Waits until every place has answered once, or for {@link FIRST_ANSWERS_TIMEOUT_MS}. */
  waitForFirstAnswers(): Promise<void>
  /** Emits when the lives of stores changed. */
  readonly changes: Observable<void>
  close(): Promise<void>
}

/** Time between two looks at what there is to watch, in ms. */
const REFRESH_PERIOD_MS = 300
/** Pause between two calls to one place, in ms: what routers know is about this old. */
const PAUSE_MS = 100
/** Added to the pause for each place, in ms, so that the leader makes 60 calls a second at most. */
const PAUSE_PER_CACHE_MS = 16
/**
 * Longest wait for the first answers of all places, in ms; they come within 15 ms of an engine that
 * is alive. Routers that start after a loss of everything choose by what is kept, not by nothing:
 * else they had nine tenths of all prompt tokens read again in the seconds after it.
 */
const FIRST_ANSWERS_TIMEOUT_MS = 100
/** Pause after a place did not answer, in ms. */
const RETRY_PAUSE_MS = 300
/**
 * Whole lists that are asked for at the same time: 23 took a new leader, on half of a third of a core,
 * 0.31 s, in which it sent no heartbeats. By that slope 16 take it 0.08 s on half of 0.86 of a core.
 */
const MAX_CONCURRENT_SNAPSHOTS = 16
/** Engines up to which the leader watches them; beyond, their events would outgrow its part. */
const MAX_ENGINES = 48

/** Up to where the events of a place are known. */
interface Position {
  readonly epoch: number
  readonly after: number
}

/** Identity under which a place is watched: a store whatever its life, an engine's incarnation. */
interface WatchedCache {
  readonly key: string
  readonly address: string
  /** Incarnation of an engine; undefined for a store. */
  readonly engine: string | undefined
}

/** Creates the watch and starts its task. */
export function createCacheWatch(options: CacheWatchOptions): CacheWatch {
  const { member, machine, client: calls, timers, logger } = options
  const stopping = new AbortController()
  // One listener for each place that is watched; Node would write a warning from the eleventh on.
  setMaxListeners(0, stopping.signal)
  const changes = new Subject<void>()
  const storeEpochs = new Map<string, number>()
  const watched = new Map<string, WatchedCache>()
  /** Places that were watched for a while or have answered, so that nobody waits for them. */
  const settled = new Set<string>()
  const settledChanges = new Subject<void>()
  const directory = createCacheDirectory()
  const settleTimers = new Subscription()
  const snapshotQueue = new Subject<() => Promise<void>>()
  snapshotQueue.pipe(mergeMap((list) => list(), MAX_CONCURRENT_SNAPSHOTS)).subscribe()

  const listStores = (): WatchedCache[] =>
    (options.table.current()?.stores ?? []).map(({ address }) => ({
      key: address,
      address,
      engine: undefined,
    }))
  const listEngines = (): WatchedCache[] => {
    const engines = machine.servers.list().filter(({ weights }) => weights.length > 0)
    if (engines.length > MAX_ENGINES) return []
    return engines.map(({ id, address }) => ({ key: id, address, engine: id }))
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
  const applyEvents = (place: WatchedCache, news: CacheEvents) => {
    if (place.engine === undefined) recordStoreEpoch(place.address, news.epoch)
    const at = toCacheLocation(place, news.epoch)
    options.onCacheChanges(directory.apply(at, news.changes))
  }
  /**
   * Takes over the whole list. A new leader begins with it: the events since the start of an engine
   * are thousands, and reading them took the leader longer than its first answers may wait.
   */
  const applySnapshot = async (place: WatchedCache, reason: string): Promise<Position> => {
    const { epoch, next, parts } = await fetchInTurn(place)
    if (place.engine === undefined) recordStoreEpoch(place.address, epoch)
    logger.info('cache.listed', { place: place.key, parts: parts.length, reason })
    options.onCacheChanges(directory.replace(toCacheLocation(place, epoch), parts))
    return { epoch, after: next }
  }
  const fetchInTurn = ({ address }: WatchedCache) =>
    new Promise<CacheSnapshot>((resolve, reject) => {
      snapshotQueue.next(() => calls.fetchSnapshot(address, stopping.signal).then(resolve, reject))
    })
  const followEvents = async (place: WatchedCache, { epoch, after }: Position) => {
    const news = await calls.waitForChanges(place.address, after, stopping.signal)
    if (!isWatching(place)) return { epoch, after }
    // Numbers start anew with each life.
    if (news.epoch !== epoch) return { epoch: news.epoch, after: 0 }
    if (news.hasGap) return applySnapshot(place, 'events lost')
    applyEvents(place, news)
    return { epoch, after: news.next }
  }
  const recordUnreachable = (place: WatchedCache, cause: unknown) => {
    const { key, address, engine } = place
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
  const watchCache = async (place: WatchedCache) => {
    let position: Position | undefined
    while (isWatching(place)) {
      try {
        position = position
          ? await followEvents(place, position)
          : await applySnapshot(place, 'first contact')
        settleCache(place)
        await waitFor(timers, PAUSE_MS + watched.size * PAUSE_PER_CACHE_MS, stopping.signal)
      } catch (cause) {
        if (!isWatching(place)) break
        recordUnreachable(place, cause)
        settleCache(place)
        await waitFor(timers, RETRY_PAUSE_MS, stopping.signal)
      }
    }
    if (place.engine === undefined) recordStoreEpoch(place.address, undefined)
    else directory.forget({ kind: 'engine', id: place.engine, address: place.address })
  }
  const refreshWatches = () => {
    const places = new Map(listCaches().map((place) => [place.key, place]))
    for (const key of watched.keys()) {
      if (places.has(key)) continue
      watched.delete(key)
      settled.delete(key)
    }
    for (const [key, place] of places) {
      if (watched.has(key)) continue
      watched.set(key, place)
      settleTimers.add(timers.after(FIRST_ANSWERS_TIMEOUT_MS).subscribe(() => settleCache(place)))
      void watchCache(place)
    }
  }
  const run = async () => {
    while (!stopping.signal.aborted) {
      refreshWatches()
      await waitFor(timers, REFRESH_PERIOD_MS, stopping.signal)
    }
  }
  const running = run()
  // The log that a new leader applies names the engines; waiting for the next look would be late.
  const refreshes = merge(member.elected, machine.fleetChanges).subscribe(refreshWatches)
  return {
    listReachableStores: () => [...storeEpochs].map(([address, epoch]) => ({ address, epoch })),
    directory,
    waitForFirstAnswers: async () => {
      const isOver = settledChanges.pipe(filter(isEachSettled))
      if (!isEachSettled()) await firstValueFrom(isOver, { defaultValue: undefined })
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
