/**
 * Which prompt parts each engine and store keeps, as the leader learns it from their cache events,
 * in the form in which routers receive it: placements whose parts have 0 tokens are gone.
 */
import { formatStoreId, hashPart, parseScopeVersion } from '@spoolgate/routing'
import type { CacheListCursor, Placement } from './feed.js'

/** A part of a prompt as an engine or store keeps it. */
export interface CacheEntry {
  /** What the part was read under. */
  readonly scope: string
  readonly id: string
  /** Tokens of it that are kept now; 0 once it is gone. */
  readonly tokens: number
}

/** Where parts are kept. */
export type CacheLocation =
  | { readonly kind: 'engine'; readonly id: string; readonly address: string }
  | { readonly kind: 'store'; readonly address: string; readonly epoch: number }

/** The index; see {@link createCacheDirectory}. */
export interface CacheDirectory {
  /**
   * Applies changes at a place, in order; returns what is to be reported to routers, each part once with
   * the tokens that are left of it in the end.
   */
  apply(place: CacheLocation, changes: readonly CacheEntry[]): Placement[]
  /** Replaces all that is known of a place by a full list; returns the differences. */
  replace(place: CacheLocation, parts: readonly CacheEntry[]): Placement[]
  /** Forgets a place that is gone. */
  forget(place: CacheLocation): void
  /** Lists all that is kept. */
  list(): Placement[]
  /**
   * Takes the next places of the list for a router that stands at a position in it: as many as hold
   * `maxParts`, and one at least. A position whose `left` is larger than the list means all of it.
   */
  readPage(position: CacheListCursor, maxParts: number): CacheListPage
}

/** A piece of the list of all that is kept. */
export interface CacheListPage {
  readonly placements: readonly Placement[]
  /** Where the router stands once it has the piece. */
  readonly cursor: CacheListCursor
}

interface VersionEntries {
  readonly location: string
  readonly version: number
  /** Tokens by the hash of the part. */
  readonly tokens: Map<number, number>
}

/** Name of a place for one weights version, as routers know it. */
function formatLocationId(place: CacheLocation, version: number): string {
  if (place.kind === 'engine') return place.id
  return formatStoreId(place.address, place.epoch, version)
}

function formatLocationKey(place: CacheLocation): string {
  return place.kind === 'engine' ? place.id : `${place.address}/${place.epoch}`
}

function buildPlacement({ location: place, version, tokens }: VersionEntries): Placement {
  return [place, version, ...[...tokens].flat()]
}

/** Creates an index that knows of nothing. */
export function createCacheDirectory(): CacheDirectory {
  const locations = new Map<string, Map<number, VersionEntries>>()

  const openVersions = (place: CacheLocation) => {
    const key = formatLocationKey(place)
    const versions = locations.get(key) ?? new Map<number, VersionEntries>()
    locations.set(key, versions)
    return versions
  }
  const openParts = (place: CacheLocation, version: number) => {
    const versions = openVersions(place)
    const known = versions.get(version)
    if (known) return known
    // An engine drops what it read under earlier weights; a store keeps it.
    if (place.kind === 'engine') versions.clear()
    const created = { location: formatLocationId(place, version), version, tokens: new Map() }
    versions.set(version, created)
    return created
  }
  const isOutdated = (place: CacheLocation, version: number) => {
    if (place.kind === 'store') return false
    return Math.max(...openVersions(place).keys(), 0) > version
  }
  const apply: CacheDirectory['apply'] = (place, changes) => {
    const reported = new Map<number, Map<number, number>>()
    for (const { scope, id, tokens } of changes) {
      const version = parseScopeVersion(scope)
      if (version === undefined || isOutdated(place, version)) continue
      const hash = hashPart(scope, id)
      const parts = openParts(place, version).tokens
      if (tokens > 0) parts.set(hash, tokens)
      else parts.delete(hash)
      reported.set(version, (reported.get(version) ?? new Map<number, number>()).set(hash, tokens))
    }
    return [...reported].map(([version, last]) => {
      return [formatLocationId(place, version), version, ...[...last].flat()]
    })
  }
  const listVersions = () =>
    [...locations.values()]
      .flatMap((versions) => [...versions.values()])
      .filter(({ tokens }) => tokens.size > 0)
  const readPage: CacheDirectory['readPage'] = ({ after, left }, maxParts) => {
    if (left <= 0) return { placements: [], cursor: { after, left: 0 } }
    const ordered = listVersions().sort((a, b) => (a.location < b.location ? -1 : 1))
    const reported = ordered.filter(({ location: place }) => place <= after)
    // Behind the last name comes the first again.
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
    replace: (place, parts) => {
      const listed = new Set(parts.map(({ scope, id }) => hashPart(scope, id)))
      const gone: Placement[] = []
      for (const { location: name, version, tokens } of openVersions(place).values()) {
        const missing = [...tokens.keys()].filter((hash) => !listed.has(hash))
        for (const hash of missing) tokens.delete(hash)
        if (missing.length > 0) gone.push([name, version, ...missing.flatMap((hash) => [hash, 0])])
      }
      return [...gone, ...apply(place, parts)]
    },
    forget: (place) => void locations.delete(formatLocationKey(place)),
    list: () => listVersions().map(buildPlacement),
    readPage,
  }
}
