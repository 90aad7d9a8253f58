/**
 * Quarantine decisions of the leader: aggregates the crash reports of all routers, quarantines requests in the replicated
 * state, and lists the suspected and quarantined requests for routers. Crashes are counted centrally because routers that
 * count on their own would each allow the full number of crashes.
 */
import type { BackendServerId, Logger, RequestFingerprint, TimerService } from '@spoolgate/core'
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
  const wanted = new Map<RequestFingerprint, QuarantineCommand>()
  const proposing = new Set<QuarantineCommand>()
  let knownTerm: number | undefined

  /** Discards the state of an earlier term: routers report everything again to a new leader. */
  const resetForTerm = () => {
    const { term } = member.status()
    if (term !== knownTerm) {
      tally.reset()
      trials.reset()
      wanted.clear()
    }
    knownTerm = term
  }
  const propose = async (command: QuarantineCommand) => {
    const { request } = command
    proposing.add(command)
    try {
      await member.propose(command)
      if (wanted.get(request) === command) wanted.delete(request)
      // From now on only crashes in the next round count, and that round comes from the replicated state.
      tally.remove(request)
      changes.next()
    } catch (cause) {
      logger.warn('request.undecided', { fingerprint: request, reason: String(cause) })
    } finally {
      proposing.delete(command)
    }
  }
  const proposeWanted = () => {
    for (const command of wanted.values()) {
      if (!proposing.has(command)) void propose(command)
    }
  }
  const wantQuarantine = (
    request: RequestFingerprint,
    round: number,
    servers: readonly BackendServerId[],
  ) => {
    if (wanted.get(request)?.kind === 'request.quarantine') return
    wanted.set(request, { kind: 'request.quarantine', request, round })
    const holdMs = findQuarantineMs(round)
    logger.warn('request.quarantined', { fingerprint: request, round, servers, holdMs })
  }
  const recordEnd = ({ request, round }: InterruptedSend, server: BackendServerId) => {
    const held = quarantine.find(request)
    // Ignores sends from before the router knew of the current quarantine round.
    if (round !== (held?.round ?? 0)) return
    if (held) return wantQuarantine(request, round + 1, [server])
    const { servers } = tally.addEnd(request, server)
    if (servers.size >= CRASHES_TO_QUARANTINE) wantQuarantine(request, 1, [...servers])
  }
  const recordAnswered = (request: RequestFingerprint) => {
    tally.remove(request)
    trials.remove(request)
    const held = quarantine.find(request) ?? wanted.get(request)
    if (!held || !('round' in held)) return
    wanted.set(request, { kind: 'request.release', request })
    logger.info('request.released', { fingerprint: request, round: held.round, reason: 'answered' })
  }
  return {
    record: ({ ended, answered, asked, untried }) => {
      resetForTerm()
      const before = tally.revision()
      for (const { server, sends } of ended) {
        for (const send of sends) recordEnd(send, server)
      }
      answered.forEach(recordAnswered)
      untried.forEach(trials.recordUntried)
      proposeWanted()
      if (tally.revision() !== before) changes.next()
      const tried = trials.choose(asked)
      if (tried !== undefined) logger.info('request.tried', { fingerprint: tried })
      return tried
    },
    list: () => {
      const held = quarantine.list()
      const suspects = tally
        .listSuspects()
        .filter((request) => !quarantine.find(request))
        .map((request) => ({ request, round: 0 }))
      return [...held, ...suspects]
    },
    revision: () => tally.revision() + quarantine.revision(),
    changes,
  }
}
