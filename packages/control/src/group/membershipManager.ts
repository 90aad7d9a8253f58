/**
 * Manages the membership of the control group. The leader adds instances that request to join, promotes caught-up
 * learners to voters and replaces unresponsive voters. A member that knows no leader requests to join.
 */
import {
  SpoolgateError,
  toSpoolgateError,
  waitFor,
  type HttpClient,
  type Logger,
  type TimerService,
} from '@spoolgate/core'
import type { RaftMember } from '../raft/types.js'
import { createFaultToleranceReport } from './faultToleranceReport.js'
import { createLeaderAnnouncer } from './leaderAnnouncer.js'
import {
  findMembershipStep,
  measureHealth,
  type JoinRequest,
  type MemberHealth,
} from './groupPlan.js'

/** Path of requests to join the group. */
export const JOIN_PATH = '/group/join'

/** Options of {@link createMembershipManager}. */
export interface MembershipManagerOptions {
  readonly member: RaftMember
  readonly name: string
  readonly url: string
  readonly seeds: () => readonly string[]
  /** Voters that the group should have. */
  readonly targetVoters: number
  readonly client: HttpClient
  readonly timers: TimerService
  readonly logger: Logger
}

/** See {@link createMembershipManager}. */
export interface MembershipManager {
  /**
   * Records a join request on the leader.
   * @throws SpoolgateError `notLeader` with the leader's URL on other members.
   */
  recordJoinRequest(joiner: JoinRequest): void
  /** Records the leader that a voter announced; join requests are also sent to it. */
  recordAnnouncement(leaderUrl: string): void
  close(): Promise<void>
}

/** Time between two checks of the group, in ms: short compared with the delay before a voter is replaced. */
const CHECK_PERIOD_MS = 200
/** Time without a known leader after which a member requests to join, in ms. */
const JOIN_AFTER_MS = 1_000
/** Maximum wait for the response to a join request, in ms. */
const JOIN_TIMEOUT_MS = 500
/** Time for which a join request stays valid, in ms. */
const JOIN_REQUEST_TTL_MS = 3_000

/** Creates the membership manager and starts its periodic check. */
export function createMembershipManager(options: MembershipManagerOptions): MembershipManager {
  const { member, timers, logger, client } = options
  const stopping = new AbortController()
  const joinRequests = new Map<string, { readonly joiner: JoinRequest; readonly at: number }>()
  let leaderKnownAt = -Infinity
  let leadingTerm: number | undefined
  let leadingSince = 0
  let announcedLeader: string | undefined
  const toleranceReport = createFaultToleranceReport(options)
  const announcer = createLeaderAnnouncer(options)

  const listJoinRequests = (): JoinRequest[] => {
    const oldest = timers.now() - JOIN_REQUEST_TTL_MS
    for (const [name, { at }] of joinRequests) if (at < oldest) joinRequests.delete(name)
    return [...joinRequests.values()].map(({ joiner }) => joiner)
  }
  const findHealth = (name: string): MemberHealth => {
    if (name === options.name) return { silentMs: 0, isCaughtUp: true }
    return measureHealth(member, name, { now: timers.now(), since: leadingSince })
  }
  const runLeaderCheck = async () => {
    const { term, hasLease, members } = member.status()
    if (term !== leadingTerm) {
      leadingTerm = term
      leadingSince = timers.now()
    }
    if (!hasLease) return
    toleranceReport.recordGroup(members)
    const { targetVoters, name } = options
    const step = findMembershipStep({
      leader: name,
      members,
      joinRequests: listJoinRequests(),
      targetVoters,
      findHealth,
    })
    if (!step) return
    logger.info('group.change', { member: step.member, reason: step.reason, term })
    await member.changeMembers(step.members)
  }
  const sendJoinRequests = async () => {
    const { members } = member.status()
    const known = Object.values(members).map(({ url }) => url)
    const targets = new Set([...known, ...options.seeds()])
    if (announcedLeader !== undefined) targets.add(announcedLeader)
    targets.delete(options.url)
    const body = { name: options.name, url: options.url }
    const attempts = [...targets].map(async (target) => {
      try {
        await sendJoinRequest(target, body)
      } catch (cause) {
        const leaderUrl = findLeaderUrl(cause)
        if (leaderUrl && !targets.has(leaderUrl)) await sendJoinRequest(leaderUrl, body)
      }
    })
    await Promise.allSettled(attempts)
  }
  const sendJoinRequest = (target: string, json: JoinRequest) =>
    client.sendJson({
      method: 'POST',
      url: `${target}${JOIN_PATH}`,
      json,
      timeoutMs: JOIN_TIMEOUT_MS,
    })
  const runCheck = async () => {
    const { role, leader } = member.status()
    if (role === 'leader') return runLeaderCheck()
    leadingTerm = undefined
    const now = timers.now()
    if (leader !== undefined) leaderKnownAt = now
    else if (now - leaderKnownAt > JOIN_AFTER_MS) await sendJoinRequests()
  }
  const runChecks = async () => {
    while (!stopping.signal.aborted) {
      try {
        await runCheck()
      } catch (cause) {
        logger.debug('group.changeFailed', { reason: toSpoolgateError(cause).message })
      }
      await waitFor(timers, CHECK_PERIOD_MS, stopping.signal)
    }
  }
  const running = runChecks()
  return {
    recordJoinRequest: (joiner) => {
      const { role, leader, leaderUrl } = member.status()
      if (role !== 'leader') {
        throw new SpoolgateError('notLeader', 'ask the leader', { details: { leader, leaderUrl } })
      }
      joinRequests.set(joiner.name, { joiner, at: timers.now() })
    },
    recordAnnouncement: (leaderUrl) => {
      if (announcedLeader === leaderUrl) return
      announcedLeader = leaderUrl
      logger.info('group.leaderAnnounced', { leaderUrl })
    },
    close: async () => {
      announcer.close()
      stopping.abort()
      await running
    },
  }
}

/** Reads the leader's URL from an error response of another member. */
export function findLeaderUrl(cause: unknown): string | undefined {
  if (!(cause instanceof SpoolgateError)) return undefined
  return (cause.details as { leaderUrl?: string } | undefined)?.leaderUrl
}
