/** Decodes routing tables, each document once, however many parts of an instance read it. */
import type { Logger } from '@spoolgate/core'
import type { RoutingTable } from '@spoolgate/routing'
import type { TeamIsolation } from './cacheEpoch.js'

/** See {@link createTableDecoder}. */
export interface TableDecoder {
  /** Decodes a document; throws if this version cannot read it. */
  decode(document: string): RoutingTable
  /** Lists the teams of a document; undefined if this version cannot read it. */
  listTeams(document: string): readonly TeamIsolation[] | undefined
}

/** Creates a decoder that keeps the last table. */
export function createTableDecoder(
  decodeTable: (document: string) => RoutingTable,
  logger: Logger,
): TableDecoder {
  let last: { readonly document: string; readonly table: RoutingTable } | undefined
  const decode = (document: string) => {
    if (last?.document !== document) last = { document, table: decodeTable(document) }
    return last.table
  }
  return {
    decode,
    listTeams: (document) => {
      try {
        return decode(document).teams ?? []
      } catch (cause) {
        // Only a table written for a newer version of this program gets here.
        logger.error('table.teamsUnknown', { reason: String(cause) })
        return undefined
      }
    },
  }
}
