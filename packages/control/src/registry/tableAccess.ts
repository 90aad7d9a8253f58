/** Lets operators write and read the full routing table at any control instance, whichever instance leads. */
import { SpoolgateError } from '@spoolgate/core'
import type { PutTableResult, TableState } from '../state/tableState.js'
import {
  applyTableUpdate,
  buildTableUpdate,
  NO_TABLE_VERSION,
  type VersionedTable,
} from '../table/tableUpdate.js'
import type { FleetOperationRunner } from './fleetOperations.js'

/** Options of {@link createTableAccess}. */
export interface TableAccessOptions {
  readonly operator: Pick<FleetOperationRunner, 'run'>
  /** The table of this instance, which may lag behind the leader. */
  readonly table: Pick<TableState, 'current'>
}

/** See {@link createTableAccess}. */
export interface TableAccess {
  /**
   * Writes a table whose document has been validated.
   * @throws SpoolgateError `controlUnavailable` if the outcome of the write is unknown.
   */
  put(table: VersionedTable): Promise<PutTableResult>
  /**
   * Reads the newest table.
   * @throws SpoolgateError `controlUnavailable` if no instance can confirm which one is the newest.
   */
  read(): Promise<VersionedTable>
}

/** Creates the table access of one instance. */
export function createTableAccess({ operator, table }: TableAccessOptions): TableAccess {
  return {
    put: (next) => operator.run('putTable', { whole: buildTableUpdate(undefined, next) }),
    read: async () => {
      const held = table.current()
      // The leader confirms the newest version number; this instance usually holds the document already.
      const { version, whole } = await operator.run('readTable', {
        heldVersion: held?.version ?? NO_TABLE_VERSION,
      })
      if (held && held.version === version) return held
      const newest = whole && applyTableUpdate(undefined, whole)
      if (newest) return newest
      throw new SpoolgateError(
        'controlUnavailable',
        'received a corrupt routing table; retry the request',
      )
    },
  }
}
