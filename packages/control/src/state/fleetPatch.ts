/**
 * Differences between two fleet configurations. Most changes touch one team or one backend server;
 * sending the difference instead of the whole keeps a change under a kilobyte for each node.
 */
import { createHash } from 'node:crypto'
import type { FleetConfigInput } from '@spoolgate/config'

/** Sections that are lists of items with an id. */
const LIST_SECTIONS = ['models', 'backendServers', 'templates', 'teams'] as const
/** Sections that are replaced whole. */
const ATOMIC_SECTIONS = ['services', 'routing'] as const

type ListSection = (typeof LIST_SECTIONS)[number]
type AtomicSection = (typeof ATOMIC_SECTIONS)[number]
type Item = { readonly id: string }

/** Items by id that were set, or null where they were removed. */
type ListPatch = Readonly<Record<string, Item | null>>

/** What turns one configuration into the next. */
export type FleetPatch = { readonly [K in ListSection]?: ListPatch } & {
  readonly [K in AtomicSection]?: unknown
}

function listItems(config: FleetConfigInput, name: ListSection): readonly Item[] {
  return config[name] ?? []
}

function isSameContent(a: unknown, b: unknown): boolean {
  return JSON.stringify(a) === JSON.stringify(b)
}

/** Brings a configuration into one order, so that equal content has equal text. */
export function toCanonicalForm(config: FleetConfigInput): FleetConfigInput {
  const lists = LIST_SECTIONS.map((name) => {
    const items = [...listItems(config, name)].sort((a, b) => (a.id < b.id ? -1 : 1))
    return [name, items]
  })
  const wholes = ATOMIC_SECTIONS.filter((name) => config[name] !== undefined)
  return Object.fromEntries([...lists, ...wholes.map((name) => [name, config[name]])])
}

/** Hashes a configuration in normal form. */
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

/** Compares two configurations in normal form. */
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

/** Applies a patch to a configuration in normal form. */
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

/** Lists what a patch touches, as `section/id`. */
export function listPatchedItems(patch: FleetPatch): string[] {
  const items = LIST_SECTIONS.flatMap((name) =>
    Object.keys(patch[name] ?? {}).map((id) => `${name}/${id}`),
  )
  return [...items, ...ATOMIC_SECTIONS.filter((name) => name in patch)]
}
