/**
 * Where the shared parts of a prompt are: at engines and stores that are known to keep them, or else
 * at the engine where every router sends them first, which all compute alike without communication.
 */
import type { FleetView, RegisteredServer, StoreLife } from '@spoolgate/control'
import { toBackendServerId, type BackendServerId } from '@spoolgate/core'
import { formatStoreId, hashText, type EngineFacts } from '@spoolgate/routing'
import type { PromptInfo, PromptPart } from './protocols.js'
import { CACHE_BLOCK_TOKENS, type PrefixCacheIndex } from './prefixCacheIndex.js'
import type { ServerStats } from './serverStats.js'
import { LONG_PROMPT_TOKENS } from './enginePartition.js'

/** An engine or store that keeps shared parts of a prompt. */
interface PrefixSource {
  readonly id: BackendServerId
  readonly address: string
  readonly hall: string
  readonly version: number
  /**
   * Leading tokens that can be fetched from it, those included that it was only sent: an engine that
   * fetches asks once it begins with the prompt, and by then they are mostly read.
   */
  readonly matchedTokens: number
  readonly linkMbps: number
}

/** Where an engine should fetch shared parts from. */
export interface FetchPlan {
  readonly address: string
  /** Leading tokens that the engine then has without reading them. */
  readonly foundTokens: number
  /** Time that fetching takes, in ms; waits for other fetches are not known. */
  readonly fetchMs: number
}

/** What is known of the whereabouts of a prompt's shared parts. */
export interface PrefixLocations {
  /** Engines that should take long prompts; undefined where the group is not divided. */
  readonly longPromptEngines: ReadonlySet<BackendServerId> | undefined
  /** Engine that should read what nobody is known to hold, by weights version. */
  findPreferredEngine(version: number): BackendServerId | undefined
  /** Store that should get the shared parts for a version; undefined where it has them, or is down. */
  findSaveTarget(version: number): StoreTarget | undefined
  /** Most leading tokens that any engine or store is known to keep for a version. */
  countCachedAnywhere(version: number): number
  /**
   * Where an engine that has `matchedTokens` should fetch from. Where it seems to have everything,
   * that is a place to turn to if it has lost some in the meantime.
   */
  findFetchPlan(
    version: number,
    reader: RegisteredServer,
    matchedTokens: number,
  ): FetchPlan | undefined
}

/** Input of {@link findPrefixLocations}. */
export interface PrefixLocationsInput {
  readonly view: FleetView
  readonly prompt: PromptInfo
  readonly engine: EngineFacts | undefined
  /** Engines of the group that answer. */
  readonly servers: readonly RegisteredServer[]
  /** Whether an engine takes requests; one that does not may still be fetched from. */
  readonly isOpen: (id: BackendServerId) => boolean
  readonly formatScope: (version: number) => string
  readonly serverStats: ServerStats
  readonly prefixCache: PrefixCacheIndex
  /** Engines that should take long prompts; undefined where the group is not divided. */
  readonly longPromptEngines: ReadonlySet<BackendServerId> | undefined
}

/** Counts the tokens of all parts but the last, which belongs to the request alone. */
export function countSharedTokens(prompt: PromptInfo): number {
  return prompt.parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0)
}

/** A store as the memory of parts knows it: one life, one weights version. */
export interface StoreTarget {
  readonly id: BackendServerId
  readonly address: string
}

/** Shared parts of fewer tokens are read again sooner than a store is asked. */
const MIN_STORED_TOKENS = 1_000
/** Time of a fetch beside the bytes, in ms. */
const FETCH_LATENCY_MS = 3
/** How much longer a fetch from another data hall takes. */
const OTHER_HALL_FACTOR = 2
const BITS_PER_BYTE = 8
/** Bits that a link of 1 Mbit/s carries in a ms. */
const BITS_PER_MS = 1_000

interface Engine {
  readonly server: RegisteredServer
  readonly version: number
}

/** Finds the weights version that a server has for a model, as its registration or answers say. */
export function findVersion(
  server: RegisteredServer,
  model: string,
  board: ServerStats,
): number | undefined {
  const registered = server.weights.find((held) => held.model === model)?.version
  return registered === undefined ? undefined : Math.max(registered, board.findVersion(server.id))
}

/** Finds the place that comes first for a key; the loss of one moves only its own keys. */
function findByRendezvousHash<Place>(
  key: string,
  places: readonly Place[],
  findName: (place: Place) => string,
): Place | undefined {
  const seed = hashText(key)
  let best: Place | undefined
  let bestScore = -1
  for (const place of places) {
    const score = hashText(findName(place), seed)
    if (score > bestScore) [best, bestScore] = [place, score]
  }
  return best
}

/**
 * Finds the store for the shared prefixes of a prompt. Where there are several, each takes its share of all
 * prompts, so that together they hold more.
 */
function chooseStore(
  stores: readonly StoreLife[],
  shared: readonly PromptPart[],
): StoreLife | undefined {
  return findByRendezvousHash(formatKey(shared), stores, ({ address }) => address)
}

function formatKey(parts: readonly PromptPart[]): string {
  return parts.map(({ id }) => id).join('/')
}

