/**
 * Locates the cached shared parts of a prompt: at engines and stores that are known to have them, or else at a
 * preferred engine, which all routers compute alike by rendezvous hashing, without communication.
 */
import type { FleetView, RegisteredServer, ReachableStore } from '@spoolgate/control'
import { toBackendServerId, type BackendServerId } from '@spoolgate/core'
import { formatStoreId, hashText, type EngineCapacity } from '@spoolgate/routing'
import type { PromptInfo, PromptPart } from './protocols.js'
import { CACHE_BLOCK_TOKENS, type PrefixCacheIndex } from './prefixCacheIndex.js'
import type { ServerStats } from './serverStats.js'
import { LONG_PROMPT_TOKENS } from './enginePartition.js'

/** An engine or store that has shared parts of a prompt cached. */
interface PrefixSource {
  readonly id: BackendServerId
  readonly address: string
  readonly hall: string
  readonly version: number
  /**
   * Leading tokens that can be fetched from it, including those that it was only sent: an engine fetches when it
   * starts on the prompt, and by then they have mostly been prefilled.
   */
  readonly matchedTokens: number
  readonly linkMbps: number
}

/** The source from which an engine should fetch shared parts. */
export interface FetchPlan {
  readonly address: string
  /** Leading tokens that the engine then has without prefilling them. */
  readonly foundTokens: number
  /** Estimated transfer time, in ms; queueing behind other fetches is not known. */
  readonly fetchMs: number
}

/** Known locations of the shared parts of a prompt. */
export interface PrefixLocations {
  /** Engines that should take long prompts; undefined if the group is not partitioned. */
  readonly longPromptEngines: ReadonlySet<BackendServerId> | undefined
  /** Engine that should prefill parts not known to be cached anywhere, by weights version. */
  findPreferredEngine(version: number): BackendServerId | undefined
  /** Store to which the shared parts for a version should be saved; undefined if none is used or it has them. */
  findSaveTarget(version: number): StoreTarget | undefined
  /** Largest number of leading tokens that any engine or store is known to have cached for a version. */
  countCachedAnywhere(version: number): number
  /**
   * Source from which an engine with `matchedTokens` cached should fetch. One is returned even for an engine that seems
   * to have everything, in case it has evicted some in the meantime.
   */
  findFetchPlan(
    version: number,
    fetcher: RegisteredServer,
    matchedTokens: number,
  ): FetchPlan | undefined
}

/** Input of {@link findPrefixLocations}. */
export interface PrefixLocationsInput {
  readonly view: FleetView
  readonly prompt: PromptInfo
  readonly engine: EngineCapacity | undefined
  /** Reachable engines of the group. */
  readonly servers: readonly RegisteredServer[]
  /** Whether an engine accepts requests; one that does not can still serve fetches. */
  readonly isOpen: (id: BackendServerId) => boolean
  readonly formatScope: (version: number) => string
  readonly serverStats: ServerStats
  readonly prefixCache: PrefixCacheIndex
  /** Engines that should take long prompts; undefined if the group is not partitioned. */
  readonly longPromptEngines: ReadonlySet<BackendServerId> | undefined
  /** Finds the relative capacity of an engine; undefined if all count the same. */
  readonly findCapacity?: (id: BackendServerId) => number
}

/** Counts the tokens of all parts but the last, which is specific to the request. */
export function countSharedTokens(prompt: PromptInfo): number {
  return prompt.parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0)
}

/** A store as the prefix cache index identifies it: by its epoch and the weights version. */
export interface StoreTarget {
  readonly id: BackendServerId
  readonly address: string
}

/** Minimum number of shared tokens for which a store is used; fewer are prefilled faster than fetched. */
const MIN_STORED_TOKENS = 1_000
/** Fixed latency of a fetch, in ms. */
const FETCH_LATENCY_MS = 3
/** Factor by which transfers from another data hall take longer. */
const OTHER_HALL_FACTOR = 2
const BITS_PER_BYTE = 8
/** Bits that a link of 1 Mbit/s carries in a ms. */
const BITS_PER_MS = 1_000

/** Number of hash values, and the offset that keeps a hash within (0, 1) as a fraction of it. */
const HASH_RANGE = 2 ** 32
const HASH_OFFSET = 0.5

