/**
 * Patches between two fleet configurations. Most changes affect one team or one backend server; a patch instead of
 * the full configuration keeps the transfer to each node below 1 KB.
 */
import { createHash } from 'node:crypto'
import type { FleetConfigInput } from '@spoolgate/config'

/** Sections that are lists of items with an id, patched item by item. */
const LIST_SECTIONS = ['models', 'backendServers', 'templates', 'teams'] as const
/** Sections that are replaced as a unit. */
const ATOMIC_SECTIONS = ['services', 'routing'] as const

type ListSection = (typeof LIST_SECTIONS)[number]
type AtomicSection = (typeof ATOMIC_SECTIONS)[number]
type Item = { readonly id: string }

/** Added or changed items by id; null for removed items. */
type ListPatch = Readonly<Record<string, Item | null>>

/** Changes that turn one configuration into the next. */
export type FleetPatch = { readonly [K in ListSection]?: ListPatch } & {
  readonly [K in AtomicSection]?: unknown
}

function listItems(config: FleetConfigInput, name: ListSection): readonly Item[] {
  return config[name] ?? []
}

function isSameContent(a: unknown, b: unknown): boolean {
  return JSON.stringify(a) === JSON.stringify(b)
}

/** Orders sections and items, so that equal configurations serialise to the same JSON. */
export function toCanonicalForm(config: FleetConfigInput): FleetConfigInput {
  const lists = LIST_SECTIONS.map((name) => {
    const items = [...listItems(config, name)].sort((a, b) => (a.id < b.id ? -1 : 1))
    return [name, items]
  })
  const wholes = ATOMIC_SECTIONS.filter((name) => config[name] !== undefined)
  return Object.fromEntries([...lists, ...wholes.map((name) => [name, config[name]])])
}

/** Hashes a configuration in canonical form. */
export function hashFleet(config: FleetConfigInput): string {
  return createHash('sha256').update(JSON.stringify(config)).digest('base64url')
}

function buildListPatch(before: readonly Item[], after: readonly Item[]): ListPatch {
  const unmatched = new Map(before.map((item) => [item.id, item]))
  const patch: Record<string, Item | null> = {}
  for (const item of after) {
    if (!isSameContent(unmatched.get(item.id), item)) patch[item.id] = item
    unmatched.delete(item.id)
  }
  for (const id of unmatched.keys()) patch[id] = null
  return patch
}

/** Builds the patch between two configurations in canonical form. */
export function buildFleetPatch(before: FleetConfigInput, after: FleetConfigInput): FleetPatch {
  const patch: Record<string, unknown> = {}
  for (const name of LIST_SECTIONS) {
    const listPatch = buildListPatch(listItems(before, name), listItems(after, name))
    if (Object.keys(listPatch).length > 0) patch[name] = listPatch
  }
  for (const name of ATOMIC_SECTIONS) {
    if (!isSameContent(before[name], after[name])) patch[name] = after[name] ?? null
  }
  return patch as FleetPatch
}

/** Applies a patch to a configuration in canonical form. */
export function applyFleetPatch(config: FleetConfigInput, patch: FleetPatch): FleetConfigInput {
  const next: Record<string, unknown> = { ...config }
  for (const name of LIST_SECTIONS) {
    const listPatch = patch[name]
    if (!listPatch) continue
    const items = new Map(listItems(config, name).map((item) => [item.id, item]))
    for (const [id, item] of Object.entries(listPatch)) {
      if (item) items.set(id, item)
      else items.delete(id)
    }
    next[name] = [...items.values()]
  }
  for (const name of ATOMIC_SECTIONS) {
    if (!(name in patch)) continue
    if (patch[name] === null) delete next[name]
    else next[name] = patch[name]
  }
  return toCanonicalForm(next as FleetConfigInput)
}

/** Lists the items that a patch changes, as `section/id`, or `section` for sections replaced as a unit. */
export function listPatchedItems(patch: FleetPatch): string[] {
  const items = LIST_SECTIONS.flatMap((name) =>
    Object.keys(patch[name] ?? {}).map((id) => `${name}/${id}`),
  )
  return [...items, ...ATOMIC_SECTIONS.filter((name) => name in patch)]
}
