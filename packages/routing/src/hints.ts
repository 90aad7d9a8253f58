/**
 * What a sidecar says of its backend server on every reply, and what a router remembers of it.
 * Hints only steer: the sidecar decides again when the call arrives.
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

/** Facts that ride on every reply of a sidecar. */
export interface ReplyHints {
  readonly server: BackendServerId
  /** Incarnation of the sidecar. */
  readonly incarnation: Incarnation
  /** Incarnation of the backend server; its cache is new with each. */
  readonly engineIncarnation: Incarnation
  readonly weightsVersion: WeightsVersion
  readonly configVersion: ConfigVersion
  /** Calls running in the backend server or waiting for it. */
  readonly calls: number
  /** Expected wait before a new call starts, in ms. */
  readonly queueMs: number
  /** Prompt tokens that the backend server computes in a millisecond. */
  readonly prefillTokensPerMs: number
  /** How long unused blocks last in the cache, in ms. */
  readonly cacheLifetimeMs: number
  /** Prompt tokens of this call that were cached; 0 where no prompt was given. */
  readonly matchedTokens: number
  readonly leaving: boolean
}

/** What a router holds of one backend server. */
export interface ServerHintState {
  readonly hints: ReplyHints
  /** When the hints arrived, in ms of the monotonic clock. */
  readonly at: number
  /** Calls of this router that are in progress there. */
  inProgress: number
  /** Estimated prompt tokens that this router sent since the hints arrived. */
  sentTokens: number
}

/** Hints about all backend servers, as one router has seen them. */
export interface HintTable {
  /** Finds the view of a server. */
  find(server: BackendServerId): ServerHintState | undefined
  /** Records the hints of a reply. */
  record(hints: ReplyHints, now: number): void
  /** Records how much of a chain a server holds: what lies beyond `matchedTokens` it does not. */
  recordCachedPrefix(
    chain: PrefixChain,
    hints: ReplyHints,
    matchedTokens: number,
    now: number,
  ): void
  /** Lists the servers that are remembered to hold any level of a chain. */
  listServersWithPrefix(chain: PrefixChain): ReadonlySet<BackendServerId>
  /** Records that a server lost its cache or cannot be reached. */
  remove(server: BackendServerId): void
  /** Records the start of a call. */
  addCall(server: BackendServerId, tokens: number): void
  /** Records the end of a call. */
  removeCall(server: BackendServerId): void
  /** Counts the calls of this router in progress at a server. */
  countCalls(server: BackendServerId): number
  /** Estimates how many prompt tokens are cached at a server; undefined where nothing is known. */
  estimateCachedTokens(chain: PrefixChain, server: BackendServerId, now: number): number | undefined
}

interface CachedAt {
  readonly engineIncarnation: Incarnation
  readonly at: number
}

type LevelEntry = Map<BackendServerId, CachedAt>

/** Levels that a router remembers: about 100 bytes each with one or two servers. */
const MAX_LEVELS_REMEMBERED = 100_000

/** Options of {@link createHintTable}. */
export interface HintTableOptions {
  /** @default 100000 */
  readonly maxLevels?: number
  /**
   * Whether the table holds all there is to know, so that what is not in it is not cached.
   * @default false
   */
  readonly isComplete?: boolean
}

/** Creates an empty table. */
export function createHintTable(options: HintTableOptions = {}): HintTable {
  const maxLevels = options.maxLevels ?? MAX_LEVELS_REMEMBERED
  const views = new Map<BackendServerId, ServerHintState>()
  const calls = new Map<BackendServerId, number>()
  const levels = new LRUCache<PrefixHash, LevelEntry>({ max: maxLevels })

  const recordLevel = (hash: PrefixHash, hints: ReplyHints, now: number) => {
    const entry: LevelEntry = levels.get(hash) ?? new Map()
    entry.set(hints.server, { engineIncarnation: hints.engineIncarnation, at: now })
    levels.set(hash, entry)
  }

  return {
    find: (server) => views.get(server),
    record: (hints, now) => {
      const inProgress = calls.get(hints.server) ?? 0
      views.set(hints.server, { hints, at: now, inProgress, sentTokens: 0 })
    },
    recordCachedPrefix: (chain, hints, matchedTokens, now) => {
      for (const level of chain.levels) {
        if (level.tokens <= matchedTokens) recordLevel(level.hash, hints, now)
        else levels.get(level.hash)?.delete(hints.server)
      }
    },
    listServersWithPrefix: (chain) => {
      const holders = new Set<BackendServerId>()
      for (const { hash } of chain.levels) {
        for (const server of levels.get(hash)?.keys() ?? []) holders.add(server)
      }
      return holders
    },
    remove: (server) => void views.delete(server),
    addCall: (server, tokens) => {
      calls.set(server, (calls.get(server) ?? 0) + 1)
      const view = views.get(server)
      if (view) view.sentTokens += tokens
    },
    removeCall: (server) => void calls.set(server, Math.max(0, (calls.get(server) ?? 0) - 1)),
    countCalls: (server) => calls.get(server) ?? 0,
    estimateCachedTokens: (chain, server, now) => {
      const view = views.get(server)
      if (!view) return undefined
      for (let index = chain.levels.length - 1; index >= 0; index -= 1) {
        const level = chain.levels[index]
        const cached = levels.get(level.hash)?.get(server)
        if (!cached || cached.engineIncarnation !== view.hints.engineIncarnation) continue
        if (now - cached.at <= view.hints.cacheLifetimeMs) return level.tokens
      }
      return options.isComplete ? 0 : undefined
    },
  }
}
