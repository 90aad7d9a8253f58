/**
 * Replicated routing table of the operators. The document is stored as it was sent, so that reading it returns the
 * same text. The highest version is in force. With it goes the epoch of the cached parts that teams share.
 */
import { buildNextEpoch, type CacheEpoch, type TeamIsolation } from '../table/cacheEpoch.js'
import {
  applyTableUpdate,
  buildTableUpdate,
  NO_TABLE_VERSION,
  type VersionedTable,
  type TableUpdate,
} from '../table/tableUpdate.js'

/** Stores a routing table. The document is validated before the command is proposed. */
export type PutTable = PutTableUpdate | PutTableDocument

/** Current format: an update that applies to the version stored when the entry is applied. */
export interface PutTableUpdate {
  readonly kind: 'table.put'
  readonly version: number
  readonly update: TableUpdate
}

/** Format in logs written before version 0.4: the full document. */
export interface PutTableDocument {
  readonly kind: 'table.put'
  readonly version: number
  readonly document: string
}

/** Result of {@link PutTable}. */
export interface PutTableResult {
  /** Whether the table was stored; false when the stored version is as high, or when the update did not apply. */
  readonly isNewer: boolean
  /** Version stored after the command. */
  readonly version: number
  /**
   * True when the update was built against a version other than the stored one, because another change was applied
   * first. Nothing changed, and the change must be proposed again.
   */
  readonly isBaseMissing?: boolean
}

/**
 * Table as stored in a snapshot; before version 0.4, the version with its full document. The epoch is absent before
 * version 0.12, and where it is unknown.
 */
export type SavedTable = (TableUpdate | VersionedTable) & { readonly cacheEpoch?: CacheEpoch }

/** Options of {@link createTableState}. */
export interface TableStateOptions {
  /**
   * Lists the teams of a document; undefined if it has none that can be read.
   * @default undefined, the teams are unknown: no parts are shared across versions
   */
  readonly listTeams?: (document: string) => readonly TeamIsolation[] | undefined
}

/** Current routing table. */
export interface TableState {
  /** Undefined until a table is stored. */
  current(): VersionedTable | undefined
  put(command: PutTable): PutTableResult
  save(): SavedTable | null
  load(saved: SavedTable | null): void
}

function toVersionedTable(saved: SavedTable): VersionedTable {
  if ('document' in saved) return saved
  const held = applyTableUpdate(undefined, saved)
  if (held) return held
  // The checksum of the snapshot matched, so this is a software error rather than disk corruption.
  throw new Error(`cannot decode routing table version ${saved.version} from the snapshot`)
}

/** Creates a state without a routing table. */
export function createTableState({ listTeams }: TableStateOptions = {}): TableState {
  let current: VersionedTable | undefined
  let epoch: CacheEpoch | undefined

  /** Installs a table; an epoch that is unknown consists of the table alone. */
  const install = ({ version, document }: VersionedTable, next: CacheEpoch | undefined) => {
    epoch = next
    current = { version, document, sharedSince: next?.sharedSince ?? version }
  }
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
      install(next, buildNextEpoch(epoch, next.version, listTeams?.(next.document)))
      return { isNewer: true, version: next.version }
    },
    save: () => {
      if (!current) return null
      const { version, document } = current
      const update = buildTableUpdate(undefined, { version, document })
      return epoch ? { ...update, cacheEpoch: epoch } : update
    },
    load: (saved) => {
      current = undefined
      epoch = undefined
      if (saved) install(toVersionedTable(saved), saved.cacheEpoch)
    },
  }
}
