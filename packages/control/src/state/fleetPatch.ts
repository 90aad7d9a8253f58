/**
 * Differences between two fleet configurations. Most changes touch one team or one backend server;
 * sending the difference instead of the whole keeps a change under a kilobyte for each node.
 */
import { createHash } from 'node:crypto'
import type { FleetConfigInput } from '@spoolgate/config'

/** Sections that are lists of items with an id. */
const LISTS = ['models', 'backendServers', 'templates', 'teams'] as const
/** Sections that are replaced whole. */
const WHOLES = ['services', 'routing'] as const

type ListName = (typeof LISTS)[number]
type WholeName = (typeof WHOLES)[number]
type Item = { readonly id: string }

/** Items by id that were set, or null where they were removed. */
type ListPatch = Readonly<Record<string, Item | null>>

/** What turns one configuration into the next. */
export type FleetPatch = { readonly [K in ListName]?: ListPatch } & {
  readonly [K in WholeName]?: unknown
}

function listItems(config: FleetConfigInput, name: ListName): readonly Item[] {
  return config[name] ?? []
}

function isEqual(a: unknown, b: unknown): boolean {
  return JSON.stringify(a) === JSON.stringify(b)
}

/** Brings a configuration into one order, so that equal content has equal text. */
export function toCanonicalForm(config: FleetConfigInput): FleetConfigInput {
  const lists = LISTS.map((name) => {
    const items = [...listItems(config, name)].sort((a, b) => (a.id < b.id ? -1 : 1))
    return [name, items]
  })
  const wholes = WHOLES.filter((name) => config[name] !== undefined)
  return Object.fromEntries([...lists, ...wholes.map((name) => [name, config[name]])])
}

/** Hashes a configuration in normal form. */
export function hashFleet(config: FleetConfigInput): string {
  return createHash('sha256').update(JSON.stringify(config)).digest('base64url')
}

function compareLists(before: readonly Item[], after: readonly Item[]): ListPatch {
  const old = new Map(before.map((item) => [item.id, item]))
  const patch: Record<string, Item | null> = {}
  for (const item of after) {
    if (!isEqual(old.get(item.id), item)) patch[item.id] = item
    old.delete(item.id)
  }
  for (const id of old.keys()) patch[id] = null
  return patch
}

/** Compares two configurations in normal form. */
export function buildFleetPatch(before: FleetConfigInput, after: FleetConfigInput): FleetPatch {
  const patch: Record<string, unknown> = {}
  for (const name of LISTS) {
    const changed = compareLists(listItems(before, name), listItems(after, name))
    if (Object.keys(changed).length > 0) patch[name] = changed
  }
  for (const name of WHOLES) {
    if (!isEqual(before[name], after[name])) patch[name] = after[name] ?? null
  }
  return patch as FleetPatch
}

/** Applies a patch to a configuration in normal form. */
export function applyFleetPatch(config: FleetConfigInput, patch: FleetPatch): FleetConfigInput {
  const next: Record<string, unknown> = { ...config }
  for (const name of LISTS) {
    const changed = patch[name]
    if (!changed) continue
    const items = new Map(listItems(config, name).map((item) => [item.id, item]))
    for (const [id, item] of Object.entries(changed)) {
      if (item) items.set(id, item)
      else items.delete(id)
    }
    next[name] = [...items.values()]
  }
  for (const name of WHOLES) {
    if (!(name in patch)) continue
    if (patch[name] === null) delete next[name]
    else next[name] = patch[name]
  }
  return toCanonicalForm(next as FleetConfigInput)
}

/** Lists what a patch touches, as `section/id`. */
export function listPatchedItems(patch: FleetPatch): string[] {
  const items = LISTS.flatMap((name) => Object.keys(patch[name] ?? {}).map((id) => `${name}/${id}`))
  return [...items, ...WHOLES.filter((name) => name in patch)]
}
