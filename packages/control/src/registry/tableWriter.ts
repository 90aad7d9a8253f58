/**
 * Changes of the routing table at the leader, one after the other: each is put into the log as what it
 * changes against the version before it.
 */
import type { Logger } from '@spoolgate/core'
import type { RaftMember } from '../raft/types.js'
import type { PutTableResult, TableState } from '../state/tableState.js'
import { buildTableUpdate, measureUpdate, type HeldTable } from '../table/tableUpdate.js'

/** Options of {@link createTableWriter}. */
export interface TableWriterOptions {
  readonly member: Pick<RaftMember, 'propose'>
  readonly table: Pick<TableState, 'current'>
  readonly logger: Logger
}

/** See {@link createTableWriter}. */
export interface TableWriter {
  /**
   * Puts a table; resolves once it is known what became of it.
   * @throws SpoolgateError `notLeader`, or `controlUnavailable` when the outcome is not known.
   */
  put(table: HeldTable): Promise<PutTableResult>
}

/** Creates the queue. */
export function createTableWriter({ member, table, logger }: TableWriterOptions): TableWriter {
  let queueTail: Promise<unknown> = Promise.resolve()

  const propose = async (before: HeldTable | undefined, next: HeldTable) => {
    const update = buildTableUpdate(before, next)
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
  const putNow = async (next: HeldTable): Promise<PutTableResult> => {
    const held = table.current()
    // What is applied here is committed, so a version that is not above it needs no entry of its own.
    if (held && next.version <= held.version) return { isNewer: false, version: held.version }
    const result = await propose(held, next)
    if (!result.isBaseMissing) return result
    // An entry of an earlier leader came between. The whole table fits whatever is held.
    return propose(undefined, next)
  }
  return {
    put: (next) => {
      const put = queueTail.then(() => putNow(next))
      queueTail = put.catch(() => {
        // Reported to whoever sent it; the next change does not depend on it.
      })
      return put
    },
  }
}
