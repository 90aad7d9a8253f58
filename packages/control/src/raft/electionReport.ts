/**
 * What one member reports of elections that found no leader: too few voters answer, a lease or a log
 * holds them back, a voter's disk is lost, or nobody listens. Bounded lines, and the time without a
 * leader as a metric.
 */
import type { Histogram, Logger, Metrics, TimerService } from '@spoolgate/core'
import type { MemberKind, MemberMap } from './messages.js'

/** Options of {@link createElectionReport}. */
export interface ElectionReportOptions {
  readonly logger: Logger
  readonly timers: TimerService
  /** @default undefined, no metric */
  readonly metrics?: Metrics
}

/** A round of votes that was not won. */
export interface FailedRound {
  readonly term: number
  readonly isPreVote: boolean
  /** Group whose voters were asked. */
  readonly members: MemberMap
  /** By member: `granted`, why not, `lost`, or `silent` with the reason. */
  readonly answers: Readonly<Record<string, string>>
}

/** See {@link createElectionReport}. */
export interface ElectionReport {
  /** Notes a round of votes that was not won. */
  recordFailedRound(round: FailedRound): void
  /** Notes that a member without a leader may not stand for election itself. */
  recordIneligible(kind: MemberKind | undefined, mayVote: boolean): void
  /** Notes, once for each voter, that its address is answered under another name. */
  recordLostVoter(voter: string, url: string, found: string): void
  /** Notes the leader that is known now; undefined for none. */
  recordLeader(leader: string | undefined): void
}

/** Least time between two lines of the same content, in ms: a line a second can be read along. */
const REPEATED_LINE_INTERVAL_MS = 1_000
/** Least time between two lines of different content, in ms: a tenth of that, for what alternates. */
const CHANGED_LINE_INTERVAL_MS = 100

/** Creates the report of a member that knows no leader. */
export function createElectionReport(options: ElectionReportOptions): ElectionReport {
  const { logger, timers } = options
  const leaderlessHistogram: Histogram | undefined = options.metrics?.histogram(
    'leaderless_ms',
    'Time without a known leader in milliseconds',
  )
  let lastContent: string | undefined
  let lastWrittenAt = -Infinity
  let leaderlessSince: number | undefined = timers.now()

  const isDue = (content: string) => {
    const period = content === lastContent ? REPEATED_LINE_INTERVAL_MS : CHANGED_LINE_INTERVAL_MS
    if (timers.now() - lastWrittenAt < period) return false
    lastContent = content
    lastWrittenAt = timers.now()
    return true
  }
  const leaderlessMs = () => timers.now() - (leaderlessSince ?? timers.now())
  return {
    recordFailedRound: ({ term, isPreVote, members, answers }) => {
      const kinds = Object.fromEntries(
        Object.entries(members).map(([name, { kind }]) => [name, kind]),
      )
      // The term is left out: it may rise from round to round and nothing else change.
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
      lastContent = undefined
    },
  }
}
