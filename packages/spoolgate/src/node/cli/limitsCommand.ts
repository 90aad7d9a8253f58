/** `spoolgate limits`: the limits of teams, and what routers use of them, as the leader knows it. */
import { QUOTA_PATH, type QuotaStatus } from '@spoolgate/control'
import { createHttpClient } from '@spoolgate/core'
import { command, flag, option, string } from 'cmd-ts'
import { printLine } from './exit.js'
import { fetchFromLeader, splitUrls } from './leaderQuery.js'
import { formatTable } from './table.js'

/** Routers with refusals that a row names. */
const MAX_ROUTERS = 3

function formatRefused(refusedByRouter: QuotaStatus['refusedByRouter']): string {
  const refusing = Object.entries(refusedByRouter).filter(([, count]) => count > 0)
  refusing.sort(([, a], [, b]) => b - a)
  const shown = refusing.slice(0, MAX_ROUTERS).map(([router, count]) => `${router}:${count}`)
  return [...shown, ...(refusing.length > MAX_ROUTERS ? ['…'] : [])].join(' ') || '-'
}

/** Formats what the leader knows, a row for each team. */
export function formatLimits(statuses: readonly QuotaStatus[]): string {
  const rows = statuses.map((status) => [
    status.team,
    `${status.perSecond} ${status.unit}/s`,
    String(status.burst),
    String(Math.round(status.level)),
    String(Math.round(status.held)),
    status.isScarce ? 'scarce' : 'free',
    formatRefused(status.refusedByRouter),
  ])
  return formatTable(['team', 'limit', 'burst', 'left', 'at routers', 'state', 'refused'], rows)
}

/** `spoolgate limits` */
export const limitsCommand = command({
  name: 'limits',
  description:
    'lists the limits of teams and who uses them; example: spoolgate limits --control http://10.0.0.1:7000',
  args: {
    control: option({
      long: 'control',
      type: string,
      description: 'URLs of the control instances, separated by commas',
      env: 'SPOOLGATE_CONTROL',
    }),
    json: flag({ long: 'json', description: 'prints JSON, with all routers' }),
  },
  handler: async ({ control, json }) => {
    const client = createHttpClient()
    const urls = splitUrls(control)
    try {
      const statuses = await fetchFromLeader<QuotaStatus[]>(client, urls, QUOTA_PATH)
      printLine(json ? JSON.stringify(statuses, null, 2) : formatLimits(statuses))
    } finally {
      client.close()
    }
  },
})
