/**
 * Index of the prompt parts that are cached at each model engine and store: those that they report themselves, and,
 * until their report arrives, those that this router or others sent there.
 */
import type { CachedPlacement, Placement } from '@spoolgate/control'
import { toBackendServerId, type BackendServerId } from '@spoolgate/core'
import { hashPromptPart } from '@spoolgate/routing'
import { LRUCache } from 'lru-cache'
import type { PromptPart } from './protocols.js'

/** Cache contents of all engines and stores. */
export interface PrefixCacheIndex {
  /** Counts the leading prompt tokens that are cached at an engine or store, or will be after prefill. */
  countCachedTokens(
    holder: BackendServerId,
    version: number,
    scope: string,
    parts: readonly PromptPart[],
  ): number
  /** Records parts that another router sent to an engine or a store. */
  recordPlacement(placement: Placement): void
  /** Records parts that this router sent to an engine or a store, and queues them for the other routers. */
  recordOwnPlacement(placement: Placement): void
  /** Records parts that an engine or store reports as cached or evicted. */
  confirmPlacement(placement: CachedPlacement): void
  /** Removes and returns the placements recorded by this router since the last call, for the other routers. */
  takePlacements(): Placement[]
}

/** Engines and stores whose caches are tracked: several times the engines of a large fleet. */
const MAX_HOLDERS = 2_000
/** Placements that are queued for the other routers; more than accumulate between two polls. */
const MAX_PENDING_PLACEMENTS = 200
/**
 * Cache block size in tokens, 16 on all known engines. They cache only whole blocks, so up to 15 tokens at the end of a
 * cached part may be missing.
 */
export const CACHE_BLOCK_TOKENS = 16

interface CachedPart {
  readonly tokens: number
  /** Whether the engine or store itself reported the part. */
  readonly isConfirmed: boolean
}

interface HolderCache {
  readonly version: number
  readonly parts: LRUCache<number, CachedPart>
}

/** Builds the placement record of prompt parts that are sent to an engine or saved to a store. */
export function buildPlacement(
  holder: BackendServerId,
  version: number,
  scope: string,
  parts: readonly PromptPart[],
): Placement {
  return [
    holder,
    version,
    ...parts.flatMap(({ id, tokens }) => [hashPromptPart(scope, id), tokens]),
  ]
}

/** Options of {@link createPrefixCacheIndex}. */
export interface PrefixCacheIndexOptions {
  /** Finds the cache capacity of an engine or store beside running requests, in tokens. */
  readonly findCacheTokens: (holder: BackendServerId) => number
}

/** Creates an empty index. */
export function createPrefixCacheIndex(options: PrefixCacheIndexOptions): PrefixCacheIndex {
  const caches = new LRUCache<BackendServerId, HolderCache>({ max: MAX_HOLDERS })
  let pendingPlacements: Placement[] = []

  const openCache = (holder: BackendServerId, version: number) => {
    const known = caches.get(holder)
    // New weights invalidate the cache; late reports about older ones are ignored.
    if (known && known.version >= version) return known
    const maxSize = Math.max(1, Math.floor(options.findCacheTokens(holder)))
    const parts = new LRUCache<number, CachedPart>({
      maxSize,
      sizeCalculation: ({ tokens }) => Math.max(1, tokens),
    })
    const created = { version, parts }
    caches.set(holder, created)
    return created
  }
  const applyPlacement = (placement: Placement, isConfirmed: boolean) => {
    const [holder, version, ...pairs] = placement
    const cache = openCache(toBackendServerId(holder), version)
    if (cache.version !== version) return
    // Later parts depend on earlier ones, so the earlier ones are touched last and evicted last.
    for (let index = pairs.length - 2; index >= 0; index -= 2) {
      const [hash, tokens] = [pairs[index], pairs[index + 1]]
      if (tokens === 0) cache.parts.delete(hash)
      // A report of the engine itself takes precedence; sending the part again only refreshes its recency.
      else if (isConfirmed || cache.parts.get(hash)?.isConfirmed !== true) {
        cache.parts.set(hash, { tokens, isConfirmed })
      }
    }
  }
  return {
    countCachedTokens: (holder, version, scope, parts) => {
      const cache = caches.get(holder)
      if (cache?.version !== version) return 0
      let matched = 0
      for (const { id, tokens } of parts) {
        const cached = cache.parts.get(hashPromptPart(scope, id))
        if (!cached) break
        matched += Math.min(tokens, cached.tokens)
        if (cached.tokens + CACHE_BLOCK_TOKENS <= tokens) break
      }
      return matched
    },
    recordPlacement: (placement) => applyPlacement(placement, false),
    recordOwnPlacement: (placement) => {
      applyPlacement(placement, false)
      pendingPlacements.push(placement)
    },
    confirmPlacement: (placement) => applyPlacement(placement, true),
    takePlacements: () => {
      const taken = pendingPlacements.slice(-MAX_PENDING_PLACEMENTS)
      pendingPlacements = []
      return taken
    },
  }
}
