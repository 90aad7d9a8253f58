/** Whether a backend server may get a request now: by its backoff, its shutdown and its rate limit. */
import type { BackendServerId } from '@spoolgate/core'
import type { Backpressure, SendVerdict } from '@spoolgate/routing'
import type { LimitVerdict, ServerLimits } from '../limits/serverLimits.js'

/** Parts that judge a server. */
export interface AvailabilityParts {
  readonly backpressure: Pick<Backpressure, 'judgeSend'>
  readonly limits: Pick<ServerLimits, 'judgeSend' | 'isLimited' | 'isProbeDue'>
}

/** What may be sent to a server now. */
export type ServerAvailability = SendVerdict | LimitVerdict

/** Whether a server that was judged so may get a request. */
export function isSendAllowed({ kind }: ServerAvailability): boolean {
  return kind === 'open' || kind === 'trial'
}

/** Judges a server at an instant of the monotonic clock, in ms. */
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
