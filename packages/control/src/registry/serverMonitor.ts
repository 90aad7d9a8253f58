/**
 * Monitors, at the leader, which servers are silent and which hold expired weights, on which no request may start.
 * Checks periodically and emits when either set changes.
 */
import type { BackendServerId, TimerService } from '@spoolgate/core'
import { Subject, type Observable } from 'rxjs'
import type { ControlStateMachine } from '../state/controlMachine.js'
import type { RegisteredServer } from '../state/serverState.js'

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
  /** Emits when either list changes. */
  readonly changes: Observable<void>
  close(): void
}

/** Interval between checks, in ms: small compared with the limits on silence and on the age of weights. */
const CHECK_PERIOD_MS = 100
/** Maximum number of versions tracked per model; older ones have expired by then. */
const MAX_TRACKED_VERSIONS = 32

interface TrackedVersion {
  readonly version: number
  /** When this instance learned of the version, in ms of the monotonic clock. */
  readonly learnedAt: number
}

/** Creates the monitor and starts its periodic check. */
export function createServerMonitor(options: ServerMonitorOptions): ServerMonitor {
  const { machine, timers } = options
  const versions = new Map<string, TrackedVersion[]>()
  const changes = new Subject<void>()
  /** Both lists as of the last check, joined for comparison. */
  let lastState = ' '

  const recordVersions = () => {
    for (const [model, version] of Object.entries(machine.weights.list())) {
      const known = versions.get(model) ?? []
      if (known.some((entry) => entry.version === version)) continue
      versions.set(
        model,
        [...known, { version, learnedAt: timers.now() }].slice(-MAX_TRACKED_VERSIONS),
      )
    }
  }
  const isExpired = ({ weights }: RegisteredServer) =>
    weights.some(({ model, version }) => {
      const newer = (versions.get(model) ?? []).find((entry) => entry.version > version)
      return newer !== undefined && timers.now() - newer.learnedAt > options.weightsExpireMs
    })
  const listSilent = () =>
    machine.servers
      .list()
      .filter(({ id }) => options.findHeartbeatAgeMs(id) > options.silentAfterMs)
      .map(({ id }) => id)
  const listExpired = () =>
    machine.servers
      .list()
      .filter(isExpired)
      .map(({ id }) => id)
  const checkServers = () => {
    recordVersions()
    const state = `${listSilent().join()} ${listExpired().join()}`
    if (state === lastState) return
    lastState = state
    changes.next()
  }
  const fleetSubscription = machine.fleetChanges.subscribe(recordVersions)
  const checkSubscription = timers.every(CHECK_PERIOD_MS).subscribe(checkServers)
  return {
    listSilent,
    listExpired,
    changes,
    close: () => {
      fleetSubscription.unsubscribe()
      checkSubscription.unsubscribe()
    },
  }
}
