/**
 * Cache scopes and part hashes of the direct path: a cached prompt part may be reused only within its scope, and
 * instances report parts to each other by their hashes. A scope consists of the owner of the parts and the weights version.
 */
import { createHash } from 'node:crypto'
import type { Brand, TeamId } from '@spoolgate/core'
import { hashText } from './prefixChain.js'

/** Who shares cached parts: one isolated team, or all others during one epoch. */
export type CacheOwner = Brand<string, 'CacheOwner'>

/** Digest of a team's name, which stands for it where names of any length and alphabet cannot. */
export type TeamDigest = Brand<string, 'TeamDigest'>

const SCOPE_PATTERN = /^(.*)\.v(\d+)$/
/** Length of a digest in characters of base64url: 132 bits. */
const DIGEST_LENGTH = 22

/** Hashes a team's name. UTF-16 keeps names apart that are not well-formed Unicode. */
export function hashTeam(team: TeamId): TeamDigest {
  const hash = createHash('sha256').update(team, 'utf16le').digest('base64url')
  return hash.slice(0, DIGEST_LENGTH) as TeamDigest
}

/** Formats the owner of the parts of one isolated team. */
export function formatTeamOwner(team: TeamId): CacheOwner {
  return `team.${hashTeam(team)}` as CacheOwner
}

/** Formats the owner of the parts that all other teams share since a version of the routing table. */
export function formatSharedOwner(sharedSince: number): CacheOwner {
  return `shared.${sharedSince}` as CacheOwner
}

/** Formats a scope. */
export function formatCacheScope(owner: CacheOwner, version: number): string {
  return `${owner}.v${version}`
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
