/**
 * Announces the leader to the seeds. Relays and instances with an empty disk know no other instances than their seeds,
 * so they cannot find the leader when every seed is one of them.
 */
import { toSpoolgateError, type HttpClient, type Logger, type TimerService } from '@spoolgate/core'
import type { RaftMember } from '../raft/types.js'

/** Path of leader announcements. */
export const LEADER_PATH = '/group/leader'

/** Announcement of the leader that a voter follows; it may be outdated. */
export interface LeaderAnnouncement {
  readonly leaderUrl: string
}

/** Options of {@link createLeaderAnnouncer}. */
export interface LeaderAnnouncerOptions {
  readonly member: Pick<RaftMember, 'status'>
  readonly name: string
  /** URL of this instance. */
  readonly url: string
  readonly seeds: () => readonly string[]
  readonly client: HttpClient
  readonly timers: TimerService
  readonly logger: Logger
}

/** See {@link createLeaderAnnouncer}. */
export interface LeaderAnnouncer {
  close(): void
}

/** Time between two announcements, in ms: a fraction of the time in which a deployment recovers. */
const ANNOUNCE_PERIOD_MS = 1_000
/** Maximum wait for the response to an announcement, in ms. */
const ANNOUNCE_TIMEOUT_MS = 500

/** Creates the announcer; it sends while its member is a voter that knows a leader. */
export function createLeaderAnnouncer(options: LeaderAnnouncerOptions): LeaderAnnouncer {
  const { client, timers, logger, url } = options
  const sendTo = (seed: string, json: LeaderAnnouncement) =>
    client
      .sendJson({
        method: 'POST',
        url: `${seed}${LEADER_PATH}`,
        json,
        timeoutMs: ANNOUNCE_TIMEOUT_MS,
      })
      // A seed that is down receives a later announcement.
      .catch((cause) => {
        const reason = toSpoolgateError(cause).message
        logger.debug('group.announcementFailed', { seed, reason })
      })
  const sendToSeeds = () => {
    const { members, leaderUrl } = options.member.status()
    if (leaderUrl === undefined || members[options.name]?.kind !== 'voter') return
    const targets = new Set(options.seeds())
    targets.delete(url)
    targets.delete(leaderUrl)
    for (const seed of targets) void sendTo(seed, { leaderUrl })
  }
  const announcements = timers.every(ANNOUNCE_PERIOD_MS).subscribe(sendToSeeds)
  return { close: () => announcements.unsubscribe() }
}
