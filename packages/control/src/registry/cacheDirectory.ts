/**
 * Directory of the prompt parts cached by each engine and store, built by the leader from their cache events. Routers
 * receive it as placements, in which parts with 0 tokens were evicted.
 */
import { formatStoreId, hashPromptPart, parseScopeVersion } from '@spoolgate/routing'
import type { CacheListCursor, Placement } from './feed.js'

/** A cached part of a prompt in an engine or store. */
export interface CacheEntry {
  /** Cache scope in which the part was computed. */
  readonly scope: string
  readonly id: string
  /** Tokens of the part that are cached; 0 once it is evicted. */
  readonly tokens: number
}

/** An engine or store that caches parts. */
export type CacheLocation =
  | { readonly kind: 'engine'; readonly id: string; readonly address: string }
  | { readonly kind: 'store'; readonly address: string; readonly epoch: number }

/** See {@link createCacheDirectory}. */
export interface CacheDirectory {
  /**
   * Applies changes at a location in order; returns the placements to report to routers, each part once with its
   * final token count.
   */
  apply(location: CacheLocation, changes: readonly CacheEntry[]): Placement[]
  /** Replaces the content of a location with a full list; returns the evicted parts and all listed ones. */
  replace(location: CacheLocation, parts: readonly CacheEntry[]): Placement[]
  /** Removes a location. */
  forget(location: CacheLocation): void
  /** Lists all cached parts. */
  list(): Placement[]
  /**
   * Reads the page after a router's cursor: at least one location, and more as long as they hold no more than
   * `maxParts` in total. A cursor whose `left` exceeds the list covers all of it.
   */
  readPage(position: CacheListCursor, maxParts: number): CacheListPage
}

/** A page of the list of all cached parts. */
export interface CacheListPage {
  readonly placements: readonly Placement[]
  /** Cursor of the router after this page. */
  readonly cursor: CacheListCursor
}

interface VersionEntries {
  readonly location: string
  readonly version: number
  /** Token count by hash of the part. */
  readonly tokens: Map<number, number>
}

/** Name that routers use for a location with one weights version. */
function formatLocationId(location: CacheLocation, version: number): string {
  if (location.kind === 'engine') return location.id
  return formatStoreId(location.address, location.epoch, version)
}

function formatLocationKey(location: CacheLocation): string {
  return location.kind === 'engine' ? location.id : `${location.address}/${location.epoch}`
}

function buildPlacement({ location, version, tokens }: VersionEntries): Placement {
  return [location, version, ...[...tokens].flat()]
}

/** Creates an empty directory. */
export function createCacheDirectory(): CacheDirectory {
  const locations = new Map<string, Map<number, VersionEntries>>()

  const openVersions = (location: CacheLocation) => {
    const key = formatLocationKey(location)
    const versions = locations.get(key) ?? new Map<number, VersionEntries>()
    locations.set(key, versions)
    return versions
  }
  const openParts = (location: CacheLocation, version: number) => {
    const versions = openVersions(location)
    const known = versions.get(version)
    if (known) return known
    // An engine discards parts computed with earlier weights; a store retains them.
    if (location.kind === 'engine') versions.clear()
    const created = { location: formatLocationId(location, version), version, tokens: new Map() }
    versions.set(version, created)
    return created
  }
  const isOutdated = (location: CacheLocation, version: number) => {
    if (location.kind === 'store') return false
    return Math.max(...openVersions(location).keys(), 0) > version
  }
  const apply: CacheDirectory['apply'] = (location, changes) => {
    const reported = new Map<number, Map<number, number>>()
    for (const { scope, id, tokens } of changes) {
      const version = parseScopeVersion(scope)
      if (version === undefined || isOutdated(location, version)) continue
      const hash = hashPromptPart(scope, id)
      const parts = openParts(location, version).tokens
      if (tokens > 0) parts.set(hash, tokens)
      else parts.delete(hash)
      reported.set(version, (reported.get(version) ?? new Map<number, number>()).set(hash, tokens))
    }
    return [...reported].map(([version, last]) => {
      return [formatLocationId(location, version), version, ...[...last].flat()]
    })
  }
  const listVersions = () =>
    [...locations.values()]
      .flatMap((versions) => [...versions.values()])
      .filter(({ tokens }) => tokens.size > 0)
  const readPage: CacheDirectory['readPage'] = ({ after, left }, maxParts) => {
    if (left <= 0) return { placements: [], cursor: { after, left: 0 } }
    const ordered = listVersions().sort((a, b) => (a.location < b.location ? -1 : 1))
    const reported = ordered.filter(({ location: location }) => location <= after)
    // Wraps around after the last name.
    const remaining = [...ordered.slice(reported.length), ...reported].slice(0, left)
    let parts = 0
    const end = remaining.findIndex(({ tokens }, index) => {
      parts += tokens.size
      return index > 0 && parts > maxParts
    })
    const page = end === -1 ? remaining : remaining.slice(0, end)
    return {
      placements: page.map(buildPlacement),
      cursor: { after: page.at(-1)?.location ?? after, left: remaining.length - page.length },
    }
  }
  return {
    apply,
    replace: (location, parts) => {
      const listed = new Set(parts.map(({ scope, id }) => hashPromptPart(scope, id)))
      const gone: Placement[] = []
      for (const { location: name, version, tokens } of openVersions(location).values()) {
        const missing = [...tokens.keys()].filter((hash) => !listed.has(hash))
        for (const hash of missing) tokens.delete(hash)
        if (missing.length > 0) gone.push([name, version, ...missing.flatMap((hash) => [hash, 0])])
      }
      return [...gone, ...apply(location, parts)]
    },
    forget: (location) => void locations.delete(formatLocationKey(location)),
    list: () => listVersions().map(buildPlacement),
    readPage,
  }
}
