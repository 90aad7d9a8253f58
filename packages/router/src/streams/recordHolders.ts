/** Chooses the routers that hold the record of a stream, alike at all routers that know the same ones. */
import type { StreamKey } from '@spoolgate/core'
import { hashText } from '@spoolgate/routing'

/** Routers that hold a record beside the one that began the stream. */
export const RECORD_COPIES = 3

/** Ranks all other routers for a record, the best holder first; removing a router moves only the records that it holds. */
export function rankHolders(
  key: StreamKey,
  peers: readonly string[],
  ownUrl: string,
): readonly string[] {
  const seed = hashText(key)
  const scored = peers
    .filter((url) => url !== ownUrl)
    .map((url) => ({ url, score: hashText(url, seed) }))
  scored.sort((a, b) => b.score - a.score || (a.url < b.url ? -1 : 1))
  return scored.map(({ url }) => url)
}
