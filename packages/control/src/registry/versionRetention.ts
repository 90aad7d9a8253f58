/** Removes software versions from the list of a group once no stream can be left that their servers began. */
import { toSpoolgateError, type Logger, type TimerService } from '@spoolgate/core'
import type { RaftMember } from '../raft/types.js'
import type { ControlStateMachine } from '../state/controlMachine.js'
import { findSoftwareVersion } from '../state/serverState.js'

/** Options of {@link startVersionRetention}. */
export interface VersionRetentionOptions {
  readonly member: Pick<RaftMember, 'status' | 'propose'>
  readonly machine: Pick<ControlStateMachine, 'servers' | 'softwareVersions'>
  readonly timers: TimerService
  readonly logger: Logger
}

/** Time after its last server for which a version stays listed, in ms; routers keep records for an hour at most. */
export const VERSION_RETENTION_MS = 3_900_000
const CHECK_PERIOD_MS = 10_000

/** Starts to check the versions while this instance leads; the result stops it. */
export function startVersionRetention(options: VersionRetentionOptions): { close(): void } {
  const { member, machine, timers, logger } = options
  /** Since when this leader has known no server of a version. */
  const unusedSince = new Map<string, number>()

  const removeVersion = (serverGroup: string, version: string) => {
    member
      .propose({ kind: 'version.remove', serverGroup, version })
      .then(() => logger.info('version.removed', { group: serverGroup, version }))
      .catch((cause) => {
        const reason = toSpoolgateError(cause).message
        logger.warn('version.notRemoved', { group: serverGroup, version, reason })
      })
  }
  const listUnused = () => {
    const used = new Set(
      machine.servers
        .list()
        .map((server) => JSON.stringify([server.group, findSoftwareVersion(server)])),
    )
    // The only version of a group says at which its streams may be resumed, also while it has no server.
    const groups = Object.entries(machine.softwareVersions.list()).filter(
      ([, versions]) => versions.length > 1,
    )
    return groups
      .flatMap(([group, versions]) => versions.map((version) => ({ group, version })))
      .map((entry) => ({ ...entry, key: JSON.stringify([entry.group, entry.version]) }))
      .filter(({ key }) => !used.has(key))
  }
  const checkVersions = () => {
    if (!member.status().hasLease) return unusedSince.clear()
    const now = timers.now()
    const unused = listUnused()
    const keys = new Set(unused.map(({ key }) => key))
    for (const key of unusedSince.keys()) if (!keys.has(key)) unusedSince.delete(key)
    for (const { key } of unused) unusedSince.set(key, unusedSince.get(key) ?? now)
    const due = unused.find(({ key }) => now - (unusedSince.get(key) ?? now) > VERSION_RETENTION_MS)
    // One at a time, so that the last version of a group stays.
    if (due) removeVersion(due.group, due.version)
  }
  const subscription = timers.every(CHECK_PERIOD_MS).subscribe(checkVersions)
  return { close: () => subscription.unsubscribe() }
}
