/**
 * What a router knows to be cached at each model engine and store: what they say themselves, and,
 * until that is here, the prompt parts that were sent there by this router or by others.
 */
import type { KeptPlacement, Placement } from '@spoolgate/control'
import { toBackendServerId, type BackendServerId } from '@spoolgate/core'
import { hashPart } from '@spoolgate/routing'
import { LRUCache } from 'lru-cache'
import type { PromptPart } from './protocols.js'

/** Caches of all engines and stores. */
export interface PrefixCacheIndex {
  /** Counts the leading prompt tokens that are cached at a place, or will be once it has read them. */
  countCachedTokens(
    server: BackendServerId,
    version: number,
    scope: string,
    parts: readonly PromptPart[],
  ): number
  /** Records that an engine reads a prompt that another router sent. */
  recordPlacement(placement: Placement): void
  /** Records that an engine reads a prompt that this router sent. */
  recordOwnPlacement(placement: Placement): void
  /** Records what an engine or store says that it keeps, or no longer keeps. */
  confirmPlacement(placement: KeptPlacement): void
  /** Takes the placements that were made here since the last call, for the other routers. */
  takePlacements(): Placement[]
}

/** Engines whose caches are remembered: several times those of a large fleet. */
const MAX_ENGINES = 2_000
/** Placements that are kept for the other routers; more than one poll brings. */
const MAX_PLACEMENTS = 200
/** Tokens of a part that may be missing: engines keep whole blocks, of 16 on those known. */
export const CACHE_BLOCK_TOKENS = 16

interface CachedPart {
  readonly tokens: number
  /** Whether the engine or store itself said that it keeps the part. */
  readonly isConfirmed: boolean
}

interface EngineCache {
  readonly version: number
  readonly parts: LRUCache<number, CachedPart>
}

/** Builds the record of a prompt that is sent to an engine. */
export function buildPlacement(
  server: BackendServerId,
  version: number,
  scope: string,
  parts: readonly PromptPart[],
): Placement {
  return [server, version, ...parts.flatMap(({ id, tokens }) => [hashPart(scope, id), tokens])]
}

/** Options of {@link createPrefixCacheIndex}. */
export interface PrefixCacheIndexOptions {
  /** Finds the tokens that a place has room for beside running requests. */
  readonly findCacheTokens: (place: BackendServerId) => number
}

/** Creates an empty memory. */
export function createPrefixCacheIndex(options: PrefixCacheIndexOptions): PrefixCacheIndex {
  const caches = new LRUCache<BackendServerId, EngineCache>({ max: MAX_ENGINES })
  let placements: Placement[] = []

  const openCache = (server: BackendServerId, version: number) => {
    const known = caches.get(server)
    // New weights drop everything, and late news of older ones says nothing any more.
    if (known && known.version >= version) return known
    const maxSize = Math.max(1, Math.floor(options.findCacheTokens(server)))
    const parts = new LRUCache<number, CachedPart>({
      maxSize,
      sizeCalculation: ({ tokens }) => Math.max(1, tokens),
    })
    const created = { version, parts }
    caches.set(server, created)
    return created
  }
  const apply = (placement: Placement, isConfirmed: boolean) => {
    const [server, version, ...pairs] = placement
    const cache = openCache(toBackendServerId(server), version)
    if (cache.version !== version) return
    // Outer parts are needed by all that lies within them, so they are touched last.
    for (let index = pairs.length - 2; index >= 0; index -= 2) {
      const [hash, tokens] = [pairs[index], pairs[index + 1]]
      if (tokens === 0) cache.parts.delete(hash)
      // What the engine itself has said stands; being sent there again only makes it newer.
      else if (isConfirmed || cache.parts.get(hash)?.isConfirmed !== true) {
        cache.parts.set(hash, { tokens, isConfirmed })
      }
    }
  }
  return {
    countCachedTokens: (server, version, scope, parts) => {
      const cache = caches.get(server)
      if (cache?.version !== version) return 0
      let matched = 0
      for (const { id, tokens } of parts) {
        const cached = cache.parts.get(hashPart(scope, id))
        if (!cached) break
        matched += Math.min(tokens, cached.tokens)
        if (cached.tokens + CACHE_BLOCK_TOKENS <= tokens) break
      }
      return matched
    },
    recordPlacement: (placement) => apply(placement, false),
    recordOwnPlacement: (placement) => {
      apply(placement, false)
      placements.push(placement)
    },
    confirmPlacement: (placement) => apply(placement, true),
    takePlacements: () => {
      const taken = placements.slice(-MAX_PLACEMENTS)
      placements = []
      return taken
    },
  }
}
