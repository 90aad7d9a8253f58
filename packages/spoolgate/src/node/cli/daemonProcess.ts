/** Processes of the commands that run until they are stopped. */
import type { InstanceSettings } from '@spoolgate/config'
import {
  createLogger,
  createLogOutput,
  createProcessLifecycle,
  createTimerService,
  DAEMON_SIGNALS,
  readStableFile,
  waitForStartup,
  SpoolgateError,
  StartupRefusal,
  TERMINAL_SIGNALS,
  type Logger,
  type LogLevel,
  type ProcessLifecycle,
  type RunningProgram,
  type TimerService,
} from '@spoolgate/core'
import { installSignals } from '@spoolgate/core/signals'
import { CliError } from './exit.js'
import { createDaemonParts, loadRole } from './settings.js'

/** What a daemon gets from its process. */
export interface DaemonProcess {
  readonly lifecycle: ProcessLifecycle
  readonly timers: TimerService
  /** Writes a log line. */
  readonly write: (line: string) => void
}

/** Time for which a start waits for files that are missing or empty, in ms. */
const FILES_PATIENCE_MS = 10_000

/** Prints a refusal as it is, since the last line of the log quotes it. */
function reportRefusal(cause: CliError | SpoolgateError): never {
  process.stderr.write(`${cause.message}\n`)
  throw new StartupRefusal(cause.message)
}

/** Runs a program until the process ends; its log goes to standard error. */
async function runProcess(
  actions: typeof DAEMON_SIGNALS,
  start: (daemon: DaemonProcess) => Promise<RunningProgram>,
): Promise<void> {
  const timers = createTimerService()
  const output = createLogOutput({ streams: [process.stderr, process.stdout], timers })
  const lifecycle = createProcessLifecycle({ signals: installSignals(), actions, output, timers })
  const startOrRefuse = async () => {
    try {
      return await start({ lifecycle, timers, write: output.write })
    } catch (cause) {
      if (cause instanceof CliError || cause instanceof SpoolgateError) reportRefusal(cause)
      throw cause
    }
  }
  await lifecycle.run(startOrRefuse)
}

/** Loads the settings and keys of a role; files that are missing, empty or being written are waited for. */
async function waitForRole<Role extends InstanceSettings['role']>(
  file: string,
  role: Role,
  { timers, write }: DaemonProcess,
) {
  const load = async () => {
    await readStableFile(file, timers)
    const settings = loadRole(file, role)
    return { settings, parts: createDaemonParts(settings, { timers, write }) }
  }
  return waitForStartup({
    what: 'settings',
    attempt: load,
    findProblem: (cause) => {
      if (cause instanceof CliError && !cause.mayPass) return undefined
      const reason = cause instanceof Error ? cause.message : String(cause)
      return { reason, remedy: `write the settings to ${file}, and the keys that they name` }
    },
    logger: createLogger({ base: { role }, write }),
    timers,
    patienceMs: FILES_PATIENCE_MS,
  }).catch((cause: NodeJS.ErrnoException) => {
    throw cause instanceof CliError ? cause : new StartupRefusal(cause.message)
  })
}

/** A program that is closed within the time that its settings allow. */
interface Stoppable {
  close(drainMs: number): Promise<{ readonly abandoned: number }>
}

/** Runs a daemon with the settings of its role. */
export function runDaemon<Role extends InstanceSettings['role']>(
  file: string,
  role: Role,
  start: (
    loaded: Awaited<ReturnType<typeof waitForRole<Role>>>,
    lifecycle: ProcessLifecycle,
  ) => Promise<Stoppable>,
): Promise<void> {
  return runProcess(DAEMON_SIGNALS, async (daemon) => {
    daemon.lifecycle.addFields({ role })
    const loaded = await waitForRole(file, role, daemon)
    daemon.lifecycle.addFields({ instance: loaded.settings.instance })
    const running = await start(loaded, daemon.lifecycle)
    return { close: () => running.close(loaded.settings.drainMs) }
  })
}

/** Runs a program that belongs to a terminal. */
export function runAtTerminal(
  level: LogLevel,
  start: (logger: Logger) => Promise<RunningProgram>,
): Promise<void> {
  return runProcess(TERMINAL_SIGNALS, ({ write }) => start(createLogger({ level, write })))
}
