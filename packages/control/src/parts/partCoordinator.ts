/**
 * Quarantine decisions of the leader about parts of prompts: collects the crash reports of all routers, quarantines parts
 * in the replicated state, and lists suspected and quarantined parts for routers and operators.
 */
import {
  SpoolgateError,
  type BackendServerId,
  type Logger,
  type PromptPartId,
  type TimerService,
} from '@spoolgate/core'
import { Subject, type Observable } from 'rxjs'
import type { RaftMember } from '../raft/types.js'
import type {
  QuarantinedPart,
  QuarantinedPartState,
  QuarantinePart,
  ReleasePart,
} from '../state/quarantinedPartState.js'
import { createPartEvidence, RESPONSES_WAIT_MS, type PartVerdict } from './partEvidence.js'
import {
  findPartQuarantineMs,
  type ListedPart,
  type PartCrash,
  type PartReport,
} from './partReport.js'
import { createPartTrials } from './partTrials.js'

/** Options of {@link createPartCoordinator}. */
export interface PartCoordinatorOptions {
  readonly member: Pick<RaftMember, 'status' | 'propose'>
  readonly parts: QuarantinedPartState
  /** Counts the engines of the fleet. */
  readonly countServers: () => number
  /** Returns the time in ms since the Unix epoch. */
  readonly readWallClock: () => number
  readonly timers: TimerService
  readonly logger: Logger
}

/** A quarantined part, for operators. */
export interface QuarantinedPartStatus extends QuarantinedPart {
  /** Time until one send of it may be tried, in ms; 0 if it is due, undefined before a router has asked for it. */
  readonly trialInMs: number | undefined
  /** Reports of routers, since this leader was elected, that its requests were refused. */
  readonly rejections: number
}

/** See {@link createPartCoordinator}. Its methods are called on the leader only. */
export interface PartCoordinator {
  /** Processes the report of a router, and returns the quarantined part that the router may send once as a trial. */
  record(report: PartReport): PromptPartId | undefined
  /** Lists the quarantined and the suspected parts for routers. */
  list(): readonly ListedPart[]
  /** Increases with each change of that list. */
  revision(): number
  /** Lists the quarantined parts for operators. */
  listQuarantined(): readonly QuarantinedPartStatus[]
  /**
   * Releases a part on an operator's command.
   * @throws SpoolgateError `invalidRequest` if it is not in quarantine.
   */
  release(part: PromptPartId): Promise<void>
  /** Emits when a report changes the list; changes of the replicated state are emitted by the state itself. */
  readonly changes: Observable<void>
}

type PartCommand = QuarantinePart | ReleasePart
type ReleaseReason = 'answered' | 'operator'

/** Minimum time between two evaluations, in ms; a failure of many engines brings hundreds of reports at once. */
const EVALUATION_PERIOD_MS = 20
/** Maximum number of crashed servers kept with a verdict. */
const MAX_LISTED_SERVERS = 16

