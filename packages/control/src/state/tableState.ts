/**
 * The part of the replicated state that holds the operators' routing table. The document is kept as
 * it was sent, so that reading it back returns the same text; the highest version holds.
 */
import {
  applyTableUpdate,
  buildTableUpdate,
  NO_TABLE_VERSION,
  type VersionedTable,
  type TableUpdate,
} from '../table/tableUpdate.js'

/** Puts a routing table. The document was checked before it was proposed. */
export type PutTable = PutTableUpdate | PutTableDocument

/** As it is proposed: what changes against the version that is held where the entry is applied. */
export interface PutTableUpdate {
  readonly kind: 'table.put'
  readonly version: number
  readonly update: TableUpdate
}

/** As logs of versions before 0.4 hold it. */
export interface PutTableDocument {
  readonly kind: 'table.put'
  readonly version: number
  readonly document: string
}

/** What became of {@link PutTable}. */
export interface PutTableResult {
  /** False when the version held is as high or higher; nothing changed then. */
  readonly isNewer: boolean
  /** Version held afterwards. */
  readonly version: number
  /**
   * True when the update was built against another version than the one held: another change came
   * between. Nothing changed, and the change must be proposed once more.
   */
  readonly isBaseMissing?: boolean
}

/** The table as a snapshot holds it; before version 0.4 it was the document itself. */
export type SavedTable = TableUpdate | VersionedTable

/** The table held. */
export interface TableState {
  /** Undefined before the first. */
  current(): VersionedTable | undefined
  put(command: PutTable): PutTableResult
  save(): SavedTable | null
  load(saved: SavedTable | null): void
}

function toVersionedTable(saved: SavedTable): VersionedTable {
  if ('document' in saved) return saved
  const held = applyTableUpdate(undefined, saved)
  if (held) return held
  // The snapshot's own checksum was right, so this is a fault of the program and not of the disk.
  throw new Error(`the table of version ${saved.version} in the snapshot cannot be unpacked`)
}

/** Creates a state without a table. */
export function createTableState(): TableState {
  let current: VersionedTable | undefined

  const buildNextTable = (command: PutTable): VersionedTable | undefined => {
    if ('update' in command) return applyTableUpdate(current, command.update)
    return { version: command.version, document: command.document }
  }
  return {
    current: () => current,
    put: (command) => {
      const before = current?.version ?? NO_TABLE_VERSION
      if (current && command.version <= before) return { isNewer: false, version: before }
      const next = buildNextTable(command)
      if (!next) return { isNewer: false, version: before, isBaseMissing: true }
      current = next
      return { isNewer: true, version: next.version }
    },
    save: () => (current ? buildTableUpdate(undefined, current) : null),
    load: (saved) => {
      current = saved ? toVersionedTable(saved) : undefined
    },
  }
}
