/** Cache of prompt blocks with least-recently-used eviction, as an engine keeps it. */
import type { PrefixHash } from '@spoolgate/core'

/** What became of cached blocks. */
export interface CacheChange {
  readonly kind: 'stored' | 'removed'
  readonly hashes: readonly PrefixHash[]
}

/** A block cache of fixed size. */
export interface BlockCache {
  /** Counts how many blocks from the front are cached, and marks them as used. */
  match(hashes: readonly PrefixHash[]): number
  /** Counts without marking. */
  count(hashes: readonly PrefixHash[]): number
  /** Stores blocks, evicting the least recently used. */
  store(hashes: readonly PrefixHash[]): void
  list(): PrefixHash[]
  clear(): void
}

/** Creates a cache that holds `capacity` blocks and reports each change. */
export function createBlockCache(
  capacity: number,
  onChange: (change: CacheChange) => void,
): BlockCache {
  const blocks = new Set<PrefixHash>()
  const countCached = (hashes: readonly PrefixHash[]) => {
    const miss = hashes.findIndex((hash) => !blocks.has(hash))
    return miss === -1 ? hashes.length : miss
  }
  const markUsed = (hashes: readonly PrefixHash[]) => {
    // The tail is marked first, so that eviction takes the end of a chain before its start.
    for (let index = hashes.length - 1; index >= 0; index -= 1) {
      blocks.delete(hashes[index])
      blocks.add(hashes[index])
    }
  }
  const evict = () => {
    const removed: PrefixHash[] = []
    for (const hash of blocks) {
      if (blocks.size <= capacity) break
      blocks.delete(hash)
      removed.push(hash)
    }
    if (removed.length > 0) onChange({ kind: 'removed', hashes: removed })
  }
  return {
    count: countCached,
    match: (hashes) => {
      const cached = countCached(hashes)
      markUsed(hashes.slice(0, cached))
      return cached
    },
    store: (hashes) => {
      const added = hashes.filter((hash) => !blocks.has(hash))
      markUsed(hashes)
      if (added.length > 0) onChange({ kind: 'stored', hashes: added })
      evict()
    },
    list: () => [...blocks],
    clear: () => blocks.clear(),
  }
}