interface Engine {
  readonly server: RegisteredServer
  readonly version: number
}

/** Finds the weights version that a server has for a model, from its registration and its responses. */
export function findVersion(
  server: RegisteredServer,
  model: string,
  serverStats: ServerStats,
): number | undefined {
  const registered = server.weights.find((weights) => weights.model === model)?.version
  return registered === undefined
    ? undefined
    : Math.max(registered, serverStats.findVersion(server.id, model))
}

/** Finds the location for a key by rendezvous hashing: removing a location moves only its own keys. */
function findByRendezvousHash<Location>(
  key: string,
  locations: readonly Location[],
  formatName: (location: Location) => string,
): Location | undefined {
  const seed = hashText(key)
  let best: Location | undefined
  let bestScore = -1
  for (const location of locations) {
    const score = hashText(formatName(location), seed)
    if (score > bestScore) [best, bestScore] = [location, score]
  }
  return best
}

/**
 * Finds the location for a key by weighted rendezvous hashing: each location gets keys in proportion to its weight, and
 * a changed weight moves only keys from or to its own location. With equal weights the choice is the unweighted one.
 */
function findByWeightedHash<Location>(
  key: string,
  locations: readonly Location[],
  formatName: (location: Location) => string,
  findWeight: (location: Location) => number,
): Location | undefined {
  const seed = hashText(key)
  let best: Location | undefined
  let bestScore = -1
  for (const location of locations) {
    const fraction = (hashText(formatName(location), seed) + HASH_OFFSET) / HASH_RANGE
    const score = findWeight(location) / -Math.log(fraction)
    if (score > bestScore) [best, bestScore] = [location, score]
  }
  return best
}

/**
 * Finds the store for the shared parts of a prompt. Prompts are distributed over all stores, so that together they
 * hold more.
 */
function chooseStore(
  stores: readonly ReachableStore[],
  shared: readonly PromptPart[],
): ReachableStore | undefined {
  return findByRendezvousHash(formatKey(shared), stores, ({ address }) => address)
}

function formatKey(parts: readonly PromptPart[]): string {
  return parts.map(({ id }) => id).join('/')
}

/** Estimates the time to transfer cached tokens from a source to an engine, in ms. */
function estimateFetchMs(
  tokens: number,
  source: PrefixSource,
  fetcher: RegisteredServer,
  engine: EngineCapacity | undefined,
): number {
  if (!engine || tokens <= 0) return 0
  const linkMbps = Math.min(engine.linkMbps, source.linkMbps)
  if (!(linkMbps > 0)) return FETCH_LATENCY_MS
  const transferMs = (tokens * engine.tokenBytes * BITS_PER_BYTE) / (linkMbps * BITS_PER_MS)
  return FETCH_LATENCY_MS + transferMs * (source.hall === fetcher.hall ? 1 : OTHER_HALL_FACTOR)
}

/** Memoizes a value by weights version, since it is looked up for every engine that is ranked. */
function createVersionLookup<T>(find: (version: number) => T): (version: number) => T {
  const cache = new Map<number, { readonly value: T }>()
  return (version) => {
    const entry = cache.get(version) ?? { value: find(version) }
    cache.set(version, entry)
    return entry.value
  }
}

