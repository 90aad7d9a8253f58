/** Software versions of each group, for operators. */
import type { SoftwareVersion } from '@spoolgate/core'
import { findSoftwareVersion, type RegisteredServer } from '../state/serverState.js'
import type { GroupVersions } from '../state/softwareVersionState.js'
import type { ServerLoads } from './feed.js'

/** Path, on the leader, of the list of software versions. */
export const VERSIONS_PATH = '/versions'

/** A software version as the leader knows it. */
export interface VersionStatus {
  readonly group: string
  /** Empty for servers that report none. */
  readonly version: string
  /** Registered servers that take new requests, and those that drain. */
  readonly ready: number
  readonly draining: number
  /** Calls of all routers in progress at them. */
  readonly calls: number
  /** Whether servers that have it may be registered. */
  readonly isOpen: boolean
}

/** Input of {@link listVersionStatus}. */
export interface VersionStatusInput {
  readonly versions: GroupVersions
  readonly servers: readonly RegisteredServer[]
  /** Load of all routers together. */
  readonly loads: ServerLoads
  readonly isOpen: (group: string, version: SoftwareVersion) => boolean
}

/** Lists the versions by group, in the order in which they were listed. */
export function listVersionStatus(input: VersionStatusInput): VersionStatus[] {
  const { versions, servers, loads, isOpen } = input
  const groups = Object.entries(versions).sort(([a], [b]) => a.localeCompare(b))
  return groups.flatMap(([group, listed]) =>
    listed.map((version) => {
      const held = servers.filter(
        (server) => server.group === group && findSoftwareVersion(server) === version,
      )
      return {
        group,
        version,
        ready: held.filter(({ phase }) => phase === 'ready').length,
        draining: held.filter(({ phase }) => phase === 'draining').length,
        calls: held.reduce((sum, { id }) => sum + (loads[id]?.calls ?? 0), 0),
        isOpen: isOpen(group, version),
      }
    }),
  )
}
