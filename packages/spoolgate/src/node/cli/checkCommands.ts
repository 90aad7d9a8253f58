/** Commands that look at files and keys and start nothing. */
import { randomBytes } from 'node:crypto'
import {
  formatProblems,
  loadFleetConfig,
  loadSettings,
  loadText,
  renderReference,
  type SettingsProblem,
} from '@spoolgate/config'
import { hashCallerKey } from '@spoolgate/core'
import { command, positional, string } from 'cmd-ts'
import type { Result } from 'neverthrow'
import { CliError, EXIT_CODES, printLine } from './exit.js'

const KEY_BYTES = 24

/** `spoolgate check FILE` */
export const checkCommand = command({
  name: 'check',
  description:
    'checks settings of an instance, or a fleet configuration; example: spoolgate check fleet.jsonc',
  args: { file: positional({ type: string, displayName: 'FILE' }) },
  handler: ({ file }) => {
    const checked = loadText(file).andThen(({ value }): Result<unknown, SettingsProblem[]> => {
      const isInstance = typeof value === 'object' && value !== null && 'role' in value
      return isInstance ? loadSettings(file) : loadFleetConfig(file)
    })
    if (checked.isErr()) throw new CliError(formatProblems(checked.error), EXIT_CODES.badUse)
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
