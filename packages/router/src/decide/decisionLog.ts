/** The record of decisions: one log line each, and a memory that `spoolgate explain` reads. */
import type { BackendServerId, ConfigVersion, Logger, RequestId, TeamId } from '@spoolgate/core'
import type { PolicyName } from '@spoolgate/config'

/** A candidate as it was weighed. */
export interface ScoredCandidate {
  readonly server: BackendServerId
  readonly score: number
  readonly reason: string
}

/** One decision. */
export interface DecisionRecord {
  readonly team: TeamId
  readonly policy: PolicyName
  readonly version: ConfigVersion
  /** Model or group. */
  readonly target: string
  readonly promptTokens: number
  readonly chosen: BackendServerId
  /** The best few, in order. */
  readonly candidates: readonly ScoredCandidate[]
}

/** What an attempt came to, in words for a person. */
export interface AttemptRecord {
  readonly server: BackendServerId
  readonly outcome: string
  readonly reason?: string
  /** Prompt tokens found in the cache, as the sidecar said when it claimed the call. */
  readonly matchedTokens?: number
}

/** Everything about one request. */
export interface RequestRecord {
  readonly request: RequestId
  readonly steps: ({ readonly decision: DecisionRecord } | { readonly attempt: AttemptRecord })[]
  outcome?: string
  firstTokenMs?: number
}

/** Record of decisions. */
export interface DecisionLog {
  recordDecision(request: RequestId, decision: DecisionRecord): void
  recordAttempt(request: RequestId, attempt: AttemptRecord): void
  recordOutcome(request: RequestId, outcome: string, firstTokenMs: number | undefined): void
  find(request: RequestId): RequestRecord | undefined
}

/** Requests that are remembered: a few minutes at 13 requests a second, about 1 kB each. */
const MAX_REMEMBERED = 5_000

function formatCandidates(candidates: readonly ScoredCandidate[]): string {
  return candidates
    .map(({ server, score, reason }) => `${server}:${score.toFixed(1)}(${reason})`)
    .join(';')
}

/** Creates an empty record. */
export function createDecisionLog(logger: Logger): DecisionLog {
  const records = new Map<RequestId, RequestRecord>()
  const findOrAdd = (request: RequestId): RequestRecord => {
    const known = records.get(request)
    if (known) return known
    const added: RequestRecord = { request, steps: [] }
    records.set(request, added)
    if (records.size > MAX_REMEMBERED) records.delete(records.keys().next().value as RequestId)
    return added
  }
  return {
    recordDecision: (request, decision) => {
      findOrAdd(request).steps.push({ decision })
      if (!logger.isEnabled('info')) return
      const { candidates, ...facts } = decision
      const weighed = formatCandidates(candidates)
      logger.info('route.decided', { request, ...facts, candidates: weighed })
    },
    recordAttempt: (request, attempt) => {
      findOrAdd(request).steps.push({ attempt })
      logger.info('route.attempt', { request, ...attempt })
    },
    recordOutcome: (request, outcome, firstTokenMs) => {
      const record = findOrAdd(request)
      record.outcome = outcome
      record.firstTokenMs = firstTokenMs
      logger.info('route.finished', { request, outcome, firstTokenMs })
    },
    find: (request) => records.get(request),
  }
}
