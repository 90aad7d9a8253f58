/**
 * Which blocks the engine beside this process holds. It is built from the engine's cache events,
 * which come late and with gaps: a gap asks for a snapshot, a new incarnation empties the index.
 */
import type { Incarnation, PrefixHash } from '@spoolgate/core'
import type { PrefixChain } from '@spoolgate/routing'

/** One event of the engine's cache. */
export interface CacheEvent {
  readonly sequence: number
  readonly kind: 'stored' | 'removed'
  readonly hashes: readonly PrefixHash[]
}

/** What a batch of events led to. */
export type ApplyOutcome = 'applied' | 'gap'

/** Index of one engine's cache. */
export interface CacheIndex {
  /** Incarnation whose cache is indexed; undefined before the first contact. */
  incarnation(): Incarnation | undefined
  /** Number of the last event that was applied. */
  lastSequence(): number
  /** Clears the index for a new incarnation. */
  reset(incarnation: Incarnation): void
  /** Applies events in order; after a gap nothing more is applied until a snapshot. */
  apply(events: readonly CacheEvent[], now: number): ApplyOutcome
  /** Replaces the content. */
  load(hashes: readonly PrefixHash[], sequence: number, now: number): void
  /** Counts the prompt tokens of a chain that are cached, and marks its levels as used. */
  match(chain: PrefixChain, now: number): number
  /** Records that the levels of a chain are cached, as its first token has just shown. */
  recordComputed(chain: PrefixChain, now: number): void
  /** How long unused blocks last, in ms, as evictions have shown. */
  lifetimeMs(): number
  size(): number
}

/** Assumed life of an unused block before the first eviction, in ms. */
const INITIAL_LIFETIME_MS = 60_000
const LIFETIME_SMOOTHING = 0.1

/** Creates an empty index. */
export function createCacheIndex(): CacheIndex {
  /** Last use of each cached block. */
  const blocks = new Map<PrefixHash, number>()
  /** Hashes that end a level; only their last use is known well enough to time evictions. */
  const levels = new Set<PrefixHash>()
  let current: Incarnation | undefined
  let sequence = 0
  let lifetime = INITIAL_LIFETIME_MS

  const removeBlock = (hash: PrefixHash, now: number) => {
    const usedAt = blocks.get(hash)
    blocks.delete(hash)
    if (usedAt === undefined || !levels.delete(hash)) return
    lifetime += LIFETIME_SMOOTHING * (now - usedAt - lifetime)
  }
  const applyEvent = (event: CacheEvent, now: number) => {
    for (const hash of event.hashes) {
      if (event.kind === 'stored') blocks.set(hash, now)
      else removeBlock(hash, now)
    }
  }
  const markLevels = (chain: PrefixChain, tokens: number, now: number) => {
    for (const level of chain.levels) {
      if (level.tokens > tokens) return
      blocks.set(level.hash, now)
      levels.add(level.hash)
    }
  }

  return {
    incarnation: () => current,
    lastSequence: () => sequence,
    reset: (incarnation) => {
      blocks.clear()
      levels.clear()
      current = incarnation
      sequence = 0
    },
    apply: (events, now) => {
      for (const event of events) {
        if (event.sequence <= sequence) continue
        if (event.sequence !== sequence + 1) return 'gap'
        applyEvent(event, now)
        sequence = event.sequence
      }
      return 'applied'
    },
    load: (hashes, at, now) => {
      const previous = new Map(blocks)
      blocks.clear()
      for (const hash of hashes) blocks.set(hash, previous.get(hash) ?? now)
      for (const hash of levels) if (!blocks.has(hash)) levels.delete(hash)
      sequence = at
    },
    match: (chain, now) => {
      const cached = chain.levels.findLast((level) => blocks.has(level.hash))
      if (!cached) return 0
      markLevels(chain, cached.tokens, now)
      return cached.tokens
    },
    recordComputed: (chain, now) => markLevels(chain, Infinity, now),
    lifetimeMs: () => lifetime,
    size: () => blocks.size,
  }
}
