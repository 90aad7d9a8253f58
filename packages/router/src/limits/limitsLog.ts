/** Log fields of the rate limits of servers. */
import type { LimitsUpdate } from '@spoolgate/control'

/** Maximum number of rate-limited servers in one log line. */
const MAX_LOGGED_LIMITS = 20

/** Formats rate limits of servers for the log: requests per second, and the share that this router may use. */
export function formatLimits({ servers, hasParts }: LimitsUpdate): Record<string, unknown> {
  const limited = servers.filter(({ perSecond }) => perSecond !== null)
  const shown = limited.slice(0, MAX_LOGGED_LIMITS)
  return {
    limited: limited.length,
    hasParts,
    limits: shown.map(
      ({ server, perSecond, part = 0 }) => `${server}:${perSecond}:${part.toFixed(2)}`,
    ),
  }
}
