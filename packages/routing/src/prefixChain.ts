/**
 * Hashes of prompt prefixes. The hash at the end of a block covers all bytes from the start of the
 * prompt, and is seeded with the scope: team or shared, model, adapter and weights version. Two
 * teams, or two versions of the weights, can therefore never meet in the cache.
 *
 * A running digest is taken at the wanted places only, which is cheaper than hashing each block by itself
 * (docs/design/routing.md).
 */
import { toPrefixHash, type PrefixHash, type WeightsVersion } from '@spoolgate/core'
import createXxhash from 'xxhash-wasm'
import type { PromptText } from './promptText.js'

const xxhash = await createXxhash()

/** What cached blocks must share before one request may use what another computed. */
export interface CacheScope {
  /** Team, or `shared` for teams that share on purpose. */
  readonly owner: string
  readonly model: string
  /** Adapter loaded on top of the model; empty for none. */
  readonly adapter: string
  readonly weightsVersion: WeightsVersion
}

/** Sizes that turn bytes into tokens and blocks. */
export interface BlockSizes {
  readonly blockTokens: number
  readonly bytesPerToken: number
}

/** The end of one level of a prompt. */
export interface PrefixLevel {
  readonly hash: PrefixHash
  /** Tokens from the start of the prompt that whole blocks cover. */
  readonly tokens: number
}

/** The levels of a prompt, outermost first. */
export interface PrefixChain {
  readonly scope: string
  readonly levels: readonly PrefixLevel[]
  /** Tokens of the whole prompt. */
  readonly totalTokens: number
}

/** Formats a scope as the salt that engines take. */
export function formatCacheSalt(scope: CacheScope): string {
  return [scope.owner, scope.model, scope.adapter, scope.weightsVersion].join('/')
}

/** Hashes a short text to an unsigned 32-bit number. */
export function hashText(text: string, seed = 0): number {
  return xxhash.h32(text, seed)
}

/** Hashes the prefixes of `bytes` that end at `ends`, which must rise. */
export function hashPrefixes(scope: string, bytes: Buffer, ends: readonly number[]): PrefixHash[] {
  const digest = xxhash.create64(xxhash.h64(scope))
  let start = 0
  return ends.map((end) => {
    digest.update(bytes.subarray(start, end))
    start = end
    return toPrefixHash(digest.digest().toString(36))
  })
}

/** Counts the tokens of `bytes` bytes of text. */
export function estimateTokenCount(bytes: number, sizes: BlockSizes): number {
  return Math.ceil(bytes / sizes.bytesPerToken)
}

/** Builds the chain of a prompt: one entry for each level that ends at least one block further. */
export function buildPrefixChain(
  scope: CacheScope,
  prompt: PromptText,
  sizes: BlockSizes,
): PrefixChain {
  const blockBytes = sizes.blockTokens * sizes.bytesPerToken
  const blockEnds = prompt.levelEnds.map((end) => Math.floor(end / blockBytes))
  const counts = [...new Set(blockEnds)].filter((blocks) => blocks > 0)
  const salt = formatCacheSalt(scope)
  const hashes = hashPrefixes(
    salt,
    prompt.bytes,
    counts.map((blocks) => blocks * blockBytes),
  )
  const levels = hashes.map((hash, index) => ({ hash, tokens: counts[index] * sizes.blockTokens }))
  return { scope: salt, levels, totalTokens: estimateTokenCount(prompt.bytes.length, sizes) }
}
