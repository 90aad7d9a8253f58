/**
 * Runs listeners of single connections. An error that a listener does not expect ends its connection, not the process
 * with all other connections. Errors that concern the process itself still end it: a failed disk does not come through
 * here, and a violated invariant, which throws only where invariants are fatal, is passed on.
 */
import { InvariantViolation } from './invariants.js'
import type { Logger } from './logger.js'
import type { Metrics } from './metrics.js'

/** Options of {@link createConnectionGuard}. */
export interface ConnectionGuardOptions {
  readonly logger: Logger
  /**
   * Registry that counts the failures by place.
   * @default undefined, the failures are only logged
   */
  readonly metrics?: Pick<Metrics, 'counter'>
}

/** Runs code on behalf of one connection; see {@link createConnectionGuard}. */
export interface ConnectionGuard {
  /**
   * Runs an action. An error that it throws is logged and counted, and then `onFailure` ends the connection.
   * @param place name of the listener, for the log and the counter
   */
  run(place: string, action: () => void, onFailure: (reason: string) => void): void
  /** Wraps a listener so that each of its calls runs as above. */
  wrap<Args extends unknown[]>(
    place: string,
    listener: (...args: Args) => void,
    onFailure: (reason: string) => void,
  ): (...args: Args) => void
  /** Records an error that ended a connection without a listener that threw it, such as a rejected promise. */
  recordFailure(place: string, cause: unknown): string
}

/** Creates a guard. */
export function createConnectionGuard({
  logger,
  metrics,
}: ConnectionGuardOptions): ConnectionGuard {
  const failures = metrics?.counter(
    'connection_failures',
    'Connections ended by an unexpected error in one of their listeners, by place',
  )
  const recordFailure = (place: string, cause: unknown): string => {
    if (cause instanceof InvariantViolation) throw cause
    const reason = cause instanceof Error ? cause.message : String(cause)
    const stack = cause instanceof Error ? cause.stack : undefined
    logger.error('connection.failed', { place, reason, stack })
    failures?.add(1, { place })
    return reason
  }
  const run: ConnectionGuard['run'] = (place, action, onFailure) => {
    try {
      action()
    } catch (cause) {
      onFailure(recordFailure(place, cause))
    }
  }
  return {
    run,
    wrap:
      (place, listener, onFailure) =>
      (...args) =>
        run(place, () => listener(...args), onFailure),
    recordFailure,
  }
}
