/** Stubs of what a router records, for followers of the feed that serve nothing. */
import type { TimerService } from '@spoolgate/core'
import { createQuotaBuckets, type QuotaBuckets } from '../registry/quotaBuckets.js'
import type { LimitRecord, QuotaRecord } from '../registry/feedFollower.js'

/** Knows of no limits of servers. */
export const NO_LIMITS: LimitRecord = {
  listUnreported: (term) => ({ term, reports: [] }),
  recordAcknowledged: () => {},
  applyUpdate: () => {},
}

/** Uses nothing of the teams' limits. */
export const NO_QUOTAS: QuotaRecord = {
  buildReport: () => ({ router: 'r', life: 'r', sequence: 0, term: -1, uses: [] }),
  applyGrants: () => {},
}

/** Creates buckets of a leader whose teams have no limits. */
export function createUnlimitedQuotaBuckets(timers: TimerService): QuotaBuckets {
  const tolerance = { ratio: 0, slack: 0, windowMs: 1 }
  return createQuotaBuckets({ timers, findQuota: () => undefined, tolerance })
}
