/** The leader's side of the feed to routers. */
import {
  createTurnQueue,
  SpoolgateError,
  type BackendServerId,
  type TimerService,
  type TurnQueue,
} from '@spoolgate/core'
import { filter, firstValueFrom, fromEvent, merge, race, share, type Observable } from 'rxjs'
import type { ServerResponse } from 'node:http'
import type { QuarantineCoordinator } from '../quarantine/quarantineCoordinator.js'
import type { RaftMember } from '../raft/types.js'
import type { ControlMachine } from '../state/controlMachine.js'
import {
  MAX_PLACEMENTS_PER_REPLY,
  type FeedReply,
  type FeedRequest,
  type KeptPlacement,
  type KeptPosition,
  type ServerConditions,
  type ServerLoads,
} from './feed.js'
import type { KeptParts } from './keptParts.js'
import { createRateLimitAllocator } from './rateLimitAllocator.js'
import { createLoadAggregator } from './loadAggregator.js'
import { createPlacementLog } from './placementLog.js'
import type { QuotaBuckets } from './quotaBuckets.js'
import type { QuotaGrants, QuotaReport, QuotaStatus } from './quotaProtocol.js'
import { createServerChanges } from './serverChanges.js'
import type { TableHistory } from '../table/tableHistory.js'
import { measureUpdate, NO_TABLE_VERSION } from '../table/tableUpdate.js'

/** Options of {@link createFeedSource}. */
export interface FeedSourceOptions {
  readonly member: RaftMember
  readonly machine: ControlMachine
  readonly timers: TimerService
  readonly findConditions: () => ServerConditions
  /** Emits when the conditions changed. */
  readonly conditionChanges: Observable<void>
  readonly tables: TableHistory
  /** Judges requests under which servers end. */
  readonly blame: QuarantineCoordinator
  /** Limits of teams. */
  readonly quotas: QuotaBuckets
  /** What engines and stores keep, for routers that do not know it yet. */
  readonly kept: Pick<KeptParts, 'takePiece'>
  /** Waits until what engines and stores keep is known, for a little while. */
  readonly waitForKept: () => Promise<void>
  /** Emits when the instance stops: waiting polls are answered at once. */
  readonly stopping: Observable<unknown>
  /**
   * Turns in which large answers are given.
   * @default those of this process's event loop
   */
  readonly turns?: TurnQueue
}

/** Answers polls; see {@link createFeedSource}. */
export interface FeedSource {
  /**
   * Waits for something new, or for the wait that the router asked for.
   * @throws SpoolgateError unless this instance leads and holds its lease.
   */
  answer(request: FeedRequest, response: ServerResponse): Promise<FeedReply>
  /**
   * Grants credits at once.
   * @throws SpoolgateError unless this instance leads and holds its lease.
   */
  grantQuotas(report: QuotaReport): QuotaGrants
  /**
   * Lists the limits of teams and their use.
   * @throws SpoolgateError unless this instance leads and holds its lease.
   */
  listQuotas(): readonly QuotaStatus[]
  /** Notes what engines and stores keep now, for all routers. */
  addKept(placements: readonly KeptPlacement[]): void
  /** Sums up what all routers have in progress. */
  sumLoads(): ServerLoads
}

/** Time after which a router that does not ask is no longer counted, in ms; six polls. */
const ROUTER_LIFE_MS = 3_000
/** Longest wait that a router may ask for, in ms. */
const MAX_WAIT_MS = 1_000
/**
 * Time for which a poll is held while no leader is known, in ms: it bounds the polls, and is below the silence after
 * which a router asks another instance as well.
 */
const HOLD_MS = 250
/** Time between two looks whether a leader is known, while somebody waits for it, in ms. */
const LEADER_LOOK_MS = 25
/** Entries in one piece of the list of all cached prefixes: at 20 bytes each, as much as a routing table. */
const MAX_KEPT_PARTS_PER_REPLY = 1_000
/**
 * Largest update of the table that an answer carries, in bytes: the whole table of the users' sites at their
 * start takes 6 KB, and 70 of this size take a link of 100 Mbit/s for 0.09 s.
 */
