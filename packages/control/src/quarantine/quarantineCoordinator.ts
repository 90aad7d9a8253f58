/**
 * Quarantine decisions of the leader: aggregates the crash reports of all routers, quarantines requests in the replicated
 * state, and lists the suspected and quarantined requests for routers. Crashes are counted centrally because routers that
 * count on their own would each allow the full number of crashes.
 */
import {
  SpoolgateError,
  type BackendServerId,
  type Logger,
  type RequestFingerprint,
  type TimerService,
} from '@spoolgate/core'
import { Subject, type Observable } from 'rxjs'
import type { RaftMember } from '../raft/types.js'
import type {
  QuarantineRequest,
  QuarantineState,
  ReleaseRequest,
} from '../state/quarantineState.js'
import { createCrashTally } from './crashTally.js'
import { createTrialScheduler } from './trialScheduler.js'
import {
  CRASHES_TO_QUARANTINE,
  findQuarantineMs,
  type InterruptedSend,
  type CrashReport,
  type SuspectedRequest,
} from './crashReport.js'

/** Options of {@link createQuarantineCoordinator}. */
export interface QuarantineCoordinatorOptions {
  readonly member: Pick<RaftMember, 'status' | 'propose'>
  readonly quarantine: Pick<QuarantineState, 'find' | 'list' | 'revision'>
  readonly timers: TimerService
  readonly logger: Logger
}

/** See {@link createQuarantineCoordinator}. */
export interface QuarantineCoordinator {
  /**
   * Processes the report of a router, and returns the quarantined request that the router may send once as a trial.
   * Called on the leader only.
   */
  record(report: CrashReport): RequestFingerprint | undefined
  /** Lists the quarantined and the suspected requests for routers. */
  list(): readonly SuspectedRequest[]
  /** Increases with each change of that list. */
  revision(): number
  /** Lists the quarantined requests for operators. */
  listQuarantined(): readonly SuspectedRequest[]
  /**
   * Releases a request on an operator's command.
   * @throws SpoolgateError `invalidRequest` if it is not in quarantine.
   */
  release(request: RequestFingerprint): Promise<void>
  /** Emits when a report changes the list; changes of the replicated state are emitted by the state itself. */
  readonly changes: Observable<void>
}

type QuarantineCommand = QuarantineRequest | ReleaseRequest

/** Creates a coordinator. */
export function createQuarantineCoordinator(
  options: QuarantineCoordinatorOptions,
): QuarantineCoordinator {
  const { member, quarantine, logger } = options
  const tally = createCrashTally(options.timers)
  const trials = createTrialScheduler(options)
  const changes = new Subject<void>()
  /** Commands by request that are not committed yet; failed proposals are retried with the next report. */
  const pending = new Map<RequestFingerprint, QuarantineCommand>()
  const proposing = new Set<QuarantineCommand>()
  let currentTerm: number | undefined

  /** Discards the state of an earlier term: routers report everything again to a new leader. */
  const resetForTerm = () => {
    const { term } = member.status()
    if (term !== currentTerm) {
      tally.reset()
      trials.reset()
      pending.clear()
    }
    currentTerm = term
  }
  const propose = async (command: QuarantineCommand) => {
    const { request } = command
    proposing.add(command)
    try {
      await member.propose(command)
      if (pending.get(request) === command) pending.delete(request)
      // From now on only crashes in the next round count, and that round comes from the replicated state.
      tally.remove(request)
      changes.next()
    } catch (cause) {
      logger.warn('request.undecided', { fingerprint: request, reason: String(cause) })
    } finally {
      proposing.delete(command)
    }
  }
  const proposePending = () => {
    for (const command of pending.values()) {
      if (!proposing.has(command)) void propose(command)
    }
  }
  const startQuarantine = (
    request: RequestFingerprint,
    round: number,
    servers: readonly BackendServerId[],
  ) => {
    if (pending.get(request)?.kind === 'request.quarantine') return
    pending.set(request, { kind: 'request.quarantine', request, round })
    const holdMs = findQuarantineMs(round)
    logger.warn('request.quarantined', { fingerprint: request, round, servers, holdMs })
  }
  const recordCrash = ({ request, round }: InterruptedSend, server: BackendServerId) => {
    const quarantined = quarantine.find(request)
    // Ignores sends from before the router knew of the current quarantine round.
    if (round !== (quarantined?.round ?? 0)) return
    if (quarantined) return startQuarantine(request, round + 1, [server])
    const { servers } = tally.addCrash(request, server)
    if (servers.size >= CRASHES_TO_QUARANTINE) startQuarantine(request, 1, [...servers])
  }
  const recordAnswered = (request: RequestFingerprint) => {
    tally.remove(request)
    trials.remove(request)
    const quarantined = quarantine.find(request) ?? pending.get(request)
    if (!quarantined || !('round' in quarantined)) return
    pending.set(request, { kind: 'request.release', request })
    logger.info('request.released', {
      fingerprint: request,
      round: quarantined.round,
      reason: 'answered',
    })
  }
  return {
    record: ({ ended, answered, asked: rejected, untried: unusedTrials }) => {
      resetForTerm()
      const before = tally.revision()
      for (const { server, sends } of ended) {
        for (const send of sends) recordCrash(send, server)
      }
      answered.forEach(recordAnswered)
      unusedTrials.forEach(trials.recordUnusedTrial)
      proposePending()
      if (tally.revision() !== before) changes.next()
      const trial = trials.choose(rejected)
      if (trial !== undefined) logger.info('request.tried', { fingerprint: trial })
      return trial
    },
    list: () => {
      const quarantined = quarantine.list()
      const suspects = tally
        .listSuspects()
        .filter((request) => !quarantine.find(request))
        .map((request) => ({ request, round: 0 }))
      return [...quarantined, ...suspects]
    },
    revision: () => tally.revision() + quarantine.revision(),
    listQuarantined: quarantine.list,
    release: async (request) => {
      if (!quarantine.find(request)) {
        throw new SpoolgateError(
          'invalidRequest',
          `request "${request}" is not in quarantine; list the requests that are`,
        )
      }
      tally.remove(request)
      trials.remove(request)
      await member.propose({ kind: 'request.release', request })
      logger.info('request.released', { fingerprint: request, reason: 'operator' })
    },
    changes,
  }
}
