/** Checks whether a backend server may be sent a request now: its backoff, its shutdown and its rate limit. */
import type { FeedClient } from '@spoolgate/control'
import type { BackendServerId } from '@spoolgate/core'
import type { Backpressure, SendVerdict } from '@spoolgate/routing'
import type { LimitVerdict, ServerLimits } from '../limits/serverLimits.js'

/** State that decides whether a server may be sent a request. */
export interface AvailabilityParts {
  readonly backpressure: Pick<Backpressure, 'judgeSend'>
  readonly limits: Pick<ServerLimits, 'judgeSend' | 'isLimited' | 'isProbeDue'>
}

/** Whether a server may be sent a request now, and if not, why. */
export type ServerAvailability = SendVerdict | LimitVerdict

/** Returns whether a server in this state may be sent a request. */
export function isSendAllowed({ kind }: ServerAvailability): boolean {
  return kind === 'open' || kind === 'trial'
}

/** Checks the availability of a server at time `now`, in ms of the monotonic clock. */
export function checkServerAvailability(
  { backpressure, limits }: AvailabilityParts,
  id: BackendServerId,
  now: number,
): ServerAvailability {
  const backoffVerdict = backpressure.judgeSend(id, now)
  if (!isSendAllowed(backoffVerdict)) return backoffVerdict
  const limitVerdict = limits.judgeSend(id, now)
  return limitVerdict.kind === 'limited' ? limitVerdict : backoffVerdict
}

/** State that shows whether a server departs. */
export interface DepartureParts extends Pick<AvailabilityParts, 'backpressure'> {
  readonly feed: Pick<FeedClient, 'current'>
}

/**
 * Finds out why a server that was chosen earlier must not be sent the request any more: it departs, by what it said
 * itself or by what control reports. Undefined if it does not.
 */
export function findDepartureReason(
  { backpressure, feed }: DepartureParts,
  id: BackendServerId,
  now: number,
): string | undefined {
  if (backpressure.judgeSend(id, now).kind === 'leaving') return 'the server announced its shutdown'
  const view = feed.current()
  if (!view || view.servers.get(id)?.phase === 'ready') return undefined
  return 'the server is draining or no longer registered'
}
