/**
 * Rendezvous hashing: all routers rank the backend servers for a key in the same order without communicating, and the
 * removal of a server moves only the keys that it ranked first for.
 */
import type { BackendServer } from '@spoolgate/config'
import { LRUCache } from 'lru-cache'
import { hashText } from './prefixChain.js'

/** Ranks backend servers for keys. */
export interface RendezvousHash {
  /**
   * Ranks `servers` for a key, best first. An unchanged list must stay the same object, since rankings are cached by
   * its identity.
   */
  rank(key: string, servers: readonly BackendServer[]): readonly BackendServer[]
  /** Finds the best of a few servers for a key, without caching; undefined if there are none. */
  findBest(key: string, servers: readonly BackendServer[]): BackendServer | undefined
}

/** Rankings that are cached, so that frequent prefixes are ranked only once. */
const MAX_CACHED_RANKINGS = 20_000

interface CachedRanking {
  readonly servers: readonly BackendServer[]
  readonly ranked: readonly BackendServer[]
}

function rankServers(key: string, servers: readonly BackendServer[]): readonly BackendServer[] {
  const keyHash = hashText(key)
  const scored = servers.map((server) => ({ server, score: hashText(server.id, keyHash) }))
  scored.sort((a, b) => b.score - a.score || (a.server.id < b.server.id ? -1 : 1))
  return scored.map(({ server }) => server)
}

/** Creates a rendezvous hash with a cache of rankings. */
export function createRendezvousHash(): RendezvousHash {
  const rankingCache = new LRUCache<string, CachedRanking>({ max: MAX_CACHED_RANKINGS })
  return {
    rank: (key, servers) => {
      const cached = rankingCache.get(key)
      if (cached?.servers === servers) return cached.ranked
      const ranked = rankServers(key, servers)
      rankingCache.set(key, { servers, ranked })
      return ranked
    },
    findBest: (key, servers) => rankServers(key, servers)[0],
  }
}
