/**
 * What cached prompt parts of the direct path must share, and the short numbers by which instances
 * report parts to each other.
 */
import type { TeamId } from '@spoolgate/core'
import { hashText } from './prefixChain.js'

const SCOPE = /^(.*)\.v(\d+)$/

/** Formats a scope: the team whose parts are kept apart, or undefined for shared ones, and weights. */
export function formatCacheScope(isolatedTeam: TeamId | undefined, version: number): string {
  return `${isolatedTeam ?? 'shared'}.v${version}`
}

/** Reads the weights version out of a scope; undefined for a text that is no scope of the fleet. */
export function parseScopeVersion(scope: string): number | undefined {
  const version = SCOPE.exec(scope)?.[2]
  return version === undefined ? undefined : Number(version)
}

/** Hashes a part within its scope; ids of parts are unique, so what comes before it is implied. */
export function hashPromptPart(scope: string, partId: string): number {
  return hashText(`${scope}/${partId}`)
}

/** Names one life of a store for one weights version, as memories of cached parts know it. */
export function formatStoreId(address: string, epoch: number, version: number): string {
  return `store/${address}/${epoch}/${version}`
}
