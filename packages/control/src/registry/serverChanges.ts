/**
 * Tracks changes of backend servers by revision, so that a polling router receives only what changed since its last
 * poll.
 */
import type { BackendServerId } from '@spoolgate/core'
import type { RegisteredServer } from '../state/serverState.js'

/** Update of the server list sent to a router. */
export interface ServersUpdate {
  /** Revision that the update applies to; null when it contains all servers. */
  readonly since: number | null
  /** New and changed servers. */
  readonly changed: readonly RegisteredServer[]
  /** Removed servers. */
  readonly gone: readonly BackendServerId[]
}

/** See {@link createServerChanges}. */
export interface ServerChanges {
  /** Records the changes since the last call under a revision; true when there are any. */
  record(revision: number): boolean
  /** Lists the changes after a revision; all servers when the revision is undefined or too old. */
  listSince(revision: number | undefined): ServersUpdate
}

/**
 * Maximum number of removed servers to remember: several times the size of a large deployment. A router that is
 * further behind receives all servers.
 */
const MAX_REMOVED = 2_000

/** Creates a change record that starts from the current servers. */
export function createServerChanges(list: () => readonly RegisteredServer[]): ServerChanges {
  const known = new Map<BackendServerId, RegisteredServer>()
  const changedAt = new Map<BackendServerId, number>()
  /** Removed servers, in the order of removal. */
  const removedAt = new Map<BackendServerId, number>()
  /** Oldest revision from which a partial update can be built. */
  let oldestRevision = 0

  const removeServer = (id: BackendServerId, revision: number) => {
    known.delete(id)
    changedAt.delete(id)
    removedAt.delete(id)
    removedAt.set(id, revision)
    if (removedAt.size <= MAX_REMOVED) return
    const [[oldest, leftAt]] = removedAt
    removedAt.delete(oldest)
    oldestRevision = leftAt
  }
  const listGone = (servers: readonly RegisteredServer[]) => {
    const currentIds = new Set(servers.map(({ id }) => id))
    return [...known.keys()].filter((id) => !currentIds.has(id))
  }
  const record = (revision: number) => {
    const servers = list()
    // Server objects are immutable: a change replaces the object, so identity comparison detects it.
    const changed = servers.filter((server) => known.get(server.id) !== server)
    for (const server of changed) {
      known.set(server.id, server)
      changedAt.set(server.id, revision)
      removedAt.delete(server.id)
    }
    const gone = known.size > servers.length ? listGone(servers) : []
    for (const id of gone) removeServer(id, revision)
    return changed.length + gone.length > 0
  }
  record(0)
  return {
    record,
    listSince: (revision) => {
      if (revision === undefined || revision < oldestRevision) {
        return { since: null, changed: list(), gone: [] }
      }
      const isAfter = (at: number | undefined) => at !== undefined && at > revision
      return {
        since: revision,
        changed: [...known.values()].filter(({ id }) => isAfter(changedAt.get(id))),
        gone: [...removedAt].filter(([, at]) => isAfter(at)).map(([id]) => id),
      }
    },
  }
}
