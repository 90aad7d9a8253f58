/**
 * What a router knows of requests under which servers ended, until control has taken it, and for a while beyond: a leader that
 * is new receives all of it again.
 */
import type { BackendServerId, RequestFingerprint, TimerService } from '@spoolgate/core'
import type { InterruptedSend, CrashReport, CrashedServer } from './crashReport.js'

/** A report with what it was built from. */
export interface UnreportedOutcomes {
  readonly report: CrashReport
  readonly facts: readonly RequestOutcome[]
}

/** See {@link createCrashReportBuffer}. */
export interface CrashReportBuffer {
  addEnd(server: BackendServerId, send: InterruptedSend): void
  /** Notes that a suspected request was answered; what speaks against it is forgotten. */
  addAnswered(request: RequestFingerprint): void
  /** Notes that a request in quarantine was refused. */
  addAsked(request: RequestFingerprint): void
  /** Notes that a request which might have been tried was not. */
  addUntried(request: RequestFingerprint): void
  /** Forgets what speaks against a request that control no longer suspects. */
  removeEnds(request: RequestFingerprint): void
  /** Counts the servers that ended under a request, as far as they were not reported to a leader yet. */
  countUnreportedExits(request: RequestFingerprint): number
  /** Lists what was not reported to the leader of a term. */
  listUnreported(term: number): UnreportedOutcomes
  /** Records that it was reported to the leader of a term. */
  recordReported(unreported: UnreportedOutcomes, term: number): void
}

interface OutcomeBase {
  readonly request: RequestFingerprint
  readonly at: number
  /** Term whose leader has the report; undefined before. */
  reportedTerm: number | undefined
}

/** One thing that a router knows. */
export type RequestOutcome =
  | (OutcomeBase & {
      readonly kind: 'ended'
      readonly server: BackendServerId
      readonly send: InterruptedSend
    })
  | (OutcomeBase & { readonly kind: 'answered' })

/** Time for which it is reported to a new leader again, in ms: an election takes a second, a majority that is away some more. */
const RETENTION_MS = 60_000
/** Facts that are kept, the newest: a router of the users has 75 requests in flight when all engines end at once. */
const MAX_OUTCOMES = 1_000

/** Rejected requests in one report: as many as a caller may have in quarantine. */
const MAX_REFUSED = 64

const NOTHING_UNREPORTED: UnreportedOutcomes = {
  report: { ended: [], answered: [], asked: [], untried: [] },
  facts: [],
}

function buildReport(
  facts: readonly RequestOutcome[],
  asked: ReadonlyMap<RequestFingerprint, number>,
  untried: ReadonlySet<RequestFingerprint>,
): CrashReport {
  const ended = new Map<BackendServerId, InterruptedSend[]>()
  for (const fact of facts) {
    if (fact.kind !== 'ended') continue
    ended.set(fact.server, [...(ended.get(fact.server) ?? []), fact.send])
  }
  const answered = facts.filter(({ kind }) => kind === 'answered').map(({ request }) => request)
  return {
    ended: [...ended].map(([server, sends]): CrashedServer => ({ server, sends })),
    answered,
    untried: [...untried],
    asked: [...asked].sort(([, a], [, b]) => b - a).map(([request]) => request),
  }
}

/** Creates an empty record. */
export function createCrashReportBuffer(timers: TimerService): CrashReportBuffer {
  let facts: readonly RequestOutcome[] = []
  /** Requests that were refused since the last report, with how often. */
  const asked = new Map<RequestFingerprint, number>()
  const untried = new Set<RequestFingerprint>()

  const add = (fact: RequestOutcome) => {
    facts = [...facts, fact].slice(-MAX_OUTCOMES)
  }
  const removeEnds = (request: RequestFingerprint) => {
    if (facts.length === 0) return
    facts = facts.filter((fact) => fact.kind !== 'ended' || fact.request !== request)
  }
  const removeOld = () => {
    const oldest = timers.now() - RETENTION_MS
    if (facts.some(({ at }) => at <= oldest)) facts = facts.filter(({ at }) => at > oldest)
  }
  const build = (request: RequestFingerprint) => ({
    request,
    at: timers.now(),
    reportedTerm: undefined,
  })
  return {
    addEnd: (server, send) => add({ kind: 'ended', ...build(send.request), server, send }),
    addAnswered: (request) => {
      removeEnds(request)
      add({ kind: 'answered', ...build(request) })
    },
    addAsked: (request) => {
      const count = asked.get(request) ?? 0
      if (count > 0 || asked.size < MAX_REFUSED) asked.set(request, count + 1)
    },
    removeEnds,
    addUntried: (request) => void untried.add(request),
    countUnreportedExits: (request) => {
      const servers = new Set<BackendServerId>()
      for (const fact of facts) {
        const isUnreported = fact.kind === 'ended' && fact.reportedTerm === undefined
        if (isUnreported && fact.request === request) servers.add(fact.server)
      }
      return servers.size
    },
    listUnreported: (term) => {
      if (facts.length + asked.size + untried.size === 0) return NOTHING_UNREPORTED
      removeOld()
      const unreported = facts.filter(({ reportedTerm }) => reportedTerm !== term)
      const report = buildReport(unreported, asked, untried)
      // A lost report is retransmitted with the next one.
      asked.clear()
      untried.clear()
      return { report, facts: unreported }
    },
    recordReported: ({ facts: reported }, term) => {
      for (const fact of reported) fact.reportedTerm = term
      // That a request was answered is reported once: a later end would be forgotten with it.
      facts = facts.filter((fact) => fact.kind !== 'answered' || fact.reportedTerm === undefined)
    },
  }
}
