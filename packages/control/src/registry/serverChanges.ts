/**
 * Which backend servers changed since a router last polled, so that it receives these and not all.
 */
import type { BackendServerId } from '@spoolgate/core'
import type { RegisteredServer } from '../state/serverState.js'

/** What a router receives of servers. */
export interface ServersUpdate {
  /** Revision that it is applied to; null where all servers are sent. */
  readonly since: number | null
  /** Servers that are new or changed. */
  readonly changed: readonly RegisteredServer[]
  /** Servers that have left. */
  readonly gone: readonly BackendServerId[]
}

/** See {@link createServerChanges}. */
export interface ServerChanges {
  /** Compares the servers with what was seen last, as a revision; true when any changed. */
  record(revision: number): boolean
  /** Lists what changed after a revision; all servers where that is not known, or undefined. */
  listSince(revision: number | undefined): ServersUpdate
}

/**
 * Servers that left and are remembered: several times those of a large fleet. A router that is further behind
 * receives all.
 */
const MAX_GONE = 2_000

/** Creates a record of the servers as they are now. */
export function createServerChanges(list: () => readonly RegisteredServer[]): ServerChanges {
  const seen = new Map<BackendServerId, RegisteredServer>()
  const changedAt = new Map<BackendServerId, number>()
  /** Servers that left, in the order of their leaving. */
  const goneAt = new Map<BackendServerId, number>()
  /** Revisions below this one receive all servers. */
  let knownFrom = 0

  const removeServer = (id: BackendServerId, revision: number) => {
    seen.delete(id)
    changedAt.delete(id)
    goneAt.delete(id)
    goneAt.set(id, revision)
    if (goneAt.size <= MAX_GONE) return
    const [[oldest, leftAt]] = goneAt
    goneAt.delete(oldest)
    knownFrom = leftAt
  }
  const record = (revision: number) => {
    const servers = list()
    // A server is replaced whole when anything of it changes, so that the same object is unchanged.
    const changed = servers.filter((server) => seen.get(server.id) !== server)
    for (const server of changed) {
      seen.set(server.id, server)
      changedAt.set(server.id, revision)
      goneAt.delete(server.id)
    }
    const held = new Set(servers.map(({ id }) => id))
    const gone = [...seen.keys()].filter((id) => !held.has(id))
    for (const id of gone) removeServer(id, revision)
    return changed.length + gone.length > 0
  }
  record(0)
  return {
    record,
    listSince: (revision) => {
      if (revision === undefined || revision < knownFrom) {
        return { since: null, changed: list(), gone: [] }
      }
      const isAfter = (at: number | undefined) => at !== undefined && at > revision
      return {
        since: revision,
        changed: [...seen.values()].filter(({ id }) => isAfter(changedAt.get(id))),
        gone: [...goneAt].filter(([, at]) => isAfter(at)).map(([id]) => id),
      }
    },
  }
}
