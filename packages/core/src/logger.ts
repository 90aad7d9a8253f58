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

/** Characters that a terminal or a reader of lines acts on: controls of both sets, separators and directions. */
const CONTROLS = '\\0-\\x1f\\x7f-\\x9f\\u200e\\u200f\\u2028-\\u202e\\u2066-\\u2069\\ufeff'
const NEEDS_QUOTES = new RegExp(`[\\s="\\\\${CONTROLS}]|\\p{Surrogate}`, 'u')
const ALL_CONTROLS = new RegExp(`[${CONTROLS}]`, 'g')

function encodeControl(character: string): string {
  return `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`
}

/** Quotes a text so that what came from outside is read as text, on a terminal as well; it stays JSON. */
function formatQuoted(text: string): string {
  return JSON.stringify(text).replace(ALL_CONTROLS, encodeControl)
}

/** Formats one value of a key=value pair. */
export function formatLogValue(value: unknown): string {
  if (value === undefined || value === null) return '-'
  if (typeof value === 'number' && !Number.isInteger(value)) return value.toFixed(3)
  const text = typeof value === 'object' ? JSON.stringify(value) : String(value)
  return text === '' || NEEDS_QUOTES.test(text) ? formatQuoted(text) : text
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
