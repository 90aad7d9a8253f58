/** Tells the operator where the control group bears fewer losses than it was set up for. */
import type { Logger, TimerService } from '@spoolgate/core'
import { listVoters } from '../raft/quorum.js'
import type { MemberMap } from '../raft/messages.js'

/** Losses that a group bears. */
export interface Bearing {
  /** Voters that may stay away, of whom nothing is known. */
  readonly away: number
  /** Voters whose disks may be lost, while their instances answer. */
  readonly lostDisks: number
}

/**
 * Counts from the voters that there are, not from those that there should be: a majority must be
 * left of those away, and half of an even group elects where a disk is proven lost.
 */
export function countBearing(members: MemberMap): Bearing {
  const voters = listVoters(members).length
  return { away: Math.floor((voters - 1) / 2), lostDisks: Math.floor(voters / 2) }
}

/** Counts the losses for which a number of voters is wanted: twice as many and one. */
export function countWantedLosses(wantedVoters: number): number {
  return Math.floor((wantedVoters - 1) / 2)
}

/** Options of {@link createBearingReport}. */
export interface BearingReportOptions {
  /** Voters that the group should have. */
  readonly wantedVoters: number
  readonly timers: TimerService
  readonly logger: Logger
}

/** See {@link createBearingReport}. */
export interface BearingReport {
  /** Notes the group that the leader has; warns where it has long borne too few losses. */
  recordGroup(members: MemberMap): void
}

/** Time for which too few losses must be borne, in ms: a group that grows or repairs takes less. */
export const BEARS_FEWER_AFTER_MS = 5_000

/** Creates the report of one leader. */
export function createBearingReport(options: BearingReportOptions): BearingReport {
  const { timers, logger } = options
  const wanted = countWantedLosses(options.wantedVoters)
  let since = -Infinity
  let content: string | undefined
  let isWritten = false
  return {
    recordGroup: (members) => {
      const { away, lostDisks } = countBearing(members)
      const voters = listVoters(members).length
      const found =
        away < wanted ? JSON.stringify([voters, Object.keys(members).length]) : undefined
      if (found !== content) {
        content = found
        since = timers.now()
        isWritten = false
      }
      if (!found || isWritten || timers.now() - since < BEARS_FEWER_AFTER_MS) return
      isWritten = true
      logger.warn('group.bearsFewer', {
        wanted,
        away,
        lostDisks,
        voters,
        instances: Object.keys(members).length,
        remedy: `run control on ${options.wantedVoters} instances with a disk or more`,
      })
    },
  }
}
