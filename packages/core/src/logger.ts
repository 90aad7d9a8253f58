/**
 * Logs: one line of key=value pairs for each event, written through consola. Values never hold a
 * key or the text of a prompt; callers pass hashes, ids and sizes.
 */
import { createConsola, type ConsolaInstance } from 'consola/core'

/** Facts of one event. Objects are written as JSON. */
export type LogFields = Readonly<Record<string, unknown>>

/** Level from which on lines are written. */
export type LogLevel = 'quiet' | 'error' | 'warn' | 'info' | 'debug'

/** Writes events of one daemon. */
export interface Logger {
  error(event: string, fields?: LogFields): void
  warn(event: string, fields?: LogFields): void
  info(event: string, fields?: LogFields): void
  debug(event: string, fields?: LogFields): void
  /** Whether lines of this level are written, so that costly fields are built only then. */
  isEnabled(level: LogLevel): boolean
}

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  /**
   * Lowest level that is written.
   * @default 'info'
   */
  readonly level?: LogLevel
  /**
   * Fields put on every line, such as the instance.
   * @default {}
   */
  readonly base?: LogFields
  /**
   * Takes each line.
   * @default standard error
   */
  readonly write?: (line: string) => void
}

const CONSOLA_LEVELS: Record<LogLevel, number> = { quiet: -1, error: 0, warn: 1, info: 3, debug: 4 }

const NEEDS_QUOTES = /[\s="\\]/

/** Formats one value of a key=value pair. */
export function formatLogValue(value: unknown): string {
  if (value === undefined || value === null) return '-'
  if (typeof value === 'number' && !Number.isInteger(value)) return value.toFixed(3)
  const text = typeof value === 'object' ? JSON.stringify(value) : String(value)
  return text === '' || NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text
}

/** Formats one event as a line of key=value pairs. */
export function formatLogLine(level: string, event: string, fields: LogFields): string {
  const pairs = Object.entries(fields).map(([key, value]) => `${key}=${formatLogValue(value)}`)
  return [`time=${new Date().toISOString()}`, `level=${level}`, `event=${event}`, ...pairs].join(
    ' ',
  )
}

/** Creates a logger. */
export function createLogger(options: LoggerOptions = {}): Logger {
  const level = options.level ?? 'info'
  const write = options.write ?? ((line: string) => void process.stderr.write(`${line}\n`))
  const consola: ConsolaInstance = createConsola({
    level: CONSOLA_LEVELS[level],
    throttle: 0,
    reporters: [{ log: (entry) => write(String(entry.args[0])) }],
  })
  const base = options.base ?? {}
  const send = (name: 'error' | 'warn' | 'info' | 'debug', event: string, fields: LogFields) => {
    if (CONSOLA_LEVELS[name] > CONSOLA_LEVELS[level]) return
    consola[name](formatLogLine(name, event, { ...base, ...fields }))
  }
  return {
    error: (event, fields = {}) => send('error', event, fields),
    warn: (event, fields = {}) => send('warn', event, fields),
    info: (event, fields = {}) => send('info', event, fields),
    debug: (event, fields = {}) => send('debug', event, fields),
    isEnabled: (wanted) => CONSOLA_LEVELS[wanted] <= CONSOLA_LEVELS[level],
  }
}

/** A logger that writes nothing, for tests and benchmarks. */
export function createQuietLogger(): Logger {
  return createLogger({ level: 'quiet' })
}
