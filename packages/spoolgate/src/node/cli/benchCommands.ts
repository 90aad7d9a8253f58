/** `spoolgate bench …`: measurements, each printed as a table or as JSON. */
import { command, flag, number, option, subcommands } from 'cmd-ts'
import { runOverheadBench } from '../bench/overheadBench.js'
import { printLine } from './exit.js'

const json = flag({ long: 'json', description: 'print JSON instead of lines' })

/** Prints a result as one line a figure, or as JSON. */
function printResult(result: object, isJson: boolean): void {
  if (isJson) return printLine(JSON.stringify(result))
  for (const [name, value] of Object.entries(result)) {
    printLine(`${name.padEnd(24)} ${typeof value === 'object' ? JSON.stringify(value) : value}`)
  }
}

const overheadCommand = command({
  name: 'overhead',
  description: 'what router and sidecar add; example: spoolgate bench overhead --json',
  args: {
    json,
    pairs: option({ long: 'pairs', type: number, defaultValue: () => 400 }),
    streams: option({ long: 'streams', type: number, defaultValue: () => 64 }),
    seconds: option({ long: 'seconds', type: number, defaultValue: () => 8 }),
  },
  handler: async (args) => printResult(await runOverheadBench(args), args.json),
})

/** `spoolgate bench` */
export const benchCommands = subcommands({
  name: 'bench',
  description: 'measurements on this machine, with the stand-ins',
  cmds: { overhead: overheadCommand },
})
