/** `spoolgate queues`: requests that wait at routers for an engine with capacity, as the leader knows them. */
import { QUEUES_PATH, type RouterQueue } from '@spoolgate/control'
import { command } from 'cmd-ts'
import { leaderQueryArgs, printFromLeader } from './leaderQuery.js'
import { formatTable } from './table.js'

const HEAD = ['router', 'band', 'waiting', 'oldest ms', 'refused/s']

/** Formats what the leader knows, a row for each router and band. */
export function formatQueues(queues: readonly RouterQueue[]): string {
  const rows = queues.flatMap(({ router, bands }) =>
    bands.map(({ band, waiting, oldestMs, refusedPerSecond }) => [
      router,
      String(band),
      String(waiting),
      waiting === 0 ? '-' : String(oldestMs),
      refusedPerSecond.toFixed(1),
    ]),
  )
  return rows.length === 0 ? 'no requests wait at routers' : formatTable(HEAD, rows)
}

/** `spoolgate queues` */
export const queuesCommand = command({
  name: 'queues',
  description:
    'lists the requests that wait at routers while engines are full; example: spoolgate queues --control http://10.0.0.1:7000',
  args: leaderQueryArgs,
  handler: (args) => printFromLeader(args, QUEUES_PATH, formatQueues),
})
