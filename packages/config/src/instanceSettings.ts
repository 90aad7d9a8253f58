/** Settings of one instance: from loose JSON with comments to one frozen, resolved type. */
import { dirname, isAbsolute, resolve } from 'node:path'
import { err, ok, type Result } from 'neverthrow'
import type * as z from 'zod'
import { toFrozen, type DeepReadonly } from './freeze.js'
import { instanceSchema } from './instanceSchema.js'
import {
  listSchemaProblems,
  loadText,
  type SettingsProblem,
  type ValueProblem,
} from './problems.js'

/** Settings as a person writes them. */
export type InstanceSettingsInput = z.input<typeof instanceSchema>
/** Resolved settings of any role. */
export type InstanceSettings = DeepReadonly<z.output<typeof instanceSchema>>
/** Resolved settings of a router. */
export type RouterSettings = Extract<InstanceSettings, { role: 'router' }>
/** Resolved settings of a sidecar. */
export type SidecarSettings = Extract<InstanceSettings, { role: 'sidecar' }>
/** Resolved settings of a control instance. */
export type ControlSettings = Extract<InstanceSettings, { role: 'control' }>

/** Names of settings that hold a path, resolved against the folder of the settings file. */
const PATH_SETTINGS = ['processKeyFile', 'operatorKeyFile', 'dataFolder'] as const
const TLS_PATH_SETTINGS = ['certFile', 'keyFile', 'caFile'] as const

/** Types settings written in code; returns them unchanged. */
export function defineSettings(input: InstanceSettingsInput): InstanceSettingsInput {
  return input
}

function resolvePaths(settings: Record<string, unknown>, names: readonly string[], folder: string) {
  for (const name of names) {
    const value = settings[name]
    if (typeof value === 'string' && !isAbsolute(value)) settings[name] = resolve(folder, value)
  }
}

/**
 * Resolves loose settings: fills in defaults, makes paths absolute and freezes the result.
 * @param folder folder against which relative paths are resolved
 */
export function resolveSettings(
  input: unknown,
  folder: string,
): Result<InstanceSettings, ValueProblem[]> {
  const parsed = instanceSchema.safeParse(input)
  if (!parsed.success) return err(listSchemaProblems(parsed.error))
  const settings = parsed.data as Record<string, unknown>
  resolvePaths(settings, PATH_SETTINGS, folder)
  if (settings.tls) resolvePaths(settings.tls as Record<string, unknown>, TLS_PATH_SETTINGS, folder)
  return ok(toFrozen(parsed.data))
}

/** Loads a settings file; on failure returns every problem with its place. */
export function loadSettings(file: string): Result<InstanceSettings, SettingsProblem[]> {
  return loadText(file).andThen((parsed) =>
    resolveSettings(parsed.value, dirname(resolve(file))).mapErr((problems) =>
      problems.map(parsed.place),
    ),
  )
}
