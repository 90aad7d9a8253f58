/** The leader's list of the addresses at which routers exchange the records of their streams. */
import type { TimerService } from '@spoolgate/core'
import type { PeersUpdate } from './feed.js'

/** Options of {@link createPeerDirectory}. */
export interface PeerDirectoryOptions {
  readonly timers: Pick<TimerService, 'now'>
  /** Time after its last poll at which a router is removed, in ms. */
  readonly routerLifeMs: number
}

/** See {@link createPeerDirectory}. */
export interface PeerDirectory {
  /** Clears the list at the start of a term. */
  reset(): void
  /**
   * Records a poll of the router at an address; a restarted router has the address that it had.
   * @param isDurable whether it keeps records on a disk
   */
  record(url: string, isDurable: boolean): void
  /** Revision of the list, which changes once a second at most in a large fleet. */
  revision(): number
  buildUpdate(): PeersUpdate
}

/**
 * Minimum time between two revisions, in ms: per router, since the list of 410 addresses takes 10 KB for each of them, and
 * its bounds.
 */
const REFRESH_MS_PER_ROUTER = 2.5
const MIN_REFRESH_MS = 50
const MAX_REFRESH_MS = 1_000

/** Creates an empty list. */
export function createPeerDirectory({ timers, routerLifeMs }: PeerDirectoryOptions): PeerDirectory {
  const polledAt = new Map<string, number>()
  const durable = new Set<string>()
  let startedAt = timers.now()
  let refreshedAt = -Infinity
  let update: PeersUpdate = { isComplete: false, urls: [] }
  let revision = 0

  const isEqual = (one: readonly string[], other: readonly string[] = []) =>
    one.length === other.length && one.every((url, index) => url === other[index])
  const isSame = ({ isComplete, urls, durableUrls }: Required<PeersUpdate>) =>
    isComplete === update.isComplete &&
    isEqual(urls, update.urls) &&
    isEqual(durableUrls, update.durableUrls)
  const refresh = () => {
    const now = timers.now()
    const periodMs = Math.max(MIN_REFRESH_MS, polledAt.size * REFRESH_MS_PER_ROUTER)
    if (now - refreshedAt < Math.min(MAX_REFRESH_MS, periodMs)) return
    refreshedAt = now
    for (const [url, at] of polledAt) if (now - at > routerLifeMs) polledAt.delete(url)
    const urls = [...polledAt.keys()].sort()
    const durableUrls = urls.filter((url) => durable.has(url))
    const next = { isComplete: now - startedAt >= routerLifeMs, urls, durableUrls }
    if (isSame(next)) return
    update = next
    revision += 1
  }
  return {
    reset: () => {
      polledAt.clear()
      startedAt = timers.now()
      refreshedAt = -Infinity
    },
    record: (url, isDurable) => {
      polledAt.set(url, timers.now())
      if (isDurable) durable.add(url)
      else durable.delete(url)
    },
    revision: () => {
      refresh()
      return revision
    },
    buildUpdate: () => {
      refresh()
      return update
    },
  }
}
