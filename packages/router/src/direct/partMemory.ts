/**
 * What a router presumes to be cached at each model engine: the prompt parts that it sent there, up
 * to the engine's memory, the least recently used given up first.
 */
import type { BackendServerId } from '@spoolgate/core'
import { LRUCache } from 'lru-cache'
import type { PromptPart } from './dialects.js'

/** Presumed caches of all engines. */
export interface PartMemory {
  /** Counts the leading prompt tokens that are presumed to be cached. */
  countMatched(server: BackendServerId, scope: string, parts: readonly PromptPart[]): number
  /** Records that an engine has read a prompt. */
  record(
    server: BackendServerId,
    scope: string,
    parts: readonly PromptPart[],
    cacheTokens: number,
  ): void
  /** Forgets an engine: it lost its cache or is gone. */
  remove(server: BackendServerId): void
}

/** Part of an engine's memory that is presumed to be left for cached parts beside running requests. */
const CACHED_SHARE = 0.7

/** A part is cached only together with everything before it, so keys cover the whole prefix. */
function listPrefixKeys(scope: string, parts: readonly PromptPart[]): string[] {
  let key = scope
  return parts.map(({ id }) => {
    key = `${key}/${id}`
    return key
  })
}

/** Creates an empty memory. */
export function createPartMemory(): PartMemory {
  const caches = new Map<BackendServerId, LRUCache<string, number>>()
  const openCache = (server: BackendServerId, cacheTokens: number) => {
    const known = caches.get(server)
    if (known) return known
    const maxSize = Math.max(1, Math.floor(cacheTokens * CACHED_SHARE))
    const created = new LRUCache<string, number>({
      maxSize,
      sizeCalculation: (tokens) => Math.max(1, tokens),
    })
    caches.set(server, created)
    return created
  }
  return {
    countMatched: (server, scope, parts) => {
      const cache = caches.get(server)
      if (!cache) return 0
      let matched = 0
      for (const [index, key] of listPrefixKeys(scope, parts).entries()) {
        if (!cache.has(key)) break
        matched += parts[index].tokens
      }
      return matched
    },
    record: (server, scope, parts, cacheTokens) => {
      const cache = openCache(server, cacheTokens)
      const keys = listPrefixKeys(scope, parts)
      // Outer parts are needed by all that lies within them, so they are touched last.
      for (let index = keys.length - 1; index >= 0; index -= 1) {
        cache.set(keys[index], parts[index].tokens)
      }
    },
    remove: (server) => void caches.delete(server),
  }
}
