/** `spoolgate versions`: the software versions of the backend servers of each group, as the leader knows them. */
import { VERSIONS_PATH, type VersionStatus } from '@spoolgate/control'
import { command } from 'cmd-ts'
import { leaderQueryArgs, printFromLeader } from './leaderQuery.js'
import { formatTable } from './table.js'

const HEAD = ['group', 'version', 'ready', 'draining', 'calls', 'state']

/** Formats what the leader knows, a row for each group and version. */
export function formatVersions(versions: readonly VersionStatus[]): string {
  const rows = versions.map(({ group, version, ready, draining, calls, isOpen }) => [
    group,
    version === '' ? '-' : version,
    String(ready),
    String(draining),
    String(calls),
    isOpen ? 'open' : 'held until all routers know it',
  ])
  return rows.length === 0 ? 'no backend server has registered' : formatTable(HEAD, rows)
}

/** `spoolgate versions` */
export const versionsCommand = command({
  name: 'versions',
  description:
    'lists the software versions of the backend servers; example: spoolgate versions --control http://10.0.0.1:7000',
  args: leaderQueryArgs,
  handler: (query) =>
    printFromLeader<readonly VersionStatus[]>(query, VERSIONS_PATH, formatVersions),
})
