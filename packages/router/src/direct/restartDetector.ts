/**
 * Backend servers that have started again. The later start holds nothing of the earlier one: what that was
 * running is over, and connections to it may stay open without ever carrying a byte again.
 */
import type { FleetView, RegisteredServer } from '@spoolgate/control'
import type {
  BackendServerId,
  KeepAliveAgent,
  Logger,
  ServerName,
  TimerService,
} from '@spoolgate/core'
import { filter, map, of, Subject, switchMap, tap, type Observable, type Subscription } from 'rxjs'

/** Options of {@link createRestartDetector}. */
export interface RestartDetectorOptions {
  /** What the router knows of the fleet, after each change. */
  readonly views: Observable<Pick<FleetView, 'servers'>>
  readonly agent: Pick<KeepAliveAgent, 'closeIdle'>
  readonly logger: Logger
  /** Called with the start before and the new one, before anything is sent to that. */
  readonly onRestart?: (before: BackendServerId, after: BackendServerId) => void
}

/** See {@link createRestartDetector}. */
export interface RestartDetector {
  /** Emits once the server of an incarnation has started again. */
  watch(id: BackendServerId): Observable<void>
  close(): void
}

/** Options of {@link watchStall}. */
export interface StallWatchOptions {
  readonly restarts: Pick<RestartDetector, 'watch'>
  readonly timers: TimerService
  /** Incarnation that a call was sent to, as far as the router knows. */
  readonly server: BackendServerId
  /** When the last part of the answer came, in ms of the monotonic clock. */
  readonly lastSignAt: () => number
  readonly onRestart: () => void
  /** Called when the call has been silent for {@link STALL_TIMEOUT_MS} since its server started again. */
  readonly onSilent: () => void
}

/**
 * Silence after which a call to a server that has started again is presumed to be one of the earlier start, in ms:
 * more than the pauses that streams are allowed, 400 to 500 on the users' deployments. Not at once, since a call may
 * be at the later start already: a router learns of that one only from control.
 */
const STALL_TIMEOUT_MS = 1_000

/** Watches a call for the restart of its server, and for the silence that follows. */
export function watchStall(options: StallWatchOptions): Subscription {
  const { restarts, timers, server, lastSignAt, onRestart, onSilent } = options
  const waitUntilSilent = (restartedAt: number): Observable<unknown> => {
    const silentSince = Math.max(restartedAt, lastSignAt())
    const leftMs = silentSince + STALL_TIMEOUT_MS - timers.now()
    return leftMs > 0
      ? timers.after(leftMs).pipe(switchMap(() => waitUntilSilent(restartedAt)))
      : of(undefined)
  }
  return restarts
    .watch(server)
    .pipe(
      tap(onRestart),
      switchMap(() => waitUntilSilent(timers.now())),
    )
    .subscribe(onSilent)
}

/** Creates the watch. */
export function createRestartDetector(options: RestartDetectorOptions): RestartDetector {
  const { agent, logger } = options
  const ended = new Subject<BackendServerId>()
  let known: ReadonlyMap<ServerName, RegisteredServer> = new Map()

  const recordRestart = (before: RegisteredServer, server: RegisteredServer) => {
    logger.info('server.restarted', {
      server: server.id,
      before: before.id,
      address: server.address,
      addressBefore: before.address,
    })
    options.onRestart?.(before.id, server.id)
    agent.closeIdle(before.address)
    ended.next(before.id)
  }
  const look = ({ servers }: Pick<FleetView, 'servers'>) => {
    const next = new Map([...servers.values()].map((server) => [server.name, server]))
    for (const [name, server] of next) {
      const before = known.get(name)
      if (before && before.id !== server.id) recordRestart(before, server)
    }
    known = next
  }
  const looking = options.views.subscribe(look)
  return {
    watch: (id) =>
      ended.pipe(
        filter((other) => other === id),
        map(() => undefined),
      ),
    close: () => looking.unsubscribe(),
  }
}
