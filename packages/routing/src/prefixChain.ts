/**
 * Hashes of prompt prefixes. The hash at the end of a block covers all bytes from the start of the prompt, and is
 * seeded with the cache scope: team or shared, model, adapter and weights version. Cached blocks are therefore never
 * reused across isolated teams or weights versions.
 *
 * One running digest is read only at the ends of levels, which is cheaper than hashing each block separately
 * (docs/design/routing.md).
 */
import { toPrefixHash, type PrefixHash, type WeightsVersion } from '@spoolgate/core'
import createXxhash from 'xxhash-wasm'
import type { PromptText } from './promptText.js'

const xxhash = await createXxhash()

/** Properties that two requests must have in common for one to reuse cached blocks of the other. */
export interface CacheScope {
  /** Team, or `shared` for teams that opted into sharing. */
  readonly owner: string
  readonly model: string
  /** Adapter loaded on top of the model; empty for none. */
  readonly adapter: string
  readonly weightsVersion: WeightsVersion
}

/** Sizes for converting bytes to tokens and blocks. */
export interface BlockSizes {
  readonly blockTokens: number
  readonly bytesPerToken: number
}

/** Prefix of a prompt up to the end of one level. */
export interface PrefixLevel {
  readonly hash: PrefixHash
  /** Tokens of the prefix, rounded down to complete blocks. */
  readonly tokens: number
}

/** Hashed prefixes of a prompt, outermost level first. */
export interface PrefixChain {
  readonly scope: string
  readonly levels: readonly PrefixLevel[]
  /** Estimated tokens of the whole prompt. */
  readonly totalTokens: number
}

/** Formats a scope as the cache salt sent to engines. */
export function formatCacheSalt(scope: CacheScope): string {
  return [scope.owner, scope.model, scope.adapter, scope.weightsVersion].join('/')
}

/** Hashes a short text to an unsigned 32-bit number. */
export function hashText(text: string, seed = 0): number {
  return xxhash.h32(text, seed)
}

/** Hashes the prefixes of `bytes` that end at `ends`, which must be in ascending order. */
export function hashPrefixes(scope: string, bytes: Buffer, ends: readonly number[]): PrefixHash[] {
  const digest = xxhash.create64(xxhash.h64(scope))
  let start = 0
  return ends.map((end) => {
    digest.update(bytes.subarray(start, end))
    start = end
    return toPrefixHash(digest.digest().toString(36))
  })
}

/** Estimates the token count of `bytes` bytes of text. */
export function estimateTokenCount(bytes: number, sizes: BlockSizes): number {
  return Math.ceil(bytes / sizes.bytesPerToken)
}

/** Builds the chain of a prompt: one entry per level that adds at least one complete block. */
export function buildPrefixChain(
  scope: CacheScope,
  prompt: PromptText,
  sizes: BlockSizes,
): PrefixChain {
  const blockBytes = sizes.blockTokens * sizes.bytesPerToken
  const blockEnds = prompt.levelEnds.map((end) => Math.floor(end / blockBytes))
  const blockCounts = [...new Set(blockEnds)].filter((blocks) => blocks > 0)
  const salt = formatCacheSalt(scope)
  const hashes = hashPrefixes(
    salt,
    prompt.bytes,
    blockCounts.map((blocks) => blocks * blockBytes),
  )
  const levels = hashes.map((hash, index) => ({
    hash,
    tokens: blockCounts[index] * sizes.blockTokens,
  }))
  return { scope: salt, levels, totalTokens: estimateTokenCount(prompt.bytes.length, sizes) }
}