/** Creates a coordinator. */
export function createPartCoordinator(options: PartCoordinatorOptions): PartCoordinator {
  const { member, parts, timers, logger, readWallClock } = options
  const evidence = createPartEvidence(options)
  const trials = createPartTrials(options)
  const changes = new Subject<void>()
  /** Commands by part that are not committed yet; failed proposals are retried with the next report. */
  const pending = new Map<PromptPartId, PartCommand>()
  const proposing = new Set<PartCommand>()
  let suspects: readonly PromptPartId[] = []
  let suspectRevision = 0
  let evaluatedAt = -Infinity
  let isEvaluationDue = false
  let currentTerm: number | undefined

  /** Discards the state of an earlier term: routers report everything again to a new leader. */
  const resetForTerm = () => {
    const { term } = member.status()
    if (term === currentTerm) return
    evidence.reset()
    trials.reset()
    pending.clear()
    suspects = []
    for (const { part } of parts.list()) evidence.recordCause(part)
    currentTerm = term
  }
  const propose = async (command: PartCommand) => {
    proposing.add(command)
    try {
      await member.propose(command)
      if (pending.get(command.part) === command) pending.delete(command.part)
      changes.next()
    } catch (cause) {
      logger.warn('part.undecided', { part: command.part, reason: String(cause) })
      throw cause
    } finally {
      proposing.delete(command)
    }
  }
  const proposePending = () => {
    for (const command of pending.values()) {
      if (!proposing.has(command)) propose(command).catch(() => {})
    }
  }
  const startRound = (part: PromptPartId, round: number, verdict: Omit<PartVerdict, 'part'>) => {
    const { crashes, chance, isAnswered } = verdict
    const servers = verdict.servers.slice(-MAX_LISTED_SERVERS)
    const since = readWallClock()
    pending.set(part, { kind: 'part.quarantine', part, round, since, servers, chance })
    logger.warn('part.quarantined', {
      ...{ part, round, servers, crashes, chance, isAnswered },
      holdMs: findPartQuarantineMs(round),
    })
  }
  const startRelease = (part: PromptPartId, reason: ReleaseReason): ReleasePart => {
    const command = { kind: 'part.release', part } as const
    evidence.remove(part)
    trials.remove(part)
    pending.set(part, command)
    logger.info('part.released', { part, reason })
    return command
  }
  const startQuarantine = (verdict: PartVerdict) => {
    const { part } = verdict
    evidence.recordCause(part)
    if (parts.find(part) || pending.has(part)) return
    startRound(part, 1, verdict)
  }
  const updateSuspects = () => {
    const listed = evidence.listSuspects()
    const isSame =
      listed.length === suspects.length && listed.every((part, index) => part === suspects[index])
    if (isSame) return
    suspects = listed
    suspectRevision += 1
    changes.next()
  }
  const evaluate = () => {
    isEvaluationDue = false
    evaluatedAt = timers.now()
    for (let verdict = evidence.findVerdict(); verdict; verdict = evidence.findVerdict())
      startQuarantine(verdict)
    proposePending()
    updateSuspects()
  }
  const requestEvaluation = () => {
    if (isEvaluationDue) return
    const waitMs = evaluatedAt + EVALUATION_PERIOD_MS - timers.now()
    if (waitMs <= 0) return evaluate()
    isEvaluationDue = true
    timers.after(waitMs).subscribe(evaluate)
  }
  const recordTrialCrashes = ({ server, ageMs, parts: inFlight }: PartCrash) => {
    for (const [part, , heldMs] of inFlight) {
      const quarantined = parts.find(part)
      const sentAt = timers.now() - ageMs - heldMs
      if (!quarantined || pending.has(part) || !trials.isTrial(part, sentAt)) continue
      const servers: readonly BackendServerId[] = [...quarantined.servers, server]
      const { chance } = quarantined
      const verdict = { servers, chance, crashes: servers.length, isAnswered: false }
      startRound(part, quarantined.round + 1, verdict)
    }
  }
  const recordAnswered: (answered: PartReport['answered'][number]) => void = (answered) => {
    const [part, ageMs] = answered
    evidence.recordAnswered(answered)
    const quarantined = parts.find(part)
    // A response from before the crashes says nothing about them.
    const isLater = quarantined && readWallClock() - ageMs > quarantined.since
    if (isLater && pending.get(part)?.kind !== 'part.release') startRelease(part, 'answered')
  }
  return {
    record: ({ crashes, answered, rejected }) => {
      resetForTerm()
      crashes.forEach(evidence.addCrash)
      crashes.forEach(recordTrialCrashes)
      answered.forEach(recordAnswered)
      if (crashes.length + answered.length + pending.size > 0) requestEvaluation()
      if (crashes.length > 0) timers.after(RESPONSES_WAIT_MS).subscribe(requestEvaluation)
      const trial = trials.choose(rejected)
      if (trial !== undefined) logger.info('part.tried', { part: trial })
      return trial
    },
    list: () => {
      const quarantined = parts.list().map(({ part, round }): ListedPart => [part, round])
      const suspected = suspects
        .filter((part) => !parts.find(part))
        .map((part): ListedPart => [part, 0])
      return [...quarantined, ...suspected]
    },
    revision: () => suspectRevision + parts.revision(),
    listQuarantined: () =>
      parts
        .list()
        .map((quarantined) => ({ ...quarantined, ...trials.findStatus(quarantined.part) })),
    release: async (part) => {
      if (!parts.find(part)) {
        throw new SpoolgateError(
          'invalidRequest',
          `part "${part}" is not in quarantine; list the parts that are`,
        )
      }
      await propose(startRelease(part, 'operator'))
    },
    changes,
  }
}
