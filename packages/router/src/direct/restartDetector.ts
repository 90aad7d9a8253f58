/**
 * Detects backend servers that have restarted. The requests of the previous incarnation are lost, and connections to it
 * may stay open without ever carrying data again.
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
  /** The router's view of the fleet, after each change. */
  readonly views: Observable<Pick<FleetView, 'servers'>>
  readonly agent: Pick<KeepAliveAgent, 'closeIdle'>
  readonly logger: Logger
  /** Called with the previous and the new incarnation, before anything is sent to the new one. */
  readonly onRestart?: (before: BackendServerId, after: BackendServerId) => void
}

/** See {@link createRestartDetector}. */
export interface RestartDetector {
  /** Emits when the server of the given incarnation has restarted. */
  watch(id: BackendServerId): Observable<void>
  close(): void
}

/** Options of {@link watchStall}. */
export interface StallWatchOptions {
  readonly restarts: Pick<RestartDetector, 'watch'>
  readonly timers: TimerService
  /** Incarnation that the call was sent to, as far as the router knows. */
  readonly server: BackendServerId
  /** Returns when the last part of the response arrived, in ms of the monotonic clock. */
  readonly lastDataAt: () => number
  readonly onRestart: () => void
  /** Called when no data has arrived for {@link STALL_TIMEOUT_MS} after the restart of the server. */
  readonly onStall: () => void
}

/**
 * Time without data after which a call to a restarted server is presumed lost with the previous incarnation, in ms:
 * more than the pauses allowed within streams, 400 to 500 ms in production. Calls are not abandoned immediately because
 * the router learns of a restart only from control, and the call may already run on the new incarnation.
 */
const STALL_TIMEOUT_MS = 1_000

/** Watches a call for a restart of its server, and for a stall after the restart. */
export function watchStall(options: StallWatchOptions): Subscription {
  const { restarts, timers, server, lastDataAt, onRestart, onStall } = options
  const waitUntilStalled = (restartedAt: number): Observable<unknown> => {
    const idleSince = Math.max(restartedAt, lastDataAt())
    const leftMs = idleSince + STALL_TIMEOUT_MS - timers.now()
    return leftMs > 0
      ? timers.after(leftMs).pipe(switchMap(() => waitUntilStalled(restartedAt)))
      : of(undefined)
  }
  return restarts
    .watch(server)
    .pipe(
      tap(onRestart),
      switchMap(() => waitUntilStalled(timers.now())),
    )
    .subscribe(onStall)
}

/** Creates a restart detector. */
export function createRestartDetector(options: RestartDetectorOptions): RestartDetector {
  const { agent, logger } = options
  const restarted = new Subject<BackendServerId>()
  let knownServers: ReadonlyMap<ServerName, RegisteredServer> = new Map()

  const recordRestart = (before: RegisteredServer, server: RegisteredServer) => {
    logger.info('server.restarted', {
      server: server.id,
      before: before.id,
      address: server.address,
      addressBefore: before.address,
    })
    options.onRestart?.(before.id, server.id)
    agent.closeIdle(before.address)
    restarted.next(before.id)
  }
  const detectRestarts = ({ servers }: Pick<FleetView, 'servers'>) => {
    const currentServers = new Map([...servers.values()].map((server) => [server.name, server]))
    for (const [name, server] of currentServers) {
      const before = knownServers.get(name)
      if (before && before.id !== server.id) recordRestart(before, server)
    }
    knownServers = currentServers
  }
  const subscription = options.views.subscribe(detectRestarts)
  return {
    watch: (id) =>
      restarted.pipe(
        filter((other) => other === id),
        map(() => undefined),
      ),
    close: () => subscription.unsubscribe(),
  }
}
