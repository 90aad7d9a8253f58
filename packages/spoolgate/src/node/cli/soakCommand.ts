/** `spoolgate soak`: a seeded run under faults, with a verdict. */
import { createLogger, type LogLevel } from '@spoolgate/core'
import { command, flag, number, option, string } from 'cmd-ts'
import { runSoak, type SoakResult } from '../soak/soak.js'
import { CliError, EXIT_CODES, printLine } from './exit.js'
import { formatTable } from './table.js'

function printSoak(result: SoakResult): void {
  const { requests, whole, refused, failed, cut, receipts, changesAccepted } = result
  const rows = [
    ['requests', String(requests)],
    ['whole', String(whole)],
    ['refused, truly not run', String(refused)],
    ...Object.entries(result.refusals).map(([code, count]) => [`refused: ${code}`, String(count)]),
    ['ended with an explicit error', String(failed)],
    ['cut with a router', String(cut)],
    ...Object.entries(receipts).map(([name, count]) => [`receipts ${name}`, String(count)]),
    ['changes accepted', String(changesAccepted)],
    ...Object.entries(result.faults).map(([name, count]) => [`fault ${name}`, String(count)]),
    ['violations', String(result.violations.length)],
  ]
  printLine(formatTable(['what', 'count'], rows))
}

/** `spoolgate soak` */
export const soakCommand = command({
  name: 'soak',
  description: 'runs a fleet under seeded faults; example: spoolgate soak --seed 1 --seconds 120',
  args: {
    seed: option({ long: 'seed', type: number, defaultValue: () => 1 }),
    seconds: option({ long: 'seconds', type: number, defaultValue: () => 30 }),
    requests: option({ long: 'requests', type: number, defaultValue: () => 1_000_000 }),
    log: option({ long: 'log', type: string, defaultValue: () => 'error' }),
    json: flag({ long: 'json' }),
  },
  handler: async (args) => {
    const result = await runSoak({
      ...args,
      logger: createLogger({ level: args.log as LogLevel }),
      onProgress: (text) => process.stderr.write(`${text}\n`),
    })
    if (args.json) printLine(JSON.stringify(result))
    else printSoak(result)
    if (result.violations.length === 0) return
    for (const violation of result.violations) printLine(`violation: ${violation}`)
    printLine(`replay: spoolgate soak --seed ${args.seed} --seconds ${args.seconds}`)
    throw new CliError('the soak run found violations', EXIT_CODES.failedRun)
  },
})
