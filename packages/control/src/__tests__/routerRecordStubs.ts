/** Stubs of the records that a router supplies to its feed follower, for followers without traffic. */
import type { TimerService } from '@spoolgate/core'
import { createQuotaBuckets, type QuotaBuckets } from '../registry/quotaBuckets.js'
import type { LimitRecord, QuotaRecord } from '../registry/feedClient.js'

/** Limit record without server limits. */
export const NO_LIMITS: LimitRecord = {
  listUnreported: (term) => ({ term, reports: [] }),
  recordAcknowledged: () => {},
  applyUpdate: () => {},
}

/** Quota record without use of team quotas. */
export const NO_QUOTAS: QuotaRecord = {
  buildReport: () => ({ router: 'r', life: 'r', sequence: 0, term: -1, uses: [] }),
  applyGrants: () => {},
}

/** Creates the quota buckets of a leader in whose table no team has a limit. */
export function createUnlimitedQuotaBuckets(timers: TimerService): QuotaBuckets {
  const tolerance = { ratio: 0, slack: 0, windowMs: 1 }
  return createQuotaBuckets({ timers, findQuota: () => undefined, tolerance })
}
