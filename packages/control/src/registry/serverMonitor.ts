/**
 * What the leader alone knows of servers: which are silent, and which hold weights so old that
 * nothing may begin on them. Looks at regular times and says when something changed.
 */
import type { BackendServerId, TimerService } from '@spoolgate/core'
import { Subject, type Observable } from 'rxjs'
import type { ControlMachine } from '../state/controlMachine.js'
import type { RegisteredServer } from '../state/serverState.js'

/** Options of {@link createServerMonitor}. */
export interface ServerMonitorOptions {
  readonly machine: ControlMachine
  readonly timers: TimerService
  /** Ms since the last heartbeat of a server. */
  readonly findSilenceMs: (id: BackendServerId) => number
  /** Silence after which a server counts as silent, in ms. */
  readonly silentAfterMs: number
  /** Age of a newer version after which nothing may begin on an older one, in ms. */
  readonly weightsExpireMs: number
}

/** The watch; see {@link createServerMonitor}. */
export interface ServerMonitor {
  listSilent(): readonly BackendServerId[]
  listExpired(): readonly BackendServerId[]
  /** Emits when either list changed. */
  readonly changes: Observable<void>
  close(): void
}

/** Time between two looks, in ms; small against the bounds on silence and on old weights. */
const LOOK_PERIOD_MS = 100
/** Versions of a model whose age is remembered; older ones have expired by then. */
const MAX_NAMED = 32

interface NamedVersion {
  readonly version: number
  /** When this instance learned of it, in ms of the monotonic clock. */
  readonly at: number
}

/** Creates the watch and starts to look. */
export function createServerMonitor(options: ServerMonitorOptions): ServerMonitor {
  const { machine, timers } = options
  const named = new Map<string, NamedVersion[]>()
  const changes = new Subject<void>()
  /** Both lists as of the last look. */
  let seen = ' '

  const recordNamed = () => {
    for (const [model, version] of Object.entries(machine.weights.list())) {
      const known = named.get(model) ?? []
      if (known.some((entry) => entry.version === version)) continue
      named.set(model, [...known, { version, at: timers.now() }].slice(-MAX_NAMED))
    }
  }
  const isExpired = ({ weights }: RegisteredServer) =>
    weights.some(({ model, version }) => {
      const newer = (named.get(model) ?? []).find((entry) => entry.version > version)
      return newer !== undefined && timers.now() - newer.at > options.weightsExpireMs
    })
  const listSilent = () =>
    machine.servers
      .list()
      .filter(({ id }) => options.findSilenceMs(id) > options.silentAfterMs)
      .map(({ id }) => id)
  const listExpired = () =>
    machine.servers
      .list()
      .filter(isExpired)
      .map(({ id }) => id)
  const look = () => {
    recordNamed()
    const found = `${listSilent().join()} ${listExpired().join()}`
    if (found === seen) return
    seen = found
    changes.next()
  }
  const naming = machine.fleetChanges.subscribe(recordNamed)
  const looking = timers.every(LOOK_PERIOD_MS).subscribe(look)
  return {
    listSilent,
    listExpired,
    changes,
    close: () => {
      naming.unsubscribe()
      looking.unsubscribe()
    },
  }
}
