/**
 * Keeps servers of a new software version out of the registry until no router takes the group for one with fewer
 * versions. A router whose state is recent, and that knows a single version, resumes streams at it without a record of
 * the version that began them (`VERSIONS_MAX_AGE_MS`).
 */
import type { SoftwareVersion, TimerService } from '@spoolgate/core'
import { filter, firstValueFrom, Subject, takeUntil } from 'rxjs'
import { findSoftwareVersion, type ServerState } from '../state/serverState.js'
import type { SoftwareVersionState } from '../state/softwareVersionState.js'

/** Options of {@link createVersionGate}. */
export interface VersionGateOptions {
  readonly versions: SoftwareVersionState
  readonly servers: Pick<ServerState, 'list'>
  readonly timers: TimerService
}

/** See {@link createVersionGate}. */
export interface VersionGate {
  /** Whether servers of a group that have a version may be registered. */
  isOpen(group: string, version: SoftwareVersion): boolean
  /** Resolves once a listed version is open, with whether it is; it is not after {@link close}. */
  waitUntilOpen(group: string, version: SoftwareVersion): Promise<boolean>
  /** Records that a router polled the leader of a term, and the revision of the versions that it holds. */
  recordPoll(router: string, versionsSeen: number, term: number): void
  close(): void
}

/**
 * Maximum age of a router's state at which the only version that it knows is that of all streams of the group, in ms. A
 * router polls each 0.1 to 0.9 s, by the size of the fleet.
 */
export const VERSIONS_MAX_AGE_MS = 1_500
/** Time after which the state of a router that did not poll again is too old, in ms; the rest covers uneven clocks. */
const LEASE_MS = VERSIONS_MAX_AGE_MS + 500
/** Period of checking whether a version is open, in ms. */
const CHECK_PERIOD_MS = 25

interface RouterPoll {
  readonly at: number
  readonly versionsSeen: number
}

/** Creates the gate of one instance, which is used while it leads. */
export function createVersionGate({ versions, servers, timers }: VersionGateOptions): VersionGate {
  const polls = new Map<string, RouterPoll>()
  /** When this instance first found a version listed, by revision. */
  const listedAt = new Map<number, number>()
  /** The first version of each group without a listed one. */
  const firstVersions = new Map<string, SoftwareVersion>()
  const closing = new Subject<void>()
  let leading = { term: -1, since: Infinity }

  const removeOldPolls = (now: number) => {
    for (const [router, { at }] of polls) if (now - at > LEASE_MS) polls.delete(router)
  }
  /** Whether each router that may rely on its state has a list with the version. */
  const isKnownEverywhere = (revision: number) => {
    const now = timers.now()
    const knownAt = listedAt.get(revision) ?? now
    listedAt.set(revision, knownAt)
    if (now - knownAt >= LEASE_MS) return true
    // Routers polled an earlier leader until then.
    if (now - leading.since < LEASE_MS) return false
    removeOldPolls(now)
    return [...polls.values()].every(({ versionsSeen }) => versionsSeen >= revision)
  }
  const isFirst = (group: string, version: SoftwareVersion) => {
    const first = firstVersions.get(group) ?? version
    firstVersions.set(group, first)
    return first === version
  }
  const isOpen = (group: string, version: SoftwareVersion) => {
    const listed = versions.list()[group] ?? []
    if (listed.length === 0) return isFirst(group, version)
    firstVersions.delete(group)
    const revision = versions.findRevision(group, version)
    if (revision === undefined) return false
    const isInUse = servers
      .list()
      .some((server) => server.group === group && findSoftwareVersion(server) === version)
    return isInUse || listed.length === 1 || isKnownEverywhere(revision)
  }
  return {
    isOpen,
    waitUntilOpen: async (group, version) => {
      if (isOpen(group, version)) return true
      const isOver = timers.every(CHECK_PERIOD_MS).pipe(
        filter(() => isOpen(group, version)),
        takeUntil(closing),
      )
      await firstValueFrom(isOver, { defaultValue: undefined })
      return isOpen(group, version)
    },
    recordPoll: (router, versionsSeen, term) => {
      if (term !== leading.term) {
        leading = { term, since: timers.now() }
        polls.clear()
      }
      polls.set(router, { at: timers.now(), versionsSeen })
    },
    close: () => closing.next(),
  }
}
