/**
 * The life of a process, alike for all programs: what its signals do, how it starts and stops, and what ends it. Each end
 * writes a last log line, `process.end`, with its reason and its remedy.
 */
import { writeSync } from 'node:fs'
import type { LogOutput } from './logOutput.js'
import { formatLogLine, type LogFields } from './logger.js'
import type { HandledSignal, ProcessSignals } from './processSignals.js'
import { waitFor, type TimerService } from './timers.js'

/** What a signal does: stops the process as planned, makes it read its settings again, or nothing but a log line. */
export type SignalAction = 'stop' | 'reload' | 'ignore'

/** Signal actions of a daemon. */
export const DAEMON_SIGNALS: Readonly<Record<HandledSignal, SignalAction>> = {
  SIGTERM: 'stop',
  SIGINT: 'stop',
  SIGQUIT: 'stop',
  SIGHUP: 'reload',
  SIGUSR1: 'ignore',
  SIGUSR2: 'ignore',
}

/** Signal actions of a program at a terminal, which sends SIGHUP when it closes. */
export const TERMINAL_SIGNALS: typeof DAEMON_SIGNALS = { ...DAEMON_SIGNALS, SIGHUP: 'stop' }

interface EndFacts {
  /** Exit status. */
  readonly status: number
  readonly level: 'info' | 'error'
  /** What an operator can do; undefined if nothing is wrong. */
  readonly remedy: string | undefined
}

/** Everything that ends a process, except for signals that cannot be handled and a heap that is exhausted. */
export const PROCESS_ENDS = {
  stopped: { status: 0, level: 'info', remedy: undefined },
  abandoned: {
    status: 1,
    level: 'error',
    remedy: 'allow more time for a planned stop, or shorter requests',
  },
  refused: { status: 2, level: 'error', remedy: 'change what the reason names, then start again' },
  diskFailed: {
    status: 1,
    level: 'error',
    remedy: 'check the disk of the data folder; the next start waits until it can be written',
  },
  exception: {
    status: 1,
    level: 'error',
    remedy: 'report this line with its stack; the process is to be started again',
  },
  exited: {
    status: 1,
    level: 'error',
    remedy:
      'report this line; nothing was left to do, or the program ended outside of its lifecycle',
  },
} as const satisfies Record<string, EndFacts>

/** Kind of an end. */
export type ProcessEndKind = keyof typeof PROCESS_ENDS

/** A program that runs until it is closed. */
export interface RunningProgram {
  /** Stops as planned; resolves to what it had to abandon. */
  close(): Promise<{ readonly abandoned: number }>
  /** Reads what may have changed in the settings. */
  reload?(): void
}

/** An end that a program asks for while it starts, such as settings that no time can change. */
export class StartupRefusal extends Error {}

/** Options of {@link createProcessLifecycle}. */
export interface ProcessLifecycleOptions {
  readonly signals: ProcessSignals
  readonly actions: Readonly<Record<HandledSignal, SignalAction>>
  readonly output: LogOutput
  readonly timers: TimerService
  /** Ends the process. @default process.exit */
  readonly exit?: (status: number) => void
}

/** See {@link createProcessLifecycle}. */
export interface ProcessLifecycle {
  /** Adds fields that each line about the process has, such as its role. */
  addFields(fields: LogFields): void
  /** Starts a program and runs it until a signal stops it; the process ends after that. */
  run(start: () => Promise<RunningProgram>): Promise<void>
  /** Ends the process at once: writes the last line, waits until it is read, and exits. */
  end(kind: ProcessEndKind, fields?: LogFields): void
}

/** Time for which a process waits for the reader of its last lines, in ms. */
const FLUSH_MS = 200
/** Time that a start which is under way has to become a planned stop, in ms. */
const START_ABORT_MS = 500

function describeCause(cause: unknown): LogFields {
  if (!(cause instanceof Error)) return { reason: String(cause) }
  return { reason: cause.message, stack: cause.stack }
}

/** Creates the lifecycle and takes over the signals and the exceptions that nothing catches. */
export function createProcessLifecycle(options: ProcessLifecycleOptions): ProcessLifecycle {
  const { signals, actions, output, timers, exit = (status) => process.exit(status) } = options
  let base: LogFields = {}
  let program: RunningProgram | undefined
  let hasEnded = false
  let isReloadDue = false
  let stop: (signal: HandledSignal) => void = () => {}
  const stopped = new Promise<HandledSignal>((resolve) => {
    stop = resolve
  })

  const writeLine = (level: string, event: string, fields: LogFields) =>
    output.write(formatLogLine(level, event, { ...base, ...fields }))
  const buildEnd = (kind: ProcessEndKind, fields: LogFields): LogFields => {
    const { status, remedy } = PROCESS_ENDS[kind]
    return { kind, ...fields, remedy, status, ms: Math.round(timers.now()) }
  }
  const end = (kind: ProcessEndKind, fields: LogFields = {}): void => {
    if (hasEnded) return
    hasEnded = true
    const { level, status } = PROCESS_ENDS[kind]
    const line = formatLogLine(level, 'process.end', { ...base, ...buildEnd(kind, fields) })
    void output.finish(line, FLUSH_MS).then(() => exit(status))
  }
  const reload = () => {
    isReloadDue = program === undefined
    program?.reload?.()
  }
  const handlers: Readonly<Record<SignalAction, (signal: HandledSignal) => void>> = {
    stop,
    reload,
    ignore: () => {},
  }
  const handleSignal = (signal: HandledSignal) => {
    writeLine('info', 'process.signal', { signal, action: actions[signal] })
    handlers[actions[signal]](signal)
  }
  const handleException = (cause: unknown) => end('exception', describeCause(cause))
  const handleExit = (status: number) => {
    if (hasEnded) return
    const line = formatLogLine('error', 'process.end', {
      ...base,
      ...buildEnd('exited', { reason: `the program exited with ${status}` }),
    })
    try {
      writeSync(process.stderr.fd, `${line}\n`)
    } catch {
      // Nothing is left that could report it.
    }
  }
  process.on('uncaughtException', handleException)
  process.on('unhandledRejection', handleException)
  process.on('exit', handleExit)

  const runUntilStopped = async (started: RunningProgram): Promise<void> => {
    program = started
    if (isReloadDue) reload()
    const signal = await stopped
    writeLine('info', 'process.stop', { signal })
    const { abandoned } = await started.close()
    end(abandoned > 0 ? 'abandoned' : 'stopped', { signal, abandoned })
  }
  return {
    addFields: (fields) => {
      base = { ...base, ...fields }
    },
    run: async (start) => {
      signals.follow(handleSignal)
      const running = start().then(runUntilStopped, (cause) => {
        if (cause instanceof StartupRefusal) end('refused', { reason: cause.message })
        else handleException(cause)
      })
      const aborted = stopped.then(async (signal) => {
        await waitFor(timers, START_ABORT_MS)
        if (!program) end('stopped', { signal, phase: 'start' })
      })
      await Promise.race([running, aborted.then(() => running)])
    },
    end,
  }
}
