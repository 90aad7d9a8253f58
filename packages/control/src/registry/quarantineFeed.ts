/** The part of the feed that concerns quarantines: of whole requests, and of parts of prompts. */
import type { Observable } from 'rxjs'
import { merge } from 'rxjs'
import type { PartCoordinator } from '../parts/partCoordinator.js'
import type { PartReport } from '../parts/partReport.js'
import type { QuarantineCoordinator } from '../quarantine/quarantineCoordinator.js'
import type { FeedReply, FeedRequest } from './feed.js'

/** Options of {@link createQuarantineFeed}. */
export interface QuarantineFeedOptions {
  /** Quarantines requests that crash servers. */
  readonly quarantine: QuarantineCoordinator
  /** Quarantines parts of prompts that crash engines. */
  readonly parts: PartCoordinator
  /** Whether the position of the router was counted in the term of this leader. */
  readonly isCurrentTerm: (request: FeedRequest) => boolean
}

/** What a router may try once, each undefined for nothing. */
export type GrantedTrials = Pick<FeedReply, 'trial' | 'partTrial'>

/** See {@link createQuarantineFeed}. Its methods are called on the leader only. */
export interface QuarantineFeed {
  /** Records the reports of a poll; returns what the router may try. */
  record(request: FeedRequest): GrantedTrials
  /** Records a report that was sent outside of a poll. */
  recordParts(report: PartReport): void
  /** Whether a list has changed since the router received it. */
  isNew(request: FeedRequest): boolean
  /** Builds the lists that the router does not have. */
  buildReply(
    request: FeedRequest,
  ): Pick<FeedReply, 'suspects' | 'suspectsSeen' | 'parts' | 'partsSeen'>
  /** Emits when a report changes a list. */
  readonly changes: Observable<void>
}

/** Creates the quarantine part of a leader's feed. */
export function createQuarantineFeed(options: QuarantineFeedOptions): QuarantineFeed {
  const { quarantine, parts, isCurrentTerm } = options
  const isNewRevision = (request: FeedRequest, seen: number | undefined, revision: number) =>
    !isCurrentTerm(request) || (seen !== undefined && seen !== revision)
  const isNewSuspects = (request: FeedRequest) =>
    isNewRevision(request, request.suspectsSeen, quarantine.revision())
  const isNewParts = (request: FeedRequest) =>
    isNewRevision(request, request.partsSeen, parts.revision())
  return {
    record: (request) => ({
      trial: request.blame && quarantine.record(request.blame),
      partTrial: request.parts && parts.record(request.parts),
    }),
    recordParts: (report) => void parts.record(report),
    isNew: (request) => isNewSuspects(request) || isNewParts(request),
    buildReply: (request) => ({
      suspects: isNewSuspects(request) ? quarantine.list() : undefined,
      suspectsSeen: quarantine.revision(),
      parts: isNewParts(request) ? parts.list() : undefined,
      partsSeen: parts.revision(),
    }),
    changes: merge(quarantine.changes, parts.changes),
  }
}
