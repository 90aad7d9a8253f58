/**
 * Buffers the crash reports of a router until the control leader has received them, and for a while afterwards: a new
 * leader receives all of them again.
 */
import type { BackendServerId, RequestFingerprint, TimerService } from '@spoolgate/core'
import type { InterruptedSend, CrashReport, CrashedServer } from './crashReport.js'

/** A report and the outcomes that it was built from. */
export interface UnreportedOutcomes {
  readonly report: CrashReport
  readonly outcomes: readonly RequestOutcome[]
}

/** See {@link createCrashReportBuffer}. */
export interface CrashReportBuffer {
  addCrash(server: BackendServerId, send: InterruptedSend): void
  /** Records that a suspected request was answered, and discards its crashes. */
  addAnswered(request: RequestFingerprint): void
  /** Records that a quarantined request was rejected. */
  addRejected(request: RequestFingerprint): void
  /** Records that the trial granted for a request went unused. */
  addUnusedTrial(request: RequestFingerprint): void
  /** Discards the crashes recorded for a request that control no longer suspects. */
  removeCrashes(request: RequestFingerprint): void
  /** Counts the servers that crashed under a request and were not reported to any leader yet. */
  countUnreportedCrashes(request: RequestFingerprint): number
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
/** Maximum number of outcomes kept: a production router has 75 requests in flight if all engines crash at once. */
const MAX_OUTCOMES = 1_000

/** Maximum number of rejected requests per report: as many as one caller may have in quarantine. */
const MAX_REJECTED = 64

const NOTHING_UNREPORTED: UnreportedOutcomes = {
  report: { ended: [], answered: [], asked: [], untried: [] },
  outcomes: [],
}

function buildReport(
  outcomes: readonly RequestOutcome[],
  rejections: ReadonlyMap<RequestFingerprint, number>,
  unusedTrials: ReadonlySet<RequestFingerprint>,
): CrashReport {
  const ended = new Map<BackendServerId, InterruptedSend[]>()
  for (const outcome of outcomes) {
    if (outcome.kind !== 'ended') continue
    ended.set(outcome.server, [...(ended.get(outcome.server) ?? []), outcome.send])
  }
  const answered = outcomes.filter(({ kind }) => kind === 'answered').map(({ request }) => request)
  return {
    ended: [...ended].map(([server, sends]): CrashedServer => ({ server, sends })),
    answered,
    untried: [...unusedTrials],
    asked: [...rejections].sort(([, a], [, b]) => b - a).map(([request]) => request),
  }
}

/** Creates an empty buffer. */
export function createCrashReportBuffer(timers: TimerService): CrashReportBuffer {
  let outcomes: readonly RequestOutcome[] = []
  /** Number of rejections per quarantined request since the last report. */
  const rejections = new Map<RequestFingerprint, number>()
  const unusedTrials = new Set<RequestFingerprint>()

  const add = (outcome: RequestOutcome) => {
    outcomes = [...outcomes, outcome].slice(-MAX_OUTCOMES)
  }
  const removeCrashes = (request: RequestFingerprint) => {
    if (outcomes.length === 0) return
    outcomes = outcomes.filter((outcome) => outcome.kind !== 'ended' || outcome.request !== request)
  }
  const removeOld = () => {
    const oldest = timers.now() - RETENTION_MS
    if (outcomes.some(({ at }) => at <= oldest)) outcomes = outcomes.filter(({ at }) => at > oldest)
  }
  const createBase = (request: RequestFingerprint) => ({
    request,
    at: timers.now(),
    reportedTerm: undefined,
  })
  return {
    addCrash: (server, send) => add({ kind: 'ended', ...createBase(send.request), server, send }),
    addAnswered: (request) => {
      removeCrashes(request)
      add({ kind: 'answered', ...createBase(request) })
    },
    addRejected: (request) => {
      const count = rejections.get(request) ?? 0
      if (count > 0 || rejections.size < MAX_REJECTED) rejections.set(request, count + 1)
    },
    removeCrashes,
    addUnusedTrial: (request) => void unusedTrials.add(request),
    countUnreportedCrashes: (request) => {
      const servers = new Set<BackendServerId>()
      for (const outcome of outcomes) {
        const isUnreported = outcome.kind === 'ended' && outcome.reportedTerm === undefined
        if (isUnreported && outcome.request === request) servers.add(outcome.server)
      }
      return servers.size
    },
    listUnreported: (term) => {
      if (outcomes.length + rejections.size + unusedTrials.size === 0) return NOTHING_UNREPORTED
      removeOld()
      const unreported = outcomes.filter(({ reportedTerm }) => reportedTerm !== term)
      const report = buildReport(unreported, rejections, unusedTrials)
      // Not restored if the report is lost: unlike outcomes, these are reported at most once.
      rejections.clear()
      unusedTrials.clear()
      return { report, outcomes: unreported }
    },
    recordReported: ({ outcomes: reported }, term) => {
      for (const outcome of reported) outcome.reportedTerm = term
      // Answers are reported only once: reporting them again would discard crashes that happened later.
      outcomes = outcomes.filter(
        (outcome) => outcome.kind !== 'answered' || outcome.reportedTerm === undefined,
      )
    },
  }
}
