/**
 * Log of routing decisions on the path through sidecars: writes one log line each, and keeps recent ones in memory for
 * `spoolgate explain`.
 */
import type { BackendServerId, ConfigVersion, Logger, RequestId, TeamId } from '@spoolgate/core'
import type { PolicyName } from '@spoolgate/config'

/** A candidate with its score. */
export interface ScoredCandidate {
  readonly server: BackendServerId
  readonly score: number
  readonly reason: string
}

/** A routing decision. */
export interface DecisionRecord {
  readonly team: TeamId
  readonly policy: PolicyName
  readonly version: ConfigVersion
  /** Name of the model or server group. */
  readonly target: string
  readonly promptTokens: number
  readonly chosen: BackendServerId
  /** The best candidates, best first. */
  readonly candidates: readonly ScoredCandidate[]
}

/** Outcome of an attempt, in human-readable form. */
export interface AttemptRecord {
  readonly server: BackendServerId
  readonly outcome: string
  readonly reason?: string
  /** Prompt tokens found in the cache, as reported by the sidecar when it claimed the call. */
  readonly matchedTokens?: number
}

/** Decisions, attempts and outcome of one request. */
export interface RequestRecord {
  readonly request: RequestId
  readonly steps: ({ readonly decision: DecisionRecord } | { readonly attempt: AttemptRecord })[]
  outcome?: string
  firstTokenMs?: number
}

/** Log of routing decisions; see {@link createDecisionLog}. */
export interface DecisionLog {
  recordDecision(request: RequestId, decision: DecisionRecord): void
  recordAttempt(request: RequestId, attempt: AttemptRecord): void
  recordOutcome(request: RequestId, outcome: string, firstTokenMs: number | undefined): void
  find(request: RequestId): RequestRecord | undefined
}

/** Maximum number of requests kept: about 6 minutes at 13 requests per second, at about 1 kB each. */
const MAX_RECORDS = 5_000

function formatCandidates(candidates: readonly ScoredCandidate[]): string {
  return candidates
    .map(({ server, score, reason }) => `${server}:${score.toFixed(1)}(${reason})`)
    .join(';')
}

/** Creates an empty decision log. */
export function createDecisionLog(logger: Logger): DecisionLog {
  const records = new Map<RequestId, RequestRecord>()
  const findOrAdd = (request: RequestId): RequestRecord => {
    const known = records.get(request)
    if (known) return known
    const added: RequestRecord = { request, steps: [] }
    records.set(request, added)
    if (records.size > MAX_RECORDS) records.delete(records.keys().next().value as RequestId)
    return added
  }
  return {
    recordDecision: (request, decision) => {
      findOrAdd(request).steps.push({ decision })
      if (!logger.isEnabled('info')) return
      const { candidates, ...fields } = decision
      const formattedCandidates = formatCandidates(candidates)
      logger.info('route.decided', { request, ...fields, candidates: formattedCandidates })
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
