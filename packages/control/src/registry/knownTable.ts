/** The routing table of a control instance, decoded once for each version. */
import type { Logger } from '@spoolgate/core'
import type { RoutingTable, TeamQuota } from '@spoolgate/routing'
import { formatQuotaKey } from './quotaProtocol.js'
import type { TableState } from '../state/tableState.js'

/** Options of {@link createKnownTable}. */
export interface KnownTableOptions {
  readonly table: Pick<TableState, 'current'>
  /** Decodes the operators' document; throws for one that this version cannot read. */
  readonly decodeTable: (document: string) => RoutingTable
  readonly logger: Logger
}

/** See {@link createKnownTable}. */
export interface KnownTable {
  /** The newest that can be read; undefined before the first. */
  current(): RoutingTable | undefined
  /** Whether servers may serve a group: it is in the table, or there is no table yet. */
  isKnownGroup(name: string): boolean
  /** Finds a team's quota by its `formatQuotaKey`; undefined for none of that unit. */
  findQuota(key: string): TeamQuota | undefined
}

function listQuotas({ teams = [] }: RoutingTable): ReadonlyMap<string, TeamQuota> {
  return new Map(
    teams.flatMap(({ id, quota }) => (quota ? [[formatQuotaKey(id, quota.unit), quota]] : [])),
  )
}

/** Creates the reader of an instance's table. */
export function createKnownTable({ table, decodeTable, logger }: KnownTableOptions): KnownTable {
  let readVersion: number | undefined
  let known: RoutingTable | undefined
  let groups: ReadonlySet<string> = new Set()
  let quotas: ReadonlyMap<string, TeamQuota> = new Map()

  const current = () => {
    const held = table.current()
    if (!held || held.version === readVersion) return known
    readVersion = held.version
    try {
      known = decodeTable(held.document)
      groups = new Set(known.groups.map(({ name }) => name))
      quotas = listQuotas(known)
    } catch (cause) {
      // Only a table of a newer version of this program comes here; the one before stays known.
      logger.error('table.unreadable', { version: held.version, reason: String(cause) })
    }
    return known
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
