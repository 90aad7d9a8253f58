/**
 * Cache scopes and part hashes of the direct path: a cached prompt part may be reused only within its scope, and
 * instances report parts to each other by their hashes.
 */
import type { TeamId } from '@spoolgate/core'
import { hashText } from './prefixChain.js'

const SCOPE_PATTERN = /^(.*)\.v(\d+)$/

/** Formats a scope from the team whose parts are isolated, undefined for shared parts, and the weights version. */
export function formatCacheScope(isolatedTeam: TeamId | undefined, version: number): string {
  return `${isolatedTeam ?? 'shared'}.v${version}`
}

/** Parses the weights version from a scope; undefined for text that {@link formatCacheScope} did not produce. */
export function parseScopeVersion(scope: string): number | undefined {
  const version = SCOPE_PATTERN.exec(scope)?.[2]
  return version === undefined ? undefined : Number(version)
}

/** Hashes a part within its scope. Part IDs are unique, so the hash need not cover the parts before it. */
export function hashPromptPart(scope: string, partId: string): number {
  return hashText(`${scope}/${partId}`)
}

/** Formats the ID that cache indexes use for one epoch of a store and one weights version. */
export function formatStoreId(address: string, epoch: number, version: number): string {
  return `store/${address}/${epoch}/${version}`
}
