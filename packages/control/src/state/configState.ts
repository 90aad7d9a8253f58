/** The part of the replicated state that holds the fleet configuration and its history. */
import type { FleetConfigInput } from '@spoolgate/config'
import { removeOldest } from '@spoolgate/core'
import {
  buildFleetPatch,
  hashFleet,
  listPatchedItems,
  toCanonicalForm,
  type FleetPatch,
} from './fleetPatch.js'

/** Submits a configuration. */
export interface SubmitConfig {
  readonly kind: 'config.submit'
  /** Names the change; a resend with the same name gets the first result. */
  readonly changeId: string
  /** Version that the change was made against. */
  readonly base: number
  readonly operator: string
  readonly source: FleetConfigInput
  /** Wall-clock time of acceptance, in ms since the Unix epoch. */
  readonly at: number
}

/** What became of a submitted configuration. */
export type SubmitConfigResult =
  | { readonly kind: 'accepted'; readonly version: number; readonly touched: readonly string[] }
  | {
      readonly kind: 'conflict'
      /** Version that won. */
      readonly version: number
      readonly winner: ChangeRecord | undefined
      /** Where the winner and the refused change differ. */
      readonly differs: readonly string[]
    }
  | { readonly kind: 'changeIdReused'; readonly version: number }

/** One accepted change. */
export interface ChangeRecord {
  readonly version: number
  readonly changeId: string
  readonly operator: string
  readonly at: number
  readonly touched: readonly string[]
}

/** Configuration as nodes fetch it: whole, or as the patches since the version they hold. */
export type ConfigUpdate =
  | { readonly kind: 'whole'; readonly version: number; readonly source: FleetConfigInput }
  | {
      readonly kind: 'patches'
      readonly version: number
      readonly patches: readonly FleetPatch[]
      /** Hash of the result, to be checked before it is used. */
      readonly hash: string
    }

interface StoredResult {
  readonly hash: string
  readonly result: SubmitConfigResult
}

interface PatchRecord {
  readonly from: number
  readonly to: number
  readonly patch: FleetPatch
}

/** State as a snapshot holds it. */
export interface SavedConfig {
  readonly version: number
  readonly source: FleetConfigInput
  readonly history: readonly ChangeRecord[]
  readonly sources: readonly (readonly [number, FleetConfigInput])[]
  readonly patches: readonly PatchRecord[]
  readonly results: readonly (readonly [string, StoredResult])[]
}

/** Configuration with its history. */
export interface ConfigState {
  version(): number
  source(): FleetConfigInput
  submit(command: SubmitConfig, index: number): SubmitConfigResult
  /** Builds what a node at `after` needs; undefined when it is up to date. */
  buildUpdate(after: number): ConfigUpdate | undefined
  history(): readonly ChangeRecord[]
  /** Finds the content of an earlier version, while it is kept. */
  findSource(version: number): FleetConfigInput | undefined
  save(): SavedConfig
  load(saved: SavedConfig): void
}

/** Changes listed in the history, about a week at 860 a day. */
const MAX_HISTORY = 6_000
/** Earlier contents kept for comparison and for rolling forward to them. */
const MAX_SOURCES = 20
/** Patches kept for nodes that lag behind; an older node gets the whole. */
const MAX_PATCHES = 256
/** First results kept for resent changes. */
const MAX_RESULTS = 10_000

/** Creates an empty state at version 0. */
export function createConfigState(): ConfigState {
  let version = 0
  let source: FleetConfigInput = toCanonicalForm({})
  let hash = hashFleet(source)
  let history: ChangeRecord[] = []
  let patches: PatchRecord[] = []
  const sources = new Map<number, FleetConfigInput>()
  const results = new Map<string, StoredResult>()

  const accept = (
    command: SubmitConfig,
    next: FleetConfigInput,
    index: number,
  ): SubmitConfigResult => {
    const patch = buildFleetPatch(source, next)
    const touched = listPatchedItems(patch)
    patches = [...patches, { from: version, to: index, patch }].slice(-MAX_PATCHES)
    const { changeId, operator, at } = command
    history = [...history, { version: index, changeId, operator, at, touched }].slice(-MAX_HISTORY)
    sources.set(index, next)
    removeOldest(sources, MAX_SOURCES)
    version = index
    source = next
    hash = hashFleet(next)
    return { kind: 'accepted', version: index, touched }
  }
  const refuse = (next: FleetConfigInput): SubmitConfigResult => ({
    kind: 'conflict',
    version,
    winner: history.at(-1),
    differs: listPatchedItems(buildFleetPatch(next, source)),
  })

  return {
    version: () => version,
    source: () => source,
    submit: (command, index) => {
      const next = toCanonicalForm(command.source)
      const nextHash = hashFleet(next)
      const first = results.get(command.changeId)
      if (first) {
        return first.hash === nextHash ? first.result : { kind: 'changeIdReused', version }
      }
      const result = command.base === version ? accept(command, next, index) : refuse(next)
      results.set(command.changeId, { hash: nextHash, result })
      removeOldest(results, MAX_RESULTS)
      return result
    },
    buildUpdate: (after) => {
      if (after >= version) return undefined
      const first = patches.findIndex((patch) => patch.from === after)
      if (first === -1) return { kind: 'whole', version, source }
      const since = patches.slice(first).map(({ patch }) => patch)
      return { kind: 'patches', version, patches: since, hash }
    },
    history: () => history,
    findSource: (wanted) => sources.get(wanted),
    save: () => ({
      version,
      source,
      history,
      sources: [...sources],
      patches,
      results: [...results],
    }),
    load: (saved) => {
      version = saved.version
      source = saved.source
      hash = hashFleet(source)
      history = [...saved.history]
      patches = [...saved.patches]
      sources.clear()
      for (const [key, value] of saved.sources) sources.set(key, value)
      results.clear()
      for (const [key, value] of saved.results) results.set(key, value)
    },
  }
}
