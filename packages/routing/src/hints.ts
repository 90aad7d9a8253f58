/**
 * Hints about the load and cache of a backend server, which its sidecar sends with every reply, and the router's table
 * of them. Hints only guide routing: the sidecar decides on admission when the call arrives.
 */
import type {
  BackendServerId,
  ConfigVersion,
  Incarnation,
  PrefixHash,
  WeightsVersion,
} from '@spoolgate/core'
import { LRUCache } from 'lru-cache'
import type { PrefixChain } from './prefixChain.js'

/** Hints in every reply of a sidecar. */
export interface ReplyHints {
  readonly server: BackendServerId
  /** Incarnation of the sidecar. */
  readonly incarnation: Incarnation
  /** Incarnation of the backend server; each starts with an empty cache. */
  readonly engineIncarnation: Incarnation
  readonly weightsVersion: WeightsVersion
  readonly configVersion: ConfigVersion
  /** Calls running in the backend server or waiting for it. */
  readonly calls: number
  /** Expected wait before a new call starts, in ms. */
  readonly queueMs: number
  /** Prefill speed of the backend server, in prompt tokens per ms. */
  readonly prefillTokensPerMs: number
  /** Time that unused blocks stay in the cache, in ms. */
  readonly cacheLifetimeMs: number
  /** Prompt tokens of this call that were cached; 0 if it has no prompt. */
  readonly matchedTokens: number
  readonly leaving: boolean
}

/** Latest hints of one backend server and what this router sent to it since. */
export interface ServerHintState {
  readonly hints: ReplyHints
  /** Time at which the hints arrived, in ms of the monotonic clock. */
  readonly at: number
  /** Calls of this router that were in progress at the server when the hints arrived. */
  inProgress: number
  /** Estimated prompt tokens that this router sent to the server since the hints arrived. */
  sentTokens: number
}

/** Hints about all backend servers that one router has received. */
export interface HintTable {
  /** Finds the hints of a server; undefined before its first reply. */
  find(server: BackendServerId): ServerHintState | undefined
  /** Records the hints of a reply. */
  record(hints: ReplyHints, now: number): void
  /** Records that a server caches the first `matchedTokens` tokens of a chain and nothing beyond them. */
  recordCachedPrefix(
    chain: PrefixChain,
    hints: ReplyHints,
    matchedTokens: number,
    now: number,
  ): void
  /** Lists the servers that were last known to cache any level of a chain. */
  listServersWithPrefix(chain: PrefixChain): ReadonlySet<BackendServerId>
  /** Discards the hints of a server that cannot be reached. */
  remove(server: BackendServerId): void
  /** Records the start of a call. */
  addCall(server: BackendServerId, tokens: number): void
  /** Records the end of a call. */
  removeCall(server: BackendServerId): void
  /** Counts the calls of this router that are in progress at a server. */
  countCalls(server: BackendServerId): number
  /** Estimates how many tokens of a prompt are cached at a server; undefined if unknown. */
  estimateCachedTokens(chain: PrefixChain, server: BackendServerId, now: number): number | undefined
}

interface CachedLevel {
  readonly engineIncarnation: Incarnation
  readonly recordedAt: number
}

type CachedLevelByServer = Map<BackendServerId, CachedLevel>

/** Prompt levels that a router keeps: about 100 bytes each, with one or two servers per level. */
const DEFAULT_MAX_LEVELS = 100_000

/** Options of {@link createHintTable}. */
export interface HintTableOptions {
  /** @default 100000 */
  readonly maxLevels?: number
  /**
   * Whether the table has complete information about the caches, so that a prefix missing from it is not cached.
   * @default false
   */
  readonly isComplete?: boolean
}

/** Creates an empty table. */
export function createHintTable(options: HintTableOptions = {}): HintTable {
  const maxLevels = options.maxLevels ?? DEFAULT_MAX_LEVELS
  const hintStates = new Map<BackendServerId, ServerHintState>()
  const callCounts = new Map<BackendServerId, number>()
  const cachedLevels = new LRUCache<PrefixHash, CachedLevelByServer>({ max: maxLevels })

  const recordLevel = (hash: PrefixHash, hints: ReplyHints, now: number) => {
    const cachedByServer: CachedLevelByServer = cachedLevels.get(hash) ?? new Map()
    cachedByServer.set(hints.server, {
      engineIncarnation: hints.engineIncarnation,
      recordedAt: now,
    })
    cachedLevels.set(hash, cachedByServer)
  }

  return {
    find: (server) => hintStates.get(server),
    record: (hints, now) => {
      const inProgress = callCounts.get(hints.server) ?? 0
      hintStates.set(hints.server, { hints, at: now, inProgress, sentTokens: 0 })
    },
    recordCachedPrefix: (chain, hints, matchedTokens, now) => {
      for (const level of chain.levels) {
        if (level.tokens <= matchedTokens) recordLevel(level.hash, hints, now)
        else cachedLevels.get(level.hash)?.delete(hints.server)
      }
    },
    listServersWithPrefix: (chain) => {
      const holders = new Set<BackendServerId>()
      for (const { hash } of chain.levels) {
        for (const server of cachedLevels.get(hash)?.keys() ?? []) holders.add(server)
      }
      return holders
    },
    remove: (server) => void hintStates.delete(server),
    addCall: (server, tokens) => {
      callCounts.set(server, (callCounts.get(server) ?? 0) + 1)
      const state = hintStates.get(server)
      if (state) state.sentTokens += tokens
    },
    removeCall: (server) =>
      void callCounts.set(server, Math.max(0, (callCounts.get(server) ?? 0) - 1)),
    countCalls: (server) => callCounts.get(server) ?? 0,
    estimateCachedTokens: (chain, server, now) => {
      const state = hintStates.get(server)
      if (!state) return undefined
      for (let index = chain.levels.length - 1; index >= 0; index -= 1) {
        const level = chain.levels[index]
        const cached = cachedLevels.get(level.hash)?.get(server)
        if (!cached || cached.engineIncarnation !== state.hints.engineIncarnation) continue
        if (now - cached.recordedAt <= state.hints.cacheLifetimeMs) return level.tokens
      }
      return options.isComplete ? 0 : undefined
    },
  }
}
