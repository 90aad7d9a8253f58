/**
 * Reports why elections fail: too few voters reply, a lease or a longer log prevents votes, a voter's
 * disk is lost, or the members do not answer. Log lines are rate-limited; the time without a leader is
 * recorded as a metric.
 */
import type { Histogram, Logger, Metrics, TimerService } from '@spoolgate/core'
import type { ElectionDeadlock } from './electionDeadlock.js'
import type { MemberKind, MemberMap } from './messages.js'

/** Options of {@link createElectionReport}. */
export interface ElectionReportOptions {
  readonly logger: Logger
  readonly timers: TimerService
  /** @default undefined, no metric */
  readonly metrics?: Metrics
}

/** A vote round that was not won. */
export interface FailedRound {
  readonly term: number
  readonly isPreVote: boolean
  /** Members at the time of the round. */
  readonly members: MemberMap
  /** By member: `granted`, the refusal, `lost`, or `silent` with the reason. */
  readonly answers: Readonly<Record<string, string>>
  /** Why no election can succeed; undefined unless that is certain. */
  readonly deadlock?: ElectionDeadlock
}

/** See {@link createElectionReport}. */
export interface ElectionReport {
  /** Logs a vote round that was not won. */
  recordFailedRound(round: FailedRound): void
  /** Logs that this member knows no leader but may not be a candidate. */
  recordIneligible(kind: MemberKind | undefined, mayVote: boolean): void
  /** Logs that another instance replied at a voter's address; the caller does so once per voter. */
  recordLostVoter(voter: string, url: string, found: string): void
  /** Records the currently known leader; undefined for none. */
  recordLeader(leader: string | undefined): void
  /** Why the group cannot elect a leader by itself, once that lasts; undefined while it may be able to. */
  cannotElect(): ElectionDeadlock | undefined
}

/** Time for which no election can succeed before it is reported, in ms: instances may be starting with their disks. */
export const DEADLOCK_AFTER_MS = 3_000
/** Minimum interval between two reports of it, in ms. */
const DEADLOCK_LINE_INTERVAL_MS = 30_000
const DEADLOCK_REMEDY =
  'start an instance with the disk that a voter lacks; the group cannot elect a leader by itself'
/** Minimum interval between lines of the same content, in ms: one line a second stays readable. */
const REPEATED_LINE_INTERVAL_MS = 1_000
/** Minimum interval between lines of different content, in ms: a tenth of the above, for alternating content. */
const CHANGED_LINE_INTERVAL_MS = 100

/** Creates the report of a member that does not know a leader yet. */
export function createElectionReport(options: ElectionReportOptions): ElectionReport {
  const { logger, timers } = options
  const leaderlessHistogram: Histogram | undefined = options.metrics?.histogram(
    'leaderless_ms',
    'Time without a known leader in milliseconds',
  )
  let lastContent: string | undefined
  let lastWrittenAt = -Infinity
  let leaderlessSince: number | undefined = timers.now()
  let deadlock: ElectionDeadlock | undefined
  let deadlockSince: number | undefined
  let deadlockWrittenAt = -Infinity
  const cannotElect = () =>
    deadlockSince !== undefined && timers.now() - deadlockSince >= DEADLOCK_AFTER_MS
      ? deadlock
      : undefined
  options.metrics?.gauge(
    'group_cannot_elect',
    'Whether the group cannot elect a leader by itself',
    () => (cannotElect() ? 1 : 0),
  )

  const isDue = (content: string) => {
    const period = content === lastContent ? REPEATED_LINE_INTERVAL_MS : CHANGED_LINE_INTERVAL_MS
    if (timers.now() - lastWrittenAt < period) return false
    lastContent = content
    lastWrittenAt = timers.now()
    return true
  }
  const recordDeadlock = (found: ElectionDeadlock | undefined) => {
    deadlock = found
    deadlockSince = found && (deadlockSince ?? timers.now())
    const lasting = cannotElect()
    if (!lasting || timers.now() - deadlockWrittenAt < DEADLOCK_LINE_INTERVAL_MS) return
    deadlockWrittenAt = timers.now()
    const remedy = DEADLOCK_REMEDY
    logger.error('group.cannotElect', { ...lasting, leaderlessMs: leaderlessMs(), remedy })
  }
  const leaderlessMs = () => timers.now() - (leaderlessSince ?? timers.now())
  return {
    cannotElect,
    recordFailedRound: ({ term, isPreVote, members, answers, deadlock: found }) => {
      recordDeadlock(found)
      const kinds = Object.fromEntries(
        Object.entries(members).map(([name, { kind }]) => [name, kind]),
      )
      // The term is not part of the content: it may rise each round while nothing else changes.
      if (!isDue(JSON.stringify([isPreVote, answers, kinds]))) return
      const fields = { term, isPreVote, answers, kinds, leaderlessMs: leaderlessMs() }
      logger.warn('raft.notElected', fields)
    },
    recordIneligible: (kind, mayVote) => {
      if (!isDue(JSON.stringify([kind, mayVote]))) return
      logger.warn('raft.notStanding', { kind, mayVote, leaderlessMs: leaderlessMs() })
    },
    recordLostVoter: (voter, url, found) => {
      logger.warn('raft.lostVoter', { voter, url, found })
    },
    recordLeader: (leader) => {
      if (leader === undefined) {
        leaderlessSince ??= timers.now()
        return
      }
      if (leaderlessSince === undefined) return
      leaderlessHistogram?.record(leaderlessMs())
      leaderlessSince = undefined
      recordDeadlock(undefined)
      lastContent = undefined
    },
  }
}
