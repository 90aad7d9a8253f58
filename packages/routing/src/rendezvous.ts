/**
 * Weighted rendezvous hashing: every router ranks the backend servers of a key in the same order
 * without communication, and the loss of one moves only its own keys.
 */
import type { BackendServer } from '@spoolgate/config'
import { LRUCache } from 'lru-cache'
import { hashText } from './prefixChain.js'

/** Ranks backend servers for keys. */
export interface RendezvousHash {
  /** Ranks `servers` for a key, best first. The list must be the same object while it is unchanged. */
  rank(key: string, servers: readonly BackendServer[]): readonly BackendServer[]
  /** Finds the best of a few servers for a key; undefined for none. */
  findBest(key: string, servers: readonly BackendServer[]): BackendServer | undefined
}

/** Rankings that are remembered; hot prefixes are ranked once. */
const MAX_REMEMBERED = 20_000

interface Remembered {
  readonly servers: readonly BackendServer[]
  readonly ranked: readonly BackendServer[]
}

function rankServers(key: string, servers: readonly BackendServer[]): readonly BackendServer[] {
  const keyHash = hashText(key)
  const scored = servers.map((server) => ({ server, score: hashText(server.id, keyHash) }))
  scored.sort((a, b) => b.score - a.score || (a.server.id < b.server.id ? -1 : 1))
  return scored.map(({ server }) => server)
}

/** Creates a ranking with a memory. */
export function createRendezvousHash(): RendezvousHash {
  const remembered = new LRUCache<string, Remembered>({ max: MAX_REMEMBERED })
  return {
    rank: (key, servers) => {
      const known = remembered.get(key)
      if (known?.servers === servers) return known.ranked
      const ranked = rankServers(key, servers)
      remembered.set(key, { servers, ranked })
      return ranked
    },
    findBest: (key, servers) => rankServers(key, servers)[0],
  }
}
