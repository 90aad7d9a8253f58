/** `spoolgate dev`: everything in one process on loopback, and a first request to try. */
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { Logger, LogLevel, RunningProgram } from '@spoolgate/core'
import { command, number, option, string } from 'cmd-ts'
import { createLocalFleet, LOCAL_MODEL } from '../local/localFleet.js'
import { runAtTerminal } from './daemonProcess.js'
import { printLine } from './exit.js'

const DEFAULT_PORT = 8080
const DRAIN_MS = 10_000

interface DevArgs {
  readonly port: number
  readonly engines: number
  readonly routers: number
  readonly teams: number
  readonly data: string
}

/** Starts the fleet, and prints how to use it. */
async function startDevFleet(args: DevArgs, logger: Logger): Promise<RunningProgram> {
  const fleet = await createLocalFleet({
    logger,
    port: args.port,
    engines: args.engines,
    routers: args.routers,
    teams: args.teams,
    isFatal: false,
    // Each start gets a folder of its own: ports differ from run to run.
    createDataFolder: (index) => join(args.data, `${process.pid}-${index}`),
  })
  mkdirSync(args.data, { recursive: true })
  const operatorKeyFile = join(args.data, 'operator.key')
  const processKeyFile = join(args.data, 'process.key')
  writeFileSync(operatorKeyFile, fleet.operatorKey)
  writeFileSync(processKeyFile, fleet.processKey)
  const [url] = fleet.routerUrls
  const key = fleet.callerKeys['team-0']
  const body = JSON.stringify({
    model: LOCAL_MODEL,
    stream: true,
    max_tokens: 16,
    messages: [{ role: 'user', content: 'Which account does a fuel receipt belong to?' }],
  })
  printLine(`router      ${fleet.routerUrls.join(' ')}`)
  printLine(`control     ${fleet.controlUrls.join(' ')}`)
  printLine(`caller key  ${key}`)
  printLine(
    `try         curl -N ${url}/v1/chat/completions -H 'authorization: Bearer ${key}' -d '${body}'`,
  )
  printLine(`load        npm run -s spoolgate -- load --url ${url} --rate 20 --seconds 10`)
  printLine(
    `operate     npm run -s spoolgate -- config status --control ${fleet.controlUrls[0]} --key-file ${operatorKeyFile}`,
  )
  const access = `--control ${fleet.controlUrls.join(',')} --key-file ${operatorKeyFile}`
  printLine(`limits      npm run -s spoolgate -- limits ${access}`)
  printLine(`queues      npm run -s spoolgate -- queues ${access}`)
  return {
    close: async () => {
      const reports = await Promise.all(fleet.routers.map((router) => router?.close(DRAIN_MS)))
      await fleet.close()
      return { abandoned: reports.reduce((sum, report) => sum + (report?.abandoned ?? 0), 0) }
    },
  }
}

/** `spoolgate dev` */
export const devCommand = command({
  name: 'dev',
  description:
    'runs a whole fleet with stand-in engines in one process; example: spoolgate dev --engines 6',
  args: {
    port: option({
      long: 'port',
      type: number,
      defaultValue: () => DEFAULT_PORT,
      description: 'port of the router; 0 for any',
    }),
    engines: option({ long: 'engines', type: number, defaultValue: () => 2 }),
    routers: option({ long: 'routers', type: number, defaultValue: () => 1 }),
    teams: option({ long: 'teams', type: number, defaultValue: () => 8 }),
    data: option({
      long: 'data',
      type: string,
      defaultValue: () => 'data/dev',
      description: 'data folder',
    }),
    log: option({
      long: 'log',
      type: string,
      defaultValue: () => 'warn',
      description: 'log level',
    }),
  },
  handler: (args) => runAtTerminal(args.log as LogLevel, (logger) => startDevFleet(args, logger)),
})
