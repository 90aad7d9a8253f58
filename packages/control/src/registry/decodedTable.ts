/** The routing table of a control instance, decoded once per version. */
import type { Logger } from '@spoolgate/core'
import type { RoutingTable, TeamQuota } from '@spoolgate/routing'
import { formatQuotaKey } from './quotaProtocol.js'
import type { TableState } from '../state/tableState.js'

/** Options of {@link createDecodedTable}. */
export interface DecodedTableOptions {
  readonly table: Pick<TableState, 'current'>
  /** Decodes the operators' document; throws if this version cannot read it. */
  readonly decodeTable: (document: string) => RoutingTable
  readonly logger: Logger
}

/** See {@link createDecodedTable}. */
export interface DecodedTable {
  /** The newest readable table; undefined before the first. */
  current(): RoutingTable | undefined
  /** Whether servers may serve a group: it is in the table, or there is no table yet. */
  isKnownGroup(name: string): boolean
  /** Finds a team's quota by its `formatQuotaKey`; undefined if the team has none in that unit. */
  findQuota(key: string): TeamQuota | undefined
}

function listQuotas({ teams = [] }: RoutingTable): ReadonlyMap<string, TeamQuota> {
  return new Map(
    teams.flatMap(({ id, quota }) => (quota ? [[formatQuotaKey(id, quota.unit), quota]] : [])),
  )
}

/** Creates the decoded view of an instance's table. */
export function createDecodedTable({
  table,
  decodeTable,
  logger,
}: DecodedTableOptions): DecodedTable {
  let decodedVersion: number | undefined
  let decoded: RoutingTable | undefined
  let groups: ReadonlySet<string> = new Set()
  let quotas: ReadonlyMap<string, TeamQuota> = new Map()

  const current = () => {
    const held = table.current()
    if (!held || held.version === decodedVersion) return decoded
    decodedVersion = held.version
    try {
      decoded = decodeTable(held.document)
      groups = new Set(decoded.groups.map(({ name }) => name))
      quotas = listQuotas(decoded)
    } catch (cause) {
      // Only a table written for a newer version of this program gets here; the previous one stays in use.
      logger.error('table.unreadable', { version: held.version, reason: String(cause) })
    }
    return decoded
  }
  return {
    current,
    isKnownGroup: (name) => current() === undefined || groups.has(name),
    findQuota: (key) => {
      current()
      return quotas.get(key)
    },
  }
}
