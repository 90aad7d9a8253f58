/** Replicated fleet configuration with its change history. */
import type { FleetConfigInput } from '@spoolgate/config'
import { removeOldest } from '@spoolgate/core'
import {
  buildFleetPatch,
  hashFleet,
  listPatchedItems,
  toCanonicalForm,
  type FleetPatch,
} from './fleetPatch.js'

/** Submits a new configuration. */
export interface SubmitConfig {
  readonly kind: 'config.submit'
  /** Identifies the change; a resend with the same identifier gets the result of the first submission. */
  readonly changeId: string
  /** Version on which the change is based. */
  readonly base: number
  readonly operator: string
  readonly source: FleetConfigInput
  /** Wall-clock time at which the leader received the change, in ms since the Unix epoch. */
  readonly at: number
}

/** Result of a submitted configuration. */
export type SubmitConfigResult =
  | { readonly kind: 'accepted'; readonly version: number; readonly touched: readonly string[] }
  | {
      readonly kind: 'conflict'
      /** Version in force, which was accepted before this change. */
      readonly version: number
      readonly winner: ChangeRecord | undefined
      /** Items in which the version in force and the refused change differ. */
      readonly differs: readonly string[]
    }
  | { readonly kind: 'changeIdReused'; readonly version: number }

/** An accepted change. */
export interface ChangeRecord {
  readonly version: number
  readonly changeId: string
  readonly operator: string
  readonly at: number
  readonly touched: readonly string[]
}

/** Configuration update for a node: the full configuration, or the patches since the node's version. */
export type ConfigUpdate =
  | { readonly kind: 'whole'; readonly version: number; readonly source: FleetConfigInput }
  | {
      readonly kind: 'patches'
      readonly version: number
      readonly patches: readonly FleetPatch[]
      /** Hash of the patched configuration; the node verifies it before it installs the result. */
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

/** State as stored in a snapshot. */
export interface SavedConfig {
  readonly version: number
  readonly source: FleetConfigInput
  readonly history: readonly ChangeRecord[]
  readonly sources: readonly (readonly [number, FleetConfigInput])[]
  readonly patches: readonly PatchRecord[]
  readonly results: readonly (readonly [string, StoredResult])[]
}

/** Current configuration and its history. */
export interface ConfigState {
  version(): number
  source(): FleetConfigInput
  submit(command: SubmitConfig, index: number): SubmitConfigResult
  /** Builds the update for a node at version `after`; undefined when the node is up to date. */
  buildUpdate(after: number): ConfigUpdate | undefined
  history(): readonly ChangeRecord[]
  /** Finds the content of an earlier version; undefined when it is no longer stored. */
  findSource(version: number): FleetConfigInput | undefined
  save(): SavedConfig
  load(saved: SavedConfig): void
}

/** Changes kept in the history: about one week at 860 changes a day. */
const MAX_HISTORY = 6_000
/** Earlier configurations kept for diffs and for resubmitting one of them. */
const MAX_SOURCES = 20
/** Patches kept for nodes that lag behind; a node that is further behind gets the full configuration. */
const MAX_PATCHES = 256
/** Results kept so that resent changes get the result of the first submission. */
const MAX_RESULTS = 10_000

/** Creates an empty configuration at version 0. */
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
