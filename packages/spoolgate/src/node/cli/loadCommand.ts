/** `spoolgate load`: traffic of the two users' shape, and a table of what the callers saw. */
import { createHttpClient, createTimerService } from '@spoolgate/core'
import { command, flag, number, option, string } from 'cmd-ts'
import { runLoad, type LoadSummary } from '../load/loadRun.js'
import { createWorkload, WORKLOADS, type WorkloadName } from '../load/workload.js'
import { LOCAL_MODEL } from '../local/localFleet.js'
import { CliError, EXIT_CODES, printLine } from './exit.js'
import { formatTable } from './table.js'

/** Reads the name of a workload. */
export function readWorkload(name: string): WorkloadName {
  if (name in WORKLOADS) return name as WorkloadName
  const known = Object.keys(WORKLOADS).join(' or ')
  throw new CliError(`--workload is ${known}`, EXIT_CODES.badUse)
}

/** Formats a summary as a table. */
export function formatSummary(summary: LoadSummary): string {
  const rows = [
    ['sent', String(summary.sent)],
    ['whole', String(summary.whole)],
    ['wrong', String(summary.wrong)],
    ['refused', String(summary.refused)],
    ['failed', String(summary.failed)],
    ['first token p50', `${summary.firstTokenP50.toFixed(1)} ms`],
    ['first token p95', `${summary.firstTokenP95.toFixed(1)} ms`],
    ['first token p99', `${summary.firstTokenP99.toFixed(1)} ms`],
    ['between tokens p95', `${summary.betweenTokensP95.toFixed(1)} ms`],
    ['hit rate', `${(summary.hitRate * 100).toFixed(1)} %`],
  ]
  return formatTable(['what', 'value'], rows)
}

/** `spoolgate load` */
export const loadCommand = command({
  name: 'load',
  description:
    'sends traffic to routers of "spoolgate dev"; example: spoolgate load --rate 20 --seconds 10',
  args: {
    url: option({
      long: 'url',
      type: string,
      defaultValue: () => 'http://127.0.0.1:8080',
      description: 'router URLs, separated by commas',
    }),
    rate: option({
      long: 'rate',
      type: number,
      defaultValue: () => 10,
      description: 'requests a second',
    }),
    seconds: option({ long: 'seconds', type: number, defaultValue: () => 10 }),
    teams: option({ long: 'teams', type: number, defaultValue: () => 8 }),
    seed: option({ long: 'seed', type: number, defaultValue: () => 1 }),
    workload: option({ long: 'workload', type: string, defaultValue: () => 'anaca' }),
    json: flag({ long: 'json' }),
  },
  handler: async (args) => {
    const teams = Array.from({ length: args.teams }, (_, index) => `team-${index}`)
    const keys = Object.fromEntries(
      teams.map((team, index) => [team, `sg-team${index}-secret${index}`]),
    )
    const client = createHttpClient()
    const summary = await runLoad({
      client,
      timers: createTimerService(),
      urls: args.url.split(','),
      keys,
      model: LOCAL_MODEL,
      workload: createWorkload(readWorkload(args.workload), teams, args.seed),
      rate: args.rate,
      seconds: args.seconds,
      seed: args.seed,
      onProgress: ({ sent, whole, refused, failed }) =>
        process.stderr.write(`sent=${sent} whole=${whole} refused=${refused} failed=${failed}\n`),
    })
    client.close()
    printLine(args.json ? JSON.stringify(summary) : formatSummary(summary))
    if (summary.wrong > 0 || summary.failed > 0) {
      throw new CliError('some answers were wrong or lost', EXIT_CODES.failedRun)
    }
  },
})