/** Estimates how long moving tokens between two places takes, in ms. */
function estimateFetchMs(
  tokens: number,
  source: PrefixSource,
  reader: RegisteredServer,
  engine: EngineFacts | undefined,
): number {
  if (!engine || tokens <= 0) return 0
  const linkMbps = Math.min(engine.linkMbps, source.linkMbps)
  if (!(linkMbps > 0)) return FETCH_LATENCY_MS
  const moveMs = (tokens * engine.tokenBytes * BITS_PER_BYTE) / (linkMbps * BITS_PER_MS)
  return FETCH_LATENCY_MS + moveMs * (source.hall === reader.hall ? 1 : OTHER_HALL_FACTOR)
}

/** Works a value out once for each weights version: it is asked for at every engine of a choice. */
function createVersionLookup<T>(find: (version: number) => T): (version: number) => T {
  const known = new Map<number, { readonly value: T }>()
  return (version) => {
    const found = known.get(version) ?? { value: find(version) }
    known.set(version, found)
    return found.value
  }
}

/** Finds where the shared parts of a prompt are. */
export function findPrefixLocations(input: PrefixLocationsInput): PrefixLocations {
  const {
    view,
    prompt,
    serverStats: board,
    prefixCache: memory,
    formatScope,
    longPromptEngines: forLong,
    engine,
  } = input
  const shared = prompt.parts.slice(0, -1)
  const sharedTokens = countSharedTokens(prompt)
  const engines = input.servers
    .filter(({ id }) => !view.loading.has(id))
    .flatMap((server): Engine[] => {
      const version = findVersion(server, prompt.model, board)
      return version === undefined ? [] : [{ server, version }]
    })
  const holders = engines
    .map(({ server, version }): PrefixSource => {
      const { id, address, hall } = server
      const matchedTokens = memory.countCachedTokens(id, version, formatScope(version), shared)
      return { id, address, hall, version, matchedTokens, linkMbps: engine?.linkMbps ?? 0 }
    })
    .filter(({ matchedTokens }) => matchedTokens > 0)

  const isLong = prompt.promptTokens >= LONG_PROMPT_TOKENS
  const isOnSide = ({ server }: Engine) => !forLong || forLong.has(server.id) === isLong
  const isHomeOpen = (engine: Engine) => isOnSide(engine) && input.isOpen(engine.server.id)
  const countHeld = (version: number) =>
    Math.max(0, ...holders.filter((held) => held.version === version).map((h) => h.matchedTokens))
  /** Home of the first level that nobody of a version is known to hold. */
  const findHomeEngine = createVersionLookup((version) => {
    const best = countHeld(version)
    let tokens = 0
    const levels = shared.findIndex((part) => (tokens += part.tokens) > best)
    const depth = levels === -1 ? shared.length : levels + 1
    return findByRendezvousHash(
      formatKey(shared.slice(0, depth)),
      engines.filter((other) => other.version === version && isHomeOpen(other)),
      ({ server }) => server.id,
    )
  })
  const isStored = sharedTokens >= MIN_STORED_TOKENS
  const life = isStored ? chooseStore(view.stores, shared) : undefined
  const store = life && view.index.table.stores.find(({ address }) => address === life.address)
  const findStoreSource = createVersionLookup((version): PrefixSource | undefined => {
    if (!life || !store) return undefined
    const id = toBackendServerId(formatStoreId(life.address, life.epoch, version))
    const matchedTokens = memory.countCachedTokens(id, version, formatScope(version), shared)
    const { address, hall, linkMbps } = store
    return { id, address, hall, version, matchedTokens, linkMbps }
  })
  const listSources = (version: number, reader: BackendServerId | undefined): PrefixSource[] => {
    const others = holders.filter((held) => held.version === version && held.id !== reader)
    const stored = findStoreSource(version)
    return stored && stored.matchedTokens > 0 ? [...others, stored] : others
  }
  /** Of the places that keep the most, the one that is fetched from soonest. */
  const findBestSource = (version: number, reader: RegisteredServer, matchedTokens: number) => {
    const sources = listSources(version, reader.id)
    const most = Math.max(0, ...sources.map((source) => source.matchedTokens))
    const plans = sources
      .filter((source) => source.matchedTokens > most - CACHE_BLOCK_TOKENS)
      .map((source): FetchPlan => {
        const foundTokens = Math.max(source.matchedTokens, matchedTokens)
        const fetchMs = estimateFetchMs(foundTokens - matchedTokens, source, reader, engine)
        return { address: source.address, foundTokens, fetchMs }
      })
    return plans.sort((a, b) => a.fetchMs - b.fetchMs).at(0)
  }
  return {
    longPromptEngines: forLong,
    findSaveTarget: (version) => {
      const stored = findStoreSource(version)
      if (!stored) return undefined
      return stored.matchedTokens + CACHE_BLOCK_TOKENS * shared.length < sharedTokens
        ? stored
        : undefined
    },
    findPreferredEngine: (version) =>
      shared.length === 0 ? undefined : findHomeEngine(version)?.server.id,
    countCachedAnywhere: createVersionLookup((version) =>
      Math.max(0, ...listSources(version, undefined).map((source) => source.matchedTokens)),
    ),
    findFetchPlan: (version, reader, matchedTokens) => {
      if (shared.length === 0) return undefined
      const best = findBestSource(version, reader, matchedTokens)
      if (best || matchedTokens > 0) return best
      const home = findHomeEngine(version)
      if (!home || home.server.id === reader.id) return undefined
      return { address: home.server.address, foundTokens: 0, fetchMs: FETCH_LATENCY_MS }
    },
  }
}