const MAX_TABLE_BYTES = 16 * 1024
/** Position of a router that knows nothing of what is kept. */
const WHOLE_LIST: KeptPosition = { after: '', left: Number.MAX_SAFE_INTEGER }
/** Sender of what comes from no router. */
const NOBODY = 'nobody'

function isSameWeights(
  a: Readonly<Record<string, number>>,
  b: Readonly<Record<string, number>>,
): boolean {
  const models = Object.keys(a)
  return models.length === Object.keys(b).length && models.every((model) => a[model] === b[model])
}

/** Creates the source. */
export function createFeedSource(options: FeedSourceOptions): FeedSource {
  const { member, machine, timers, blame } = options
  const loads = createLoadAggregator({ timers, routerLifeMs: ROUTER_LIFE_MS })
  const limits = createRateLimitAllocator({
    timers,
    listRouters: loads.listBusyRouters,
    isRegistered: (server) => machine.servers.find(server as BackendServerId) !== undefined,
  })
  const placements = createPlacementLog()
  const changesOfKept = createPlacementLog()
  const turns = options.turns ?? createTurnQueue()
  let countedTerm: number | undefined
  /** Counts the changes of all that {@link FeedReply} reports by revision. */
  let revision = 0
  const serverChanges = createServerChanges(machine.servers.list)
  let knownWeights = machine.weights.list()
  const recordFleetChange = () => {
    const weights = machine.weights.list()
    const isChanged = serverChanges.record(revision + 1) || !isSameWeights(weights, knownWeights)
    knownWeights = weights
    if (isChanged) revision += 1
  }
  machine.fleetChanges.subscribe(recordFleetChange)
  options.conditionChanges.subscribe(() => {
    revision += 1
  })
  const changes = merge(machine.fleetChanges, options.conditionChanges, blame.changes)

  const checkLeading = () => {
    const { role, leader, leaderUrl } = member.status()
    if (role !== 'leader') {
      throw new SpoolgateError('notLeader', 'ask the leader', { details: { leader, leaderUrl } })
    }
    member.checkCurrent()
  }
  /** Whether a router that asks here can get the table, or the leader's address. */
  const isLeaderKnown = () => {
    const { role, leader } = member.status()
    return role === 'leader' ? member.isCurrent() : leader !== undefined
  }
  const leaderKnown = timers.every(LEADER_LOOK_MS).pipe(filter(isLeaderKnown), share())
  const waitUntil = async (news: Observable<unknown>, waitMs: number, response: ServerResponse) => {
    const isOver = race(news, timers.after(waitMs), fromEvent(response, 'close'), options.stopping)
    await firstValueFrom(isOver, { defaultValue: undefined })
  }

  /** A router that polled another leader last has none of this one's numbers. */
  const isOfTerm = (request: FeedRequest) => request.term === member.status().term
  const findKeptPosition = (request: FeedRequest): KeptPosition => {
    if (!isOfTerm(request)) return WHOLE_LIST
    const isTooMuch = changesOfKept.last() - request.keptSeen > MAX_PLACEMENTS_PER_REPLY
    // The list goes on where it stood, once around, so that no piece is sent in vain.
    return isTooMuch ? { ...WHOLE_LIST, after: request.keptPosition.after } : request.keptPosition
  }
  const listKeptChanges = (request: FeedRequest) =>
    isOfTerm(request) ? changesOfKept.listSince(NOBODY, request.keptSeen) : []
  const beginTerm = () => {
    const { term } = member.status()
    if (term === countedTerm) return
    placements.reset()
    limits.reset()
    options.quotas.reset(term)
    countedTerm = term
  }
  /** Records what a router reports; returns the request that it may try. */
  const recordRouter = (request: FeedRequest) => {
    beginTerm()
    placements.add(request.router, request.placements)
    loads.record(request.router, request.loads)
    limits.record(request.limits ?? [])
    if (request.quotas) options.quotas.applyReport(request.quotas)
    return request.blame && blame.record(request.blame)
  }
  const findTableVersion = () => machine.table.current()?.version ?? NO_TABLE_VERSION
  const isNewTable = (request: FeedRequest) => findTableVersion() > request.tableReported
  /** Routers that a version was reported to before have it, or are fetching it. */
  const findTableUpdate = (request: FeedRequest) => {
    if (!isNewTable(request)) return undefined
    const update = options.tables.findUpdate(request.tableVersion)
    return update && measureUpdate(update) <= MAX_TABLE_BYTES ? update : undefined
  }
  const isNewSuspects = (request: FeedRequest) =>
    !isOfTerm(request) ||
    (request.suspectsSeen !== undefined && request.suspectsSeen !== blame.revision())
  const isNewLimits = (request: FeedRequest) =>
    !isOfTerm(request) ||
    (request.limitsSeen !== undefined && request.limitsSeen !== limits.revision())
  const isNews = (request: FeedRequest) => {
    if (isNewTable(request) || isNewSuspects(request) || isNewLimits(request)) return true
    return request.revision !== revision
  }
  /**
   * Whether the answer holds all servers or a piece of what is kept. Such answers take turns, so that a router without
   * a table does not wait for the lists of those that asked later; small ones do not need to.
   */
  const isLarge = (request: FeedRequest) => !isOfTerm(request) || request.keptPosition.left > 0
  const buildReply = (request: FeedRequest): FeedReply => {
    const { term, members } = member.status()
    const piece = options.kept.takePiece(findKeptPosition(request), MAX_KEPT_PARTS_PER_REPLY)
    const common = {
      term,
      revision,
      tableVersion: findTableVersion(),
      tableUpdate: findTableUpdate(request),
      routers: loads.countRouters(),
      loads: loads.sumExcept(request.router),
      placements: placements.listSince(
        request.router,
        isOfTerm(request) ? request.placementsSeen : 0,
      ),
      placementsSeen: placements.last(),
      kept: [...listKeptChanges(request), ...piece.placements],
      keptSeen: changesOfKept.last(),
      keptPosition: piece.position,
      limits: isNewLimits(request) ? limits.buildUpdate(request.router) : undefined,
      limitsSeen: limits.revision(),
      suspects: isNewSuspects(request) ? blame.list() : undefined,
      suspectsSeen: blame.revision(),
      quotas: request.quotas && options.quotas.listGrants(request.quotas),
    }
    if (isOfTerm(request) && request.revision === revision) return common
    return {
      ...common,
      weights: machine.weights.list(),
      servers: serverChanges.listSince(isOfTerm(request) ? request.revision : undefined),
      conditions: options.findConditions(),
      control: Object.values(members).map(({ url }) => url),
    }
  }
  return {
    answer: async (request, response) => {
      if (!isLeaderKnown()) await waitUntil(leaderKnown, HOLD_MS, response)
      checkLeading()
      const trial = recordRouter(request)
      if (!isOfTerm(request)) await options.waitForKept()
      if (!isNews(request) && trial === undefined) {
        await waitUntil(changes, Math.min(request.waitMs, MAX_WAIT_MS), response)
      }
      if (isLarge(request)) await turns.take()
      checkLeading()
      return { ...buildReply(request), trial }
    },
    grantQuotas: (report) => {
      checkLeading()
      beginTerm()
      return options.quotas.applyReport(report)
    },
    listQuotas: () => {
      checkLeading()
      return options.quotas.list()
    },
    addKept: (placed) => changesOfKept.add(NOBODY, placed),
    sumLoads: () => loads.sumExcept(undefined),
  }
}
