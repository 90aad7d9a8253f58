/** Warns the operator when the control group tolerates fewer failures than configured. */
import type { Logger, TimerService } from '@spoolgate/core'
import { listVoters } from '../raft/quorum.js'
import type { MemberMap } from '../raft/messages.js'

/** Failures that a group tolerates. */
export interface FaultTolerance {
  /** Voters that may be unreachable, with unknown state. */
  readonly away: number
  /** Voters whose disks may be lost while their instances still answer. */
  readonly lostDisks: number
}

/**
 * Counts the tolerated failures from the current voters, not from the target number. With unreachable voters a
 * majority must remain; with a disk proven lost, half of an even group can elect a leader.
 */
export function countToleratedLosses(members: MemberMap): FaultTolerance {
  const voters = listVoters(members).length
  return { away: Math.floor((voters - 1) / 2), lostDisks: Math.floor(voters / 2) }
}

/** Counts the failures that a target number of voters is meant to tolerate: n for 2n + 1 voters. */
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
  /** Records the current members; warns once their tolerance has been too low for the warning delay. */
  recordGroup(members: MemberMap): void
}

/** Time with too low a tolerance before the warning, in ms: longer than a normal join or replacement takes. */
export const LOW_TOLERANCE_WARNING_DELAY_MS = 5_000

/** Creates the fault tolerance report of a leader. */
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
