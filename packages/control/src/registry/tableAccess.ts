/** The routing table for operators at any control instance: put and read, whole, wherever the leader is. */
import { SpoolgateError } from '@spoolgate/core'
import type { PutTableResult, TableState } from '../state/tableState.js'
import {
  applyTableUpdate,
  buildTableUpdate,
  NO_TABLE_VERSION,
  type HeldTable,
} from '../table/tableUpdate.js'
import type { FleetOperationRunner } from './fleetOperations.js'

/** Options of {@link createTableAccess}. */
export interface TableAccessOptions {
  readonly operator: Pick<FleetOperationRunner, 'run'>
  /** The table of this instance, which may be behind. */
  readonly table: Pick<TableState, 'current'>
}

/** See {@link createTableAccess}. */
export interface TableAccess {
  /**
   * Puts a table whose document was checked.
   * @throws SpoolgateError `controlUnavailable` when it is not known whether it was accepted.
   */
  put(table: HeldTable): Promise<PutTableResult>
  /**
   * Reads the newest table.
   * @throws SpoolgateError `controlUnavailable` when nobody can be sure which one that is.
   */
  read(): Promise<HeldTable>
}

/** Creates the access of one instance. */
export function createTableAccess({ operator, table }: TableAccessOptions): TableAccess {
  return {
    put: (next) => operator.run('putTable', { whole: buildTableUpdate(undefined, next) }),
    read: async () => {
      const held = table.current()
      // What the leader proves is the number of the newest version; its text is mostly here already.
      const { version, whole } = await operator.run('readTable', {
        heldVersion: held?.version ?? NO_TABLE_VERSION,
      })
      if (held && held.version === version) return held
      const newest = whole && applyTableUpdate(undefined, whole)
      if (newest) return newest
      throw new SpoolgateError('controlUnavailable', 'the table came damaged; ask again')
    },
  }
}
