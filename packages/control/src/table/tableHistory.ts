/**
 * The last versions of the table at one control instance, and the updates that lead from each to the newest.
 * An update is built once, however many routers ask for it; versions between are skipped.
 */
import type { Observable } from 'rxjs'
import { buildTableUpdate, type VersionedTable, type TableUpdate } from './tableUpdate.js'

/** Options of {@link createTableHistory}. */
export interface TableHistoryOptions {
  /** The newest table; undefined before the first. */
  readonly current: () => VersionedTable | undefined
  /** Emits after each change of the table, and at times without one. */
  readonly changes: Observable<unknown>
}

/** See {@link createTableHistory}. */
export interface TableHistory {
  /**
   * Finds the update from a version to the newest: the whole table for versions that are not remembered.
   * Undefined when there is none newer.
   */
  findUpdate(from: number): TableUpdate | undefined
}

/**
 * Earlier versions that are remembered. Routers poll several times a second and operators keep eight changes
 * in flight, so that a router that is in touch lags behind by fewer.
 */
const MAX_VERSIONS = 16
/** Characters of all documents that are remembered: 16 of 5,000 routes, 1.3 MB each, or four of 4 MiB. */
const MAX_DOCUMENT_CHARACTERS = 21_000_000

/** Creates a history that begins with the version held now. */
export function createTableHistory({ current, changes }: TableHistoryOptions): TableHistory {
  /** Versions by number, the oldest first; the last is the newest. */
  const versions = new Map<number, VersionedTable>()
  /** By the version that each is applied to; undefined for the whole table. */
  const updates = new Map<number | undefined, TableUpdate>()

  const countCharacters = () =>
    [...versions.values()].reduce((sum, { document }) => sum + document.length, 0)
  const isOverLimit = () =>
    versions.size > MAX_VERSIONS || countCharacters() > MAX_DOCUMENT_CHARACTERS
  const recordNewest = () => {
    const newest = current()
    if (!newest || versions.has(newest.version)) return
    versions.set(newest.version, newest)
    updates.clear()
    while (versions.size > 1 && isOverLimit()) {
      versions.delete(versions.keys().next().value as number)
    }
  }
  recordNewest()
  changes.subscribe(recordNewest)
  return {
    findUpdate: (from) => {
      const newest = current()
      if (!newest || newest.version <= from) return undefined
      const before = versions.get(from)
      const update = updates.get(before?.version) ?? buildTableUpdate(before, newest)
      updates.set(before?.version, update)
      return update
    },
  }
}
