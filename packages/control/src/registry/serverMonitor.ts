/**
 * Monitors, at the leader, which servers are silent and which hold expired weights, on which no request may start.
 * Checks periodically and emits when either set changes.
 */
import type { BackendServerId, TimerService } from '@spoolgate/core'
import { Subject, type Observable } from 'rxjs'
import type { ControlStateMachine } from '../state/controlMachine.js'
import type { LoadedWeights, RegisteredServer } from '../state/serverState.js'
import { createWeightsHistory, findSupersededAt, type VersionAges } from './weightsHistory.js'

/** Options of {@link createServerMonitor}. */
export interface ServerMonitorOptions {
  readonly machine: ControlStateMachine
  readonly timers: TimerService
  /** Returns the time since the last heartbeat of a server, in ms. */
  readonly findHeartbeatAgeMs: (id: BackendServerId) => number
  /** Time without a heartbeat after which a server counts as silent, in ms. */
  readonly silentAfterMs: number
  /** Age of a newer weights version after which no request may start on an older one, in ms. */
  readonly weightsExpireMs: number
}

/** See {@link createServerMonitor}. */
export interface ServerMonitor {
  listSilent(): readonly BackendServerId[]
  listExpired(): readonly BackendServerId[]
  /** Lists the ages of the tracked weights versions. */
  listVersionAges(): VersionAges
  /** Finds the time since this instance learned of a newer version, in ms; undefined while there is none. */
  findNewerAgeMs(weights: LoadedWeights): number | undefined
  /** Emits when either list changes. */
  readonly changes: Observable<void>
  close(): void
}

/** Interval between checks, in ms: small compared with the limits on silence and on the age of weights. */
const CHECK_PERIOD_MS = 100

interface ScanResult {
  readonly ids: readonly BackendServerId[]
  /** Time until which no change but a later revision adds a server, in ms of the monotonic clock. */
  readonly validUntil: number
}

/** A list that is found again only if something may have changed; an equal list keeps its identity. */
function createCachedList(timers: TimerService) {
  let ids: readonly BackendServerId[] = []
  let revision: unknown
  let validUntil = -Infinity
  return {
    current: () => ids,
    /** Returns the list for a revision; undefined finds it in any case. */
    read: (wanted: unknown, find: () => ScanResult) => {
      if (wanted !== undefined && wanted === revision && timers.now() <= validUntil) return ids
      const found = find()
      revision = wanted
      validUntil = found.validUntil
      const isEqual =
        found.ids.length === ids.length && found.ids.every((id, index) => id === ids[index])
      if (!isEqual) ids = found.ids
      return ids
    },
  }
}

/** Creates the monitor and starts its periodic check. */
export function createServerMonitor(options: ServerMonitorOptions): ServerMonitor {
  const { machine, timers } = options
  const history = createWeightsHistory(timers)
  const changes = new Subject<void>()
  /** Counts the changes of the history. */
  let versionsRevision = 0
  const silent = createCachedList(timers)
  const expired = createCachedList(timers)
  let lastSilent = silent.current()
  let lastExpired = expired.current()

  const recordVersions = () => {
    if (history.record(machine.weights.list(), timers.now())) versionsRevision += 1
  }
  const findNewerAgeMs = ({ model, version }: LoadedWeights) => {
    const supersededAt = findSupersededAt(history.times(), model, version)
    return supersededAt === undefined ? undefined : timers.now() - supersededAt
  }
  const isExpired = ({ weights }: RegisteredServer) =>
    weights.some((held) => (findNewerAgeMs(held) ?? 0) > options.weightsExpireMs)
  const isSilent = (id: BackendServerId) => options.findHeartbeatAgeMs(id) > options.silentAfterMs
  const findSilent = (): ScanResult => {
    const now = timers.now()
    const ids: BackendServerId[] = []
    let validUntil = Infinity
    for (const { id } of machine.servers.list()) {
      const ageMs = options.findHeartbeatAgeMs(id)
      if (ageMs > options.silentAfterMs) ids.push(id)
      else validUntil = Math.min(validUntil, now - ageMs + options.silentAfterMs)
    }
    return { ids, validUntil }
  }
  const findExpired = (): ScanResult => {
    const ends = Object.values(history.times())
      .flat()
      .map(({ at }) => at + options.weightsExpireMs)
    const ids = machine.servers.list().filter(isExpired)
    return {
      ids: ids.map(({ id }) => id),
      validUntil: Math.min(...ends.filter((end) => end >= timers.now())),
    }
  }
  // Heartbeats only move the end of a server's time forward: until the first end, no further server becomes silent.
  const listSilent = () => {
    const isSame = silent.current().every(isSilent)
    return silent.read(isSame ? machine.servers.revision() : undefined, findSilent)
  }
  const listExpired = () =>
    expired.read(`${machine.servers.revision()} ${versionsRevision}`, findExpired)
  const checkServers = () => {
    recordVersions()
    const isSame = listSilent() === lastSilent && listExpired() === lastExpired
    if (isSame) return
    lastSilent = listSilent()
    lastExpired = listExpired()
    changes.next()
  }
  const fleetSubscription = machine.fleetChanges.subscribe(recordVersions)
  const checkSubscription = timers.every(CHECK_PERIOD_MS).subscribe(checkServers)
  return {
    listSilent,
    listExpired,
    listVersionAges: history.listAges,
    findNewerAgeMs,
    changes,
    close: () => {
      fleetSubscription.unsubscribe()
      checkSubscription.unsubscribe()
    },
  }
}
