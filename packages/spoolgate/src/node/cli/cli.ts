/** The command line: the tree of commands, their exit codes, and help for mistyped names. */
import { SpoolgateError } from '@spoolgate/core'
import { binary, runSafely, subcommands } from 'cmd-ts'
import { distance } from 'fastest-levenshtein'
import { benchCommands } from './benchCommands.js'
import { checkCommand, keyCommand, referenceCommand } from './checkCommands.js'
import { controlCommand, routerCommand, sidecarCommand } from './daemonCommands.js'
import { devCommand } from './devCommand.js'
import { CliError, EXIT_CODES } from './exit.js'
import { limitsCommand } from './limitsCommand.js'
import { loadCommand } from './loadCommand.js'
import { quarantineCommand } from './quarantineCommand.js'
import { queuesCommand } from './queuesCommand.js'
import { serversCommand } from './serversCommand.js'
import { versionsCommand } from './versionsCommand.js'
import { soakCommand } from './soakCommand.js'
import { configCommands, explainCommand, memberCommands } from './operatorCommands.js'

const COMMANDS = {
  dev: devCommand,
  router: routerCommand,
  sidecar: sidecarCommand,
  control: controlCommand,
  check: checkCommand,
  key: keyCommand,
  config: configCommands,
  members: memberCommands,
  explain: explainCommand,
  limits: limitsCommand,
  quarantine: quarantineCommand,
  queues: queuesCommand,
  servers: serversCommand,
  versions: versionsCommand,
  load: loadCommand,
  soak: soakCommand,
  bench: benchCommands,
  reference: referenceCommand,
}

/** Longest edit distance at which a name is offered. */
const MAX_DISTANCE = 4

/** Finds the known name nearest to a mistyped one. */
export function findNearest(given: string, known: readonly string[]): string | undefined {
  const ranked = known.map((name) => ({ name, far: distance(given, name) }))
  ranked.sort((a, b) => a.far - b.far)
  return ranked[0] && ranked[0].far <= MAX_DISTANCE ? ranked[0].name : undefined
}

function printError(text: string): void {
  process.stderr.write(`${text}\n`)
}

function listOptions(text: string): string[] {
  return [...text.matchAll(/--([a-z-]+)/g)].map((match) => match[1])
}

/** Explains a call that could not be parsed, naming the nearest option of the command. */
function reportBadUse(args: readonly string[], message: string, help: string): void {
  printError(message)
  const known = listOptions(help)
  const given = args.filter((arg) => arg.startsWith('--')).map((arg) => arg.slice(2).split('=')[0])
  for (const name of given.filter((option) => !known.includes(option))) {
    const nearest = findNearest(name, known)
    if (nearest) printError(`did you mean "--${nearest}"?`)
  }
}

async function readHelp(args: readonly string[], app: Parameters<typeof runSafely>[0]) {
  const names = args.filter((arg) => !arg.startsWith('-')).slice(0, 2)
  const result = await runSafely(app, [...names, '--help'])
  return result._tag === 'error' ? result.error.config.message : ''
}

/** Runs the command line and sets the exit code of the process. */
export async function runCli(args: readonly string[]): Promise<void> {
  const app = binary(
    subcommands({
      name: 'spoolgate',
      version: '0.1.0',
      cmds: COMMANDS,
      description: 'routes language-model traffic with long shared prompts',
    }),
  )
  try {
    const result = await runSafely(app, ['node', 'spoolgate', ...args])
    if (result._tag === 'ok') return
    const { exitCode, message, into } = result.error.config
    if (exitCode === 0 || into === 'stdout') {
      process.stdout.write(`${message}\n`)
      process.exitCode = exitCode === 0 ? EXIT_CODES.ok : EXIT_CODES.badUse
      return
    }
    reportBadUse(args, message, await readHelp(['node', 'spoolgate', ...args], app))
    process.exitCode = EXIT_CODES.badUse
  } catch (cause) {
    if (cause instanceof CliError) {
      printError(cause.message)
      process.exitCode = cause.exitCode
    } else if (cause instanceof SpoolgateError) {
      printError(`${cause.kind}: ${cause.message}`)
      if (cause.details !== undefined) printError(JSON.stringify(cause.details, null, 2))
      process.exitCode = EXIT_CODES.failedRun
    } else throw cause
  }
}
