/**
 * Serialises writes of the routing table at the leader: each is appended to the log as a patch against the previous
 * version.
 */
import { BODY_LIMITS, SpoolgateError, type Logger } from '@spoolgate/core'
import type { RaftMember } from '../raft/types.js'
import type { PutTableResult, TableState } from '../state/tableState.js'
import {
  buildTableUpdate,
  measureUpdate,
  type TableUpdate,
  type VersionedTable,
} from '../table/tableUpdate.js'

/** Options of {@link createTableWriter}. */
export interface TableWriterOptions {
  readonly member: Pick<RaftMember, 'propose'>
  readonly table: Pick<TableState, 'current'>
  readonly logger: Logger
}

/** See {@link createTableWriter}. */
export interface TableWriter {
  /**
   * Writes a table; resolves once the outcome is known.
   * @throws SpoolgateError `notLeader`, or `controlUnavailable` if the outcome is unknown.
   */
  put(table: VersionedTable): Promise<PutTableResult>
}

/** @throws SpoolgateError `oversizeBody` for a table that would not fit into a message between members. */
function checkSize(update: TableUpdate): void {
  const { maxBytes } = BODY_LIMITS.table
  if (measureUpdate(update) > maxBytes)
    throw new SpoolgateError('oversizeBody', `send a table of at most ${maxBytes} bytes packed`)
}

/** Creates the queue of table writes. */
export function createTableWriter({ member, table, logger }: TableWriterOptions): TableWriter {
  let queueTail: Promise<unknown> = Promise.resolve()

  const propose = async (before: VersionedTable | undefined, next: VersionedTable) => {
    const update = buildTableUpdate(before, next)
    checkSize(update)
    const { version } = next
    const result = (await member.propose({ kind: 'table.put', version, update })) as PutTableResult
    logger.info('table.put', {
      sent: version,
      ...result,
      base: update.base,
      bytes: measureUpdate(update),
    })
    return result
  }
  const putNow = async (next: VersionedTable): Promise<PutTableResult> => {
    const held = table.current()
    // The applied table is committed, so a version that is not newer needs no log entry.
    if (held && next.version <= held.version) return { isNewer: false, version: held.version }
    const result = await propose(held, next)
    if (!result.isBaseMissing) return result
    // An entry of an earlier leader was applied in between. The full table applies to any version.
    return propose(undefined, next)
  }
  return {
    put: (next) => {
      const put = queueTail.then(() => putNow(next))
      queueTail = put.catch(() => {
        // The caller of `put` receives the error; the next write does not depend on it.
      })
      return put
    },
  }
}
