/** Reading of settings and keys for the commands that start daemons. */
import { existsSync, readFileSync } from 'node:fs'
import { formatProblems, loadSettings, type InstanceSettings } from '@spoolgate/config'
import {
  createLogger,
  createMemoryBudget,
  findBudgetBytes,
  type TimerService,
} from '@spoolgate/core'
import { CliError, EXIT_CODES } from './exit.js'

/** Reads a key from a file. */
export function readKeyFile(file: string): string {
  if (!existsSync(file)) {
    throw new CliError(
      `${file}: no such key file; write a long random text into it`,
      EXIT_CODES.badUse,
      true,
    )
  }
  const key = readFileSync(file, 'utf8').trim()
  if (key === '') throw new CliError(`${file}: the key file is empty`, EXIT_CODES.badUse, true)
  return key
}

/** Loads settings of one role, or ends with every problem they have. */
export function loadRole<Role extends InstanceSettings['role']>(
  file: string,
  role: Role,
): Extract<InstanceSettings, { role: Role }> {
  const loaded = loadSettings(file)
  if (loaded.isErr()) throw new CliError(formatProblems(loaded.error), EXIT_CODES.badUse)
  const settings = loaded.value
  if (settings.role === role) return settings as Extract<InstanceSettings, { role: Role }>
  throw new CliError(
    `${file}: these are settings of a ${settings.role}; start it with "spoolgate ${settings.role}"`,
    EXIT_CODES.badUse,
  )
}

/** Creates the parts that every daemon takes from its settings. */
export function createDaemonParts(
  settings: InstanceSettings,
  { timers, write }: { readonly timers: TimerService; readonly write: (line: string) => void },
) {
  const { instance, logLevel, role, listen, processKeyFile, memoryMb, tls } = settings
  return {
    ...listen,
    tls,
    processKey: readKeyFile(processKeyFile),
    logger: createLogger({ level: logLevel, base: { role, instance }, write }),
    timers,
    memory: createMemoryBudget({ limitBytes: findBudgetBytes(memoryMb), timers }),
  }
}
