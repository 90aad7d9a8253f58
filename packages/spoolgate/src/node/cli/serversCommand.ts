/** `spoolgate servers`: the backend servers with their speeds, loads and limits, as the leader knows them. */
import { SERVERS_PATH, type ServerStatus } from '@spoolgate/control'
import { command } from 'cmd-ts'
import { leaderQueryArgs, printFromLeader } from './leaderQuery.js'
import { formatTable } from './table.js'

const PERCENT = 100
const MS_PER_S = 1_000
const HEAD = [
  'server',
  'hall',
  'version',
  'state',
  'speed',
  'calls',
  'unread tokens',
  'age',
  'limits',
  'backoff',
]

function formatOrNone(value: number | null, format: (value: number) => string): string {
  return value === null ? '-' : format(value)
}

/** Formats what the leader knows, a row for each server. */
export function formatServers(statuses: readonly ServerStatus[]): string {
  const rows = statuses.map((status) => [
    status.server,
    status.hall,
    status.softwareVersion ?? '-',
    status.state,
    formatOrNone(status.percent, (percent) => (percent / PERCENT).toFixed(2)),
    String(status.calls),
    String(status.promptTokens),
    formatOrNone(status.ageMs, (ageMs) => `${(ageMs / MS_PER_S).toFixed(1)} s`),
    formatOrNone(status.perSecond, (perSecond) => `${perSecond}/s`),
    status.backoffs === 0 ? '-' : `${status.backoffs} routers`,
  ])
  return formatTable(HEAD, rows)
}

/** `spoolgate servers` */
export const serversCommand = command({
  name: 'servers',
  description:
    'lists the backend servers and their speeds; example: spoolgate servers --control http://10.0.0.1:7000',
  args: leaderQueryArgs,
  handler: (query) => printFromLeader<readonly ServerStatus[]>(query, SERVERS_PATH, formatServers),
})
