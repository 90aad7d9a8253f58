/**
 * Recent versions of the routing table on one control instance, with the update from each to the newest version.
 * An update is built once, regardless of the number of routers that request it, and skips intermediate versions.
 */
import type { Observable } from 'rxjs'
import { buildTableUpdate, type VersionedTable, type TableUpdate } from './tableUpdate.js'

/** Options of {@link createTableHistory}. */
export interface TableHistoryOptions {
  /** Newest table; undefined until a table is stored. */
  readonly current: () => VersionedTable | undefined
  /** Emits after each change of the table; may also emit without a change. */
  readonly changes: Observable<unknown>
}

/** See {@link createTableHistory}. */
export interface TableHistory {
  /**
   * Finds the update from a version to the newest one; the full table for versions that are not in the history.
   * Undefined when there is no newer version.
   */
  findUpdate(from: number): TableUpdate | undefined
}

/**
 * Maximum number of versions in the history. Routers poll several times a second and operators keep at most eight
 * changes in flight, so a connected router lags behind by fewer versions.
 */
const MAX_VERSIONS = 16
/** Maximum total characters of the stored documents: 16 of 5,000 routes (1.3 MB each), or four of 4 MiB. */
const MAX_DOCUMENT_CHARACTERS = 21_000_000

/** Creates a history that starts with the current version. */
export function createTableHistory({ current, changes }: TableHistoryOptions): TableHistory {
  /** Versions by number, from oldest to newest. */
  const versions = new Map<number, VersionedTable>()
  /** Updates by base version; the key is undefined for the full table. */
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
