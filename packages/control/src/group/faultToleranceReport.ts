/** Tells the operator where the control group bears fewer losses than it was set up for. */
import type { Logger, TimerService } from '@spoolgate/core'
import { listVoters } from '../raft/group.js'
import type { MemberMap } from '../raft/messages.js'

/** Losses that a group bears. */
export interface FaultTolerance {
  /** Voters that may stay away, of whom nothing is known. */
  readonly away: number
  /** Voters whose disks may be lost, while their instances answer. */
  readonly lostDisks: number
}

/**
 * Counts from the voters that there are, not from those that there should be: a majority must be
 * left of those away, and half of an even group elects where a disk is proven lost.
 */
export function countToleratedLosses(members: MemberMap): FaultTolerance {
  const voters = listVoters(members).length
  return { away: Math.floor((voters - 1) / 2), lostDisks: Math.floor(voters / 2) }
}

/** Counts the losses for which a number of voters is wanted: twice as many and one. */
export function countTargetLosses(targetVoters: number): number {
  return Math.floor((targetVoters - 1) / 2)
}

/** Options of {@link createFaultToleranceReport}. */
export interface FaultToleranceReportOptions {
  /** Voters that the group should have. */
  readonly targetVoters: number
  readonly timers: TimerService
  readonly logger: Logger
}

/** See {@link createFaultToleranceReport}. */
export interface FaultToleranceReport {
  /** Notes the group that the leader has; warns where it has long borne too few losses. */
  recordGroup(members: MemberMap): void
}

/** Time for which too few losses must be borne, in ms: a group that grows or repairs takes less. */
export const LOW_TOLERANCE_WARNING_DELAY_MS = 5_000

/** Creates the report of one leader. */
export function createFaultToleranceReport(
  options: FaultToleranceReportOptions,
): FaultToleranceReport {
  const { timers, logger } = options
  const targetLosses = countTargetLosses(options.targetVoters)
  let belowTargetSince = -Infinity
  let groupBelowTarget: string | undefined
  let isLogged = false
  return {
    recordGroup: (members) => {
      const { away, lostDisks } = countToleratedLosses(members)
      const voters = listVoters(members).length
      const found =
        away < targetLosses ? JSON.stringify([voters, Object.keys(members).length]) : undefined
      if (found !== groupBelowTarget) {
        groupBelowTarget = found
        belowTargetSince = timers.now()
        isLogged = false
      }
      if (!found || isLogged || timers.now() - belowTargetSince < LOW_TOLERANCE_WARNING_DELAY_MS)
        return
      isLogged = true
      logger.warn('group.bearsFewer', {
        wanted: targetLosses,
        away,
        lostDisks,
        voters,
        instances: Object.keys(members).length,
        remedy: `run control on ${options.targetVoters} instances with a disk or more`,
      })
    },
  }
}
