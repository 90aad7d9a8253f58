/** Stubs of the records that a router supplies to its feed follower, for followers without traffic. */
import { createQuietLogger, type TimerService } from '@spoolgate/core'
import { createQuotaBuckets, type QuotaBuckets } from '../registry/quotaBuckets.js'
import type { LimitRecord, PartRecord, QuotaRecord } from '../registry/feedClient.js'
import {
  createPartCoordinator,
  type PartCoordinator,
  type PartCoordinatorOptions,
} from '../parts/partCoordinator.js'

/** Limit record without server limits. */
export const NO_LIMITS: LimitRecord = {
  listUnreported: (term) => ({ term, reports: [] }),
  recordAcknowledged: () => {},
  applyUpdate: () => {},
}

/** Record of a router that saw no crash with a prompt. */
export const NO_PARTS: PartRecord = {
  listUnreported: () => ({
    report: { crashes: [], answered: [], rejected: [] },
    crashes: [],
    answered: new Map(),
  }),
  recordReported: () => {},
  applyListed: () => {},
  grantTrial: () => {},
}

/** Creates the coordinator of a leader. */
export function createQuietPartCoordinator(
  options: Pick<PartCoordinatorOptions, 'member' | 'parts' | 'timers'>,
): PartCoordinator {
  const { now } = options.timers
  const logger = createQuietLogger()
  return createPartCoordinator({ countServers: () => 1, readWallClock: now, logger, ...options })
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
