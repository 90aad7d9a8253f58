/**
 * Replicated software versions of the servers of each group. A version is listed before a server that has it is
 * registered, and stays listed until no stream can be left that such a server began.
 */
import type { SoftwareVersion } from '@spoolgate/core'
import type { RegisteredServer } from './serverState.js'
import { findSoftwareVersion } from './serverState.js'

/** Software versions by group, in the order in which they were listed. */
export type GroupVersions = Readonly<Record<string, readonly SoftwareVersion[]>>

/** Lists a version of a group. */
export interface AddSoftwareVersion {
  readonly kind: 'version.add'
  /** Not named `group`, which marks the commands that change the control group. */
  readonly serverGroup: string
  readonly version: SoftwareVersion
}

/** Removes a version that no server has had for a long time. */
export interface RemoveSoftwareVersion {
  readonly kind: 'version.remove'
  readonly serverGroup: string
  readonly version: SoftwareVersion
}

/** Result of both commands. */
export interface SoftwareVersionResult {
  /** Revision of the list after the command. */
  readonly revision: number
}

/** A version with the revision of the list that first contained it. */
type ListedVersion = readonly [version: SoftwareVersion, revision: number]

/** State as stored in a snapshot. */
export interface SavedSoftwareVersions {
  readonly revision: number
  readonly groups: readonly (readonly [group: string, versions: readonly ListedVersion[]])[]
}

/** The listed versions; see {@link createSoftwareVersionState}. */
export interface SoftwareVersionState {
  /** The same object until the next change. */
  list(): GroupVersions
  /** Increases with each change; the same at all instances for the same list. */
  revision(): number
  /** Revision of the list that first contained a version; undefined while it is not listed. */
  findRevision(group: string, version: SoftwareVersion): number | undefined
  add(command: Omit<AddSoftwareVersion, 'kind'>): SoftwareVersionResult
  remove(command: Omit<RemoveSoftwareVersion, 'kind'>): SoftwareVersionResult
  save(): SavedSoftwareVersions
  /** Loads a snapshot; one written before version 0.9 has no versions, and those of its servers are listed. */
  load(saved: SavedSoftwareVersions | undefined, servers: readonly RegisteredServer[]): void
}

/** Creates a state without versions. */
export function createSoftwareVersionState(): SoftwareVersionState {
  const groups = new Map<string, Map<SoftwareVersion, number>>()
  let revision = 0
  let listed: GroupVersions | undefined

  const recordChange = () => {
    revision += 1
    listed = undefined
  }
  const add: SoftwareVersionState['add'] = ({ serverGroup: group, version }) => {
    const versions = groups.get(group) ?? new Map<SoftwareVersion, number>()
    if (versions.has(version)) return { revision }
    recordChange()
    groups.set(group, versions.set(version, revision))
    return { revision }
  }
  return {
    list: () =>
      (listed ??= Object.fromEntries(
        [...groups].map(([group, versions]) => [group, [...versions.keys()]]),
      )),
    revision: () => revision,
    findRevision: (group, version) => groups.get(group)?.get(version),
    add,
    remove: ({ serverGroup: group, version }) => {
      const versions = groups.get(group)
      if (!versions?.delete(version)) return { revision }
      if (versions.size === 0) groups.delete(group)
      recordChange()
      return { revision }
    },
    save: () => ({
      revision,
      groups: [...groups].map(([group, versions]) => [group, [...versions]] as const),
    }),
    load: (saved, servers) => {
      groups.clear()
      for (const [group, versions] of saved?.groups ?? []) groups.set(group, new Map(versions))
      revision = saved?.revision ?? 0
      listed = undefined
      if (saved) return
      for (const server of servers)
        add({ serverGroup: server.group, version: findSoftwareVersion(server) })
    },
  }
}