/** Locates the shared parts of a prompt. */
export function findPrefixLocations(input: PrefixLocationsInput): PrefixLocations {
  const {
    view,
    prompt,
    serverStats,
    prefixCache,
    formatScope,
    longPromptEngines,
    engine,
    findCapacity,
  } = input
  const shared = prompt.parts.slice(0, -1)
  const sharedTokens = countSharedTokens(prompt)
  const engines = input.servers
    .filter(({ id }) => !view.loading.has(id))
    .flatMap((server): Engine[] => {
      const version = findVersion(server, prompt.model, serverStats)
      return version === undefined ? [] : [{ server, version }]
    })
  const holders = engines
    .map(({ server, version }): PrefixSource => {
      const { id, address, hall } = server
      const matchedTokens = prefixCache.countCachedTokens(id, version, formatScope(version), shared)
      return { id, address, hall, version, matchedTokens, linkMbps: engine?.linkMbps ?? 0 }
    })
    .filter(({ matchedTokens }) => matchedTokens > 0)

  const isLong = prompt.promptTokens >= LONG_PROMPT_TOKENS
  const isInPartition = ({ server }: Engine) =>
    !longPromptEngines || longPromptEngines.has(server.id) === isLong
  const mayBePreferred = (engine: Engine) => isInPartition(engine) && input.isOpen(engine.server.id)
  const countMostCached = (version: number) =>
    Math.max(
      0,
      ...holders
        .filter((holder) => holder.version === version)
        .map((holder) => holder.matchedTokens),
    )
  /**
   * Finds the preferred engine for the shared parts up to and including the first that no engine with the version is
   * known to have cached.
   */
  const findPreferred = createVersionLookup((version) => {
    const best = countMostCached(version)
    let tokens = 0
    const firstUncached = shared.findIndex((part) => (tokens += part.tokens) > best)
    const depth = firstUncached === -1 ? shared.length : firstUncached + 1
    const key = formatKey(shared.slice(0, depth))
    const eligible = engines.filter((other) => other.version === version && mayBePreferred(other))
    const formatName = ({ server }: Engine) => server.id
    if (!findCapacity) return findByRendezvousHash(key, eligible, formatName)
    return findByWeightedHash(key, eligible, formatName, ({ server }) => findCapacity(server.id))
  })
  const isWorthStoring = sharedTokens >= MIN_STORED_TOKENS
  const reachableStore = isWorthStoring ? chooseStore(view.stores, shared) : undefined
  const store =
    reachableStore &&
    view.index.table.stores.find(({ address }) => address === reachableStore.address)
  const findStoreSource = createVersionLookup((version): PrefixSource | undefined => {
    if (!reachableStore || !store) return undefined
    const id = toBackendServerId(
      formatStoreId(reachableStore.address, reachableStore.epoch, version),
    )
    const matchedTokens = prefixCache.countCachedTokens(id, version, formatScope(version), shared)
    const { address, hall, linkMbps } = store
    return { id, address, hall, version, matchedTokens, linkMbps }
  })
  const listSources = (version: number, fetcher: BackendServerId | undefined): PrefixSource[] => {
    const engineSources = holders.filter(
      (holder) => holder.version === version && holder.id !== fetcher,
    )
    const storeSource = findStoreSource(version)
    return storeSource && storeSource.matchedTokens > 0
      ? [...engineSources, storeSource]
      : engineSources
  }
  /** Of the sources with the most cached tokens, finds the one with the shortest transfer time. */
  const findBestSource = (version: number, fetcher: RegisteredServer, matchedTokens: number) => {
    const sources = listSources(version, fetcher.id)
    const mostMatched = Math.max(0, ...sources.map((source) => source.matchedTokens))
    const plans = sources
      .filter((source) => source.matchedTokens > mostMatched - CACHE_BLOCK_TOKENS)
      .map((source): FetchPlan => {
        const foundTokens = Math.max(source.matchedTokens, matchedTokens)
        const fetchMs = estimateFetchMs(foundTokens - matchedTokens, source, fetcher, engine)
        return { address: source.address, foundTokens, fetchMs }
      })
    return plans.sort((a, b) => a.fetchMs - b.fetchMs).at(0)
  }
  return {
    longPromptEngines,
    findSaveTarget: (version) => {
      const storeSource = findStoreSource(version)
      if (!storeSource) return undefined
      return storeSource.matchedTokens + CACHE_BLOCK_TOKENS * shared.length < sharedTokens
        ? storeSource
        : undefined
    },
    findPreferredEngine: (version) =>
      shared.length === 0 ? undefined : findPreferred(version)?.server.id,
    countCachedAnywhere: createVersionLookup((version) =>
      Math.max(0, ...listSources(version, undefined).map((source) => source.matchedTokens)),
    ),
    findFetchPlan: (version, fetcher, matchedTokens) => {
      if (shared.length === 0) return undefined
      const best = findBestSource(version, fetcher, matchedTokens)
      if (best || matchedTokens > 0) return best
      const preferred = findPreferred(version)
      if (!preferred || preferred.server.id === fetcher.id) return undefined
      return { address: preferred.server.address, foundTokens: 0, fetchMs: FETCH_LATENCY_MS }
    },
  }
}
