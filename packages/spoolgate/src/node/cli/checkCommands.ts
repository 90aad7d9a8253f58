/** Commands that look at files and keys and start nothing. */
import { randomBytes } from 'node:crypto'
import { readFileSync } from 'node:fs'
import {
  formatProblems,
  loadSettings,
  parseText,
  renderReference,
  resolveFleetConfig,
} from '@spoolgate/config'
import { hashCallerKey } from '@spoolgate/core'
import { command, positional, string } from 'cmd-ts'
import { CliError, EXIT_CODES, printLine } from './exit.js'

const KEY_BYTES = 24

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch {
    throw new CliError(`${file}:1:1: unreadable file: check path and rights`, EXIT_CODES.badUse)
  }
}

function checkFleet(file: string, value: unknown, place: typeof parseText): void {
  const resolved = resolveFleetConfig(value, 0)
  if (resolved.isOk()) return
  const parsed = place(file, readText(file))
  if (parsed.isErr()) return
  const problems = resolved.error.map((problem) => parsed.value.place(problem))
  throw new CliError(formatProblems(problems), EXIT_CODES.badUse)
}

/** `spoolgate check FILE` */
export const checkCommand = command({
  name: 'check',
  description:
    'checks settings of an instance, or a fleet configuration; example: spoolgate check fleet.jsonc',
  args: { file: positional({ type: string, displayName: 'FILE' }) },
  handler: ({ file }) => {
    const parsed = parseText(file, readText(file))
    if (parsed.isErr()) throw new CliError(formatProblems(parsed.error), EXIT_CODES.badUse)
    const { value } = parsed.value
    const isInstance = typeof value === 'object' && value !== null && 'role' in value
    if (isInstance) {
      const loaded = loadSettings(file)
      if (loaded.isErr()) throw new CliError(formatProblems(loaded.error), EXIT_CODES.badUse)
    } else {
      checkFleet(file, value, parseText)
    }
    printLine(`${file}: ok`)
  },
})

/** `spoolgate key TEAM` */
export const keyCommand = command({
  name: 'key',
  description:
    'makes a caller key and the hash to put into the configuration; example: spoolgate key t1',
  args: {
    id: positional({ type: string, displayName: 'ID', description: 'letters and digits' }),
  },
  handler: ({ id }) => {
    if (!/^[A-Za-z0-9]+$/.test(id)) {
      throw new CliError('choose an id of letters and digits', EXIT_CODES.badUse)
    }
    const key = `sg-${id}-${randomBytes(KEY_BYTES).toString('base64url')}`
    printLine(`key for the caller, shown once: ${key}`)
    printLine(`for "callerKeys" of the team: ${JSON.stringify({ id, hash: hashCallerKey(key) })}`)
  },
})

/** `spoolgate reference` */
export const referenceCommand = command({
  name: 'reference',
  description: 'prints docs/config.md; example: spoolgate reference > docs/config.md',
  args: {},
  handler: () => process.stdout.write(renderReference()),
})
