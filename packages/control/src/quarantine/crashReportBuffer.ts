/**
 * Buffers the crash reports of a router until the control leader has received them, and for a while afterwards: a new
 * leader receives all of them again.
 */
import type { BackendServerId, RequestFingerprint, TimerService } from '@spoolgate/core'
import type { InterruptedSend, CrashReport, CrashedServer } from './crashReport.js'

/** A report and the outcomes that it was built from. */
export interface UnreportedOutcomes {
  readonly report: CrashReport
  readonly facts: readonly RequestOutcome[]
}

/** See {@link createCrashReportBuffer}. */
export interface CrashReportBuffer {
  addEnd(server: BackendServerId, send: InterruptedSend): void
  /** Records that a suspected request was answered, and discards its crashes. */
  addAnswered(request: RequestFingerprint): void
  /** Records that a quarantined request was rejected. */
  addAsked(request: RequestFingerprint): void
  /** Records that the trial granted for a request went unused. */
  addUntried(request: RequestFingerprint): void
  /** Discards the crashes recorded for a request that control no longer suspects. */
  removeEnds(request: RequestFingerprint): void
  /** Counts the servers that crashed under a request and were not reported to any leader yet. */
  countUnreportedExits(request: RequestFingerprint): number
  /** Builds the report of everything that was not reported to the leader of the given term. */
  listUnreported(term: number): UnreportedOutcomes
  /** Records that the leader of the given term has received the report. */
  recordReported(unreported: UnreportedOutcomes, term: number): void
}

interface OutcomeBase {
  readonly request: RequestFingerprint
  readonly at: number
  /** Term of the leader that last received the outcome; undefined if none did. */
  reportedTerm: number | undefined
}

/** An outcome of a request, as observed by the router. */
export type RequestOutcome =
  | (OutcomeBase & {
      readonly kind: 'ended'
      readonly server: BackendServerId
      readonly send: InterruptedSend
    })
  | (OutcomeBase & { readonly kind: 'answered' })

/** How long outcomes are kept for a new leader, in ms: an election takes a second, restoring a lost majority longer. */
const RETENTION_MS = 60_000
/** Maximum number of outcomes kept, the newest: a production router has 75 requests in flight if all engines crash at once. */
const MAX_OUTCOMES = 1_000

/** Maximum number of rejected requests per report: as many as one caller may have in quarantine. */
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

/** Creates an empty buffer. */
export function createCrashReportBuffer(timers: TimerService): CrashReportBuffer {
  let facts: readonly RequestOutcome[] = []
  /** Number of rejections per quarantined request since the last report. */
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
      // Not restored if the report is lost: unlike outcomes, these are reported at most once.
      asked.clear()
      untried.clear()
      return { report, facts: unreported }
    },
    recordReported: ({ facts: reported }, term) => {
      for (const fact of reported) fact.reportedTerm = term
      // Answers are reported only once: reporting them again would discard crashes that happened later.
      facts = facts.filter((fact) => fact.kind !== 'answered' || fact.reportedTerm === undefined)
    },
  }
}
