/** Chooses the routers that hold the record of a stream, alike at all routers that know the same ones. */
import type { StreamKey } from '@spoolgate/core'
import { hashText } from '@spoolgate/routing'

/** Routers that hold a record beside the one that began the stream. */
export const RECORD_COPIES = 3
/** Routers that hold records in place of those that fail. */
export const SPARE_HOLDERS = 3

/** Hashes of lists of routers, which stay the same objects until they change. */
const hashesOf = new WeakMap<readonly string[], readonly number[]>()

function hashPeers(peers: readonly string[]): readonly number[] {
  const hashes = hashesOf.get(peers) ?? peers.map((url) => hashText(url))
  hashesOf.set(peers, hashes)
  return hashes
}

/** Mixes two hashes into a score; the last steps of MurmurHash3. */
function hashPair(a: number, b: number): number {
  let mixed = a ^ b
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

/**
 * Ranks other routers for a record, the best holder first: as many as hold it, and those that replace them. Removing a
 * router moves only the records that it holds.
 */
export function rankHolders(
  key: StreamKey,
  peers: readonly string[],
  ownUrl: string,
): readonly string[] {
  const seed = hashText(key)
  const best: { readonly url: string; readonly score: number }[] = []
  for (const [index, hash] of hashPeers(peers).entries()) {
    const score = hashPair(hash, seed)
    const isFull = best.length === RECORD_COPIES + SPARE_HOLDERS
    const isRanked = !isFull || score > best[best.length - 1].score
    if (!isRanked || peers[index] === ownUrl) continue
    if (isFull) best.pop()
    const place = best.findIndex((other) => other.score < score)
    best.splice(place === -1 ? best.length : place, 0, { url: peers[index], score })
  }
  return best.map(({ url }) => url)
}
