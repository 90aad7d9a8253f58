/**
 * What a router presumes to be cached at each model engine: the prompt parts that were sent there,
 * by itself or by other routers, up to the engine's memory, the least recently used given up first.
 */
import type { Placement } from '@spoolgate/control'
import { toBackendServerId, type BackendServerId } from '@spoolgate/core'
import { hashText } from '@spoolgate/routing'
import { LRUCache } from 'lru-cache'
import type { PromptPart } from './dialects.js'

/** Presumed caches of all engines. */
export interface PartMemory {
  /** Counts the leading prompt tokens that are presumed to be cached. */
  countMatched(
    server: BackendServerId,
    version: number,
    scope: string,
    parts: readonly PromptPart[],
  ): number
  /** Records that an engine reads a prompt that another router sent. */
  record(placement: Placement, cacheTokens: number): void
  /** Records that an engine reads a prompt that this router sent. */
  recordOwn(placement: Placement, cacheTokens: number): void
  /** Takes the placements that were made here since the last call, for the other routers. */
  takePlacements(): Placement[]
}

/** Part of an engine's memory that is presumed to be left for cached parts beside running requests. */
const CACHED_SHARE = 0.85
/** Tokens that a store is presumed to keep of one weights version: those known hold 635,000. */
export const STORE_TOKENS = 400_000
/** Engines whose caches are remembered: several times those of a large fleet. */
const MAX_ENGINES = 2_000
/** Placements that are kept for the other routers; more than one poll brings. */
const MAX_PLACEMENTS = 200

interface EngineCache {
  readonly version: number
  readonly tokens: LRUCache<number, number>
}

/** Hashes each prefix of a prompt: a part is cached only together with everything before it. */
function hashPrefixKeys(scope: string, parts: readonly PromptPart[]): number[] {
  let key = scope
  return parts.map(({ id }) => {
    key = `${key}/${id}`
    return hashText(key)
  })
}

/** Builds the record of a prompt that is sent to an engine. */
export function buildPlacement(
  server: BackendServerId,
  version: number,
  scope: string,
  parts: readonly PromptPart[],
): Placement {
  const hashes = hashPrefixKeys(scope, parts)
  return [server, version, ...parts.flatMap(({ tokens }, index) => [hashes[index], tokens])]
}

/** Creates an empty memory. */
export function createPartMemory(): PartMemory {
  const caches = new LRUCache<BackendServerId, EngineCache>({ max: MAX_ENGINES })
  let placements: Placement[] = []

  const openCache = (server: BackendServerId, version: number, cacheTokens: number) => {
    const known = caches.get(server)
    // New weights drop everything, and late news of older ones says nothing any more.
    if (known && known.version >= version) return known
    const maxSize = Math.max(1, Math.floor(cacheTokens * CACHED_SHARE))
    const tokens = new LRUCache<number, number>({
      maxSize,
      sizeCalculation: (size) => Math.max(1, size),
    })
    const created = { version, tokens }
    caches.set(server, created)
    return created
  }
  const record: PartMemory['record'] = ([server, version, ...pairs], cacheTokens) => {
    const cache = openCache(toBackendServerId(server), version, cacheTokens)
    if (cache.version !== version) return
    // Outer parts are needed by all that lies within them, so they are touched last.
    for (let index = pairs.length - 2; index >= 0; index -= 2) {
      cache.tokens.set(pairs[index], pairs[index + 1])
    }
  }
  return {
    countMatched: (server, version, scope, parts) => {
      const cache = caches.get(server)
      if (cache?.version !== version) return 0
      let matched = 0
      for (const [index, hash] of hashPrefixKeys(scope, parts).entries()) {
        if (!cache.tokens.has(hash)) break
        matched += parts[index].tokens
      }
      return matched
    },
    record,
    recordOwn: (placement, cacheTokens) => {
      record(placement, cacheTokens)
      placements.push(placement)
    },
    takePlacements: () => {
      const taken = placements.slice(-MAX_PLACEMENTS)
      placements = []
      return taken
    },
  }
}
