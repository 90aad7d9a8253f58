/** `spoolgate quarantine`: parts of prompts and requests that routers refuse, as the leader knows them. */
import { QUARANTINE_PATH, RELEASE_PATH, type QuarantineStatus } from '@spoolgate/control'
import { command, option, optional, string } from 'cmd-ts'
import { leaderQueryArgs, printFromLeader, sendToLeader } from './leaderQuery.js'
import { printLine } from './exit.js'
import { formatTable } from './table.js'

const HEAD = ['kind', 'name', 'round', 'since', 'refused', 'tried in', 'servers that crashed']
const NOTHING = 'nothing is in quarantine'
const UNKNOWN = '-'
const MS_PER_S = 1_000

function formatTrial(trialInMs: number | undefined): string {
  return trialInMs === undefined ? 'once asked for' : `${Math.ceil(trialInMs / MS_PER_S)} s`
}

/** Formats what the leader knows, a row for each part and request. */
export function formatQuarantine({ parts, requests }: QuarantineStatus): string {
  const partRows = parts.map(({ part, round, since, rejections, trialInMs, servers }) => [
    'part',
    part,
    String(round),
    new Date(since).toISOString(),
    String(rejections),
    formatTrial(trialInMs),
    servers.join(' '),
  ])
  const requestRows = requests.map(({ request, round }) => [
    'request',
    request,
    String(round),
    ...Array.from({ length: HEAD.length - 3 }, () => UNKNOWN),
  ])
  const rows = [...partRows, ...requestRows]
  return rows.length === 0 ? NOTHING : formatTable(HEAD, rows)
}

/** `spoolgate quarantine` */
export const quarantineCommand = command({
  name: 'quarantine',
  description:
    'lists the parts of prompts and the requests that are refused because servers crashed under them, or releases one; example: spoolgate quarantine --control http://10.0.0.1:7000 --release-part 5c1e07a2',
  args: {
    ...leaderQueryArgs,
    releasePart: option({
      long: 'release-part',
      type: optional(string),
      description: 'releases this part, for instance once the engines are fixed',
    }),
    releaseRequest: option({
      long: 'release-request',
      type: optional(string),
      description: 'releases the request with this fingerprint',
    }),
  },
  handler: async ({ releasePart, releaseRequest, ...query }) => {
    const targets = [
      ...(releasePart === undefined ? [] : [{ part: releasePart }]),
      ...(releaseRequest === undefined ? [] : [{ request: releaseRequest }]),
    ]
    for (const target of targets) {
      await sendToLeader(query, RELEASE_PATH, target)
      printLine(`released ${Object.values(target).join()}`)
    }
    if (targets.length === 0)
      await printFromLeader<QuarantineStatus>(query, QUARANTINE_PATH, formatQuarantine)
  },
})
