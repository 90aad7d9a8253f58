/** The leader's side of the feed to routers. */
import {
  createTurnQueue,
  SpoolgateError,
  type BackendServerId,
  type TimerService,
  type TurnQueue,
} from '@spoolgate/core'
import { LRUCache } from 'lru-cache'
import { filter, firstValueFrom, fromEvent, merge, race, share, type Observable } from 'rxjs'
import type { ServerResponse } from 'node:http'
import type { PartReport, PartReportReply } from '../parts/partReport.js'
import type { RaftMember } from '../raft/types.js'
import { isSameWeights } from '../state/weightsState.js'
import type { ControlStateMachine } from '../state/controlMachine.js'
import {
  MAX_PLACEMENTS_PER_REPLY,
  type FeedReply,
  type FeedRequest,
  type CachedPlacement,
  type CacheListCursor,
  type ServerConditions,
  type ServerLoads,
} from './feed.js'
import type { CacheDirectory } from './cacheDirectory.js'
import { createDemandAggregator } from './demandAggregator.js'
import { createRateLimitAllocator } from './rateLimitAllocator.js'
import { createLoadAggregator } from './loadAggregator.js'
import { createPeerDirectory } from './peerDirectory.js'
import { createPlacementLog } from './placementLog.js'
import { createQuarantineFeed, type QuarantineFeedOptions } from './quarantineFeed.js'
import { createQueueBoard, type RouterQueue } from './queueBoard.js'
import { createSpeedAggregator } from './speedAggregator.js'
import type { QuotaBuckets } from './quotaBuckets.js'
import type { QuotaGrants, QuotaReport, QuotaStatus } from './quotaProtocol.js'
import type { VersionAges } from './weightsHistory.js'
import { listVersionStatus, type VersionStatus } from './versionStatus.js'
import { listServerStatus, type ServerStatus } from './serverStatus.js'
import type { VersionGate } from './versionGate.js'
import { createServerChanges } from './serverChanges.js'
import type { TableHistory } from '../table/tableHistory.js'
import { measureUpdate, NO_TABLE_VERSION } from '../table/tableUpdate.js'

/** Options of {@link createFeedSource}. */
export interface FeedSourceOptions extends Omit<QuarantineFeedOptions, 'isCurrentTerm'> {
  readonly member: RaftMember
  readonly machine: ControlStateMachine
  readonly timers: TimerService
  readonly findConditions: () => ServerConditions
  readonly listVersionAges: () => VersionAges
  /** Emits when the conditions change. */
  readonly conditionChanges: Observable<void>
  readonly tables: TableHistory
  /** Takes note of the software versions that routers hold. */
  readonly versionGate: Pick<VersionGate, 'recordPoll' | 'isOpen'>
  /** Quotas of the teams. */
  readonly quotas: QuotaBuckets
  /** Cache content of engines and stores, for routers that do not have it yet. */
  readonly cacheDirectory: Pick<CacheDirectory, 'readPage'>
  /** Waits a bounded time until the cache content of engines and stores is known. */
  readonly waitForCacheDirectory: () => Promise<void>
  /** Emits when the instance stops; held polls are answered at once. */
  readonly stopping: Observable<unknown>
  /**
   * Queue that serialises large replies.
   * @default a queue on this process's event loop
   */
  readonly turns?: TurnQueue
}

/** Answers the polls of routers; see {@link createFeedSource}. */
export interface FeedSource {
  /**
   * Replies as soon as there is an update, or after the wait that the router asked for.
   * @throws SpoolgateError unless this instance is the leader and holds its lease.
   */
  answer(request: FeedRequest, response: ServerResponse): Promise<FeedReply>
  /**
   * Records evidence about parts of prompts without waiting.
   * @throws SpoolgateError unless this instance is the leader and holds its lease.
   */
  recordParts(report: PartReport): PartReportReply
  /** @throws SpoolgateError unless this instance is the leader and holds its lease. */
  checkLeading(): void
  /**
   * Grants quota credits without waiting.
   * @throws SpoolgateError unless this instance is the leader and holds its lease.
   */
  grantQuotas(report: QuotaReport): QuotaGrants
  /**
   * Lists the quotas of the teams and their use.
   * @throws SpoolgateError unless this instance is the leader and holds its lease.
   */
  listQuotas(): readonly QuotaStatus[]
  /**
   * Lists the requests that wait at routers.
   * @throws SpoolgateError unless this instance is the leader and holds its lease.
   */
  listQueues(): readonly RouterQueue[]
  /** Queues changes of cache content for all routers. */
  addCacheChanges(placements: readonly CachedPlacement[]): void
  /** Sums the load that all routers have in progress. */
  sumLoads(): ServerLoads
  /**
   * Lists the servers with their loads, speeds and limits.
   * @throws SpoolgateError unless this instance is the leader and holds its lease.
   */
  listServers(): readonly ServerStatus[]
  /**
   * Lists the software versions of the groups.
   * @throws SpoolgateError unless this instance is the leader and holds its lease.
   */
  listVersions(): readonly VersionStatus[]
}

/** Time after its last poll at which a router is no longer counted, in ms; six polls. */
const ROUTER_EXPIRY_MS = 3_000
/** Upper bound of the wait that a router may ask for, in ms. */
const MAX_WAIT_MS = 1_000
/**
 * Time for which a poll is held while no leader is known, in ms. It limits the poll rate, and is shorter than the
 * timeout after which a router also asks another instance.
 */
const MAX_LEADER_WAIT_MS = 250
/** Period of checking for a known leader while a poll waits for one, in ms. */
const LEADER_CHECK_PERIOD_MS = 25
/** Maximum entries per page of the list of all cached prefixes; at 20 bytes each, the size of a routing table. */
const MAX_CACHE_ENTRIES_PER_REPLY = 1_000
/**
 * Largest table update sent in a reply, in bytes. The full initial table of the users' sites is 6 KB, and 70 updates
 * of this maximum size occupy a 100 Mbit/s link for 0.09 s.
 */
const MAX_TABLE_BYTES = 16 * 1024
/**
 * Minimum time between two updates of one router, for each router, in ms. While thousands of servers register, hundreds of
 * routers would otherwise be answered as fast as they poll.
 */
const GATHER_MS_PER_ROUTER = 0.5
/** Maximum of that time, in ms: below the time between announcing a load of weights and ordering it. */
const MAX_GATHER_MS = 100
/** Maximum number of routers whose last update is tracked: several times the size of a large deployment. */
const MAX_TRACKED_ROUTERS = 2_000
/** Cursor of a router that has no cache content yet. */
const FULL_LIST: CacheListCursor = { after: '', left: Number.MAX_SAFE_INTEGER }
/** Sender of placements that do not come from a router. */
const NO_ROUTER = 'nobody'

/** Creates the leader's side of the feed. */
export function createFeedSource(options: FeedSourceOptions): FeedSource {
  const { member, machine, timers } = options
  const loads = createLoadAggregator({ timers, routerLifeMs: ROUTER_EXPIRY_MS })
  const demands = createDemandAggregator({ timers, routerLifeMs: ROUTER_EXPIRY_MS })
  const queues = createQueueBoard({ timers, routerLifeMs: ROUTER_EXPIRY_MS })
  const limits = createRateLimitAllocator({
    timers,
    listRouters: loads.listBusyRouters,
    isRegistered: (server) => machine.servers.find(server as BackendServerId) !== undefined,
  })
  const speeds = createSpeedAggregator({
    timers,
    isRegistered: (server) => machine.servers.find(server as BackendServerId) !== undefined,
  })
  const peers = createPeerDirectory({ timers, routerLifeMs: ROUTER_EXPIRY_MS })
  const placements = createPlacementLog()
  const cacheChanges = createPlacementLog()
  const updatedAt = new LRUCache<string, number>({ max: MAX_TRACKED_ROUTERS })
  const turns = options.turns ?? createTurnQueue()
  let currentTerm: number | undefined
  /** Counts changes of the state that {@link FeedReply} reports by revision. */
  let revision = 0
  const serverChanges = createServerChanges(machine.servers.list)
  let knownWeights = machine.weights.list()
  let isFleetChanged = false
  /** Counts the changes since the last call as one, so that a burst of them is compared once and not one by one. */
  const recordFleetChanges = () => {
    if (!isFleetChanged) return
    isFleetChanged = false
    const weights = machine.weights.list()
    const isChanged = serverChanges.record(revision + 1) || !isSameWeights(weights, knownWeights)
    knownWeights = weights
    if (isChanged) revision += 1
  }
  machine.fleetChanges.subscribe(() => {
    isFleetChanged = true
  })
  options.conditionChanges.subscribe(() => {
    revision += 1
  })
  const quarantines = createQuarantineFeed({
    ...options,
    isCurrentTerm: (request) => isCurrentTerm(request),
  })
  const changes = merge(machine.fleetChanges, options.conditionChanges, quarantines.changes)

  /** Term of this leader as of the last {@link checkLeading}; reading the status for each comparison is too slow. */
  let leadingTerm: number | undefined
  const checkLeading = () => {
    const { role, leader, leaderUrl, term } = member.status()
    leadingTerm = term
    if (role !== 'leader') {
      throw new SpoolgateError('notLeader', 'this instance is not the leader; ask the leader', {
        details: { leader, leaderUrl },
      })
    }
    member.checkCurrent()
  }
  /** Whether this instance can serve the table, or name the leader. */
  const isLeaderKnown = () => {
    const { role, leader } = member.status()
    return role === 'leader' ? member.isCurrent() : leader !== undefined
  }
  const leaderKnown = timers.every(LEADER_CHECK_PERIOD_MS).pipe(filter(isLeaderKnown), share())
  const waitUntil = async (
    update: Observable<unknown>,
    waitMs: number,
    response: ServerResponse,
  ) => {
    const isOver = race(
      update,
      timers.after(waitMs),
      fromEvent(response, 'close'),
      options.stopping,
    )
    await firstValueFrom(isOver, { defaultValue: undefined })
  }

  /** Sequence numbers and revisions of a router that last polled another leader are not valid in this term. */
  const isCurrentTerm = (request: FeedRequest) => request.term === leadingTerm
  const findCacheCursor = (request: FeedRequest): CacheListCursor => {
    if (!isCurrentTerm(request)) return FULL_LIST
    const isTooFarBehind = cacheChanges.last() - request.keptSeen > MAX_PLACEMENTS_PER_REPLY
    // Continues from the cursor and wraps around once, so that no page is sent twice.
    return isTooFarBehind
      ? { ...FULL_LIST, after: request.keptPosition.after }
      : request.keptPosition
  }
  const listCacheChanges = (request: FeedRequest) =>
    isCurrentTerm(request) ? cacheChanges.listSince(NO_ROUTER, request.keptSeen) : []
  const startTerm = () => {
    if (leadingTerm === undefined || leadingTerm === currentTerm) return
    placements.reset()
    limits.reset()
    speeds.reset()
    peers.reset()
    options.quotas.reset(leadingTerm)
    currentTerm = leadingTerm
  }
  const recordVersions = ({ router, peerUrl, isPeerDurable, versionsSeen }: FeedRequest) => {
    if (peerUrl !== undefined) peers.record(peerUrl, isPeerDurable ?? false)
    if (versionsSeen !== undefined && leadingTerm !== undefined)
      options.versionGate.recordPoll(router, versionsSeen, leadingTerm)
  }
  /** Records the reports of a router; returns the quarantined request and part that it may try. */
  const recordRouter = (request: FeedRequest) => {
    startTerm()
    placements.add(request.router, request.placements)
    loads.record(request.router, request.loads)
    limits.record(request.limits ?? [])
    queues.record(request.router, request.queues)
    speeds.record(request.speeds ?? [])
    demands.record(request.router, request.demands)
    recordVersions(request)
    if (request.quotas) options.quotas.applyReport(request.quotas)
    return quarantines.record(request)
  }
  const findTableVersion = () => machine.table.current()?.version ?? NO_TABLE_VERSION
  const isNewTable = (request: FeedRequest) => findTableVersion() > request.tableReported
  /** Routers to which a version was already reported have it or are fetching it. */
  const findTableUpdate = (request: FeedRequest) => {
    if (!isNewTable(request)) return undefined
    const update = options.tables.findUpdate(request.tableVersion)
    return update && measureUpdate(update) <= MAX_TABLE_BYTES ? update : undefined
  }
  const isNewLimits = (request: FeedRequest) =>
    !isCurrentTerm(request) ||
    (request.limitsSeen !== undefined && request.limitsSeen !== limits.revision())
  const isNewVersions = ({ versionsSeen }: FeedRequest) =>
    versionsSeen !== undefined && versionsSeen !== machine.softwareVersions.revision()
  const listVersions = (request: FeedRequest) => {
    if (!isNewVersions(request)) return undefined
    const { softwareVersions } = machine
    return { revision: softwareVersions.revision(), groups: softwareVersions.list() }
  }
  /** Routers need each other only where streams of several versions may be resumed. */
  const buildPeers = (request: FeedRequest) => {
    const isUsed = Object.values(machine.softwareVersions.list()).some(({ length }) => length > 1)
    if (request.peerUrl === undefined || !isUsed) return {}
    const peersSeen = peers.revision()
    const isSeen = isCurrentTerm(request) && request.peersSeen === peersSeen
    return { peersSeen, peers: isSeen ? undefined : peers.buildUpdate() }
  }
  /** Revision of the speeds that the router has; undefined if it does not use them. */
  const findSpeedsSeen = (request: FeedRequest) =>
    request.speedsSeen === undefined || isCurrentTerm(request) ? request.speedsSeen : 0
  const listSpeeds = (request: FeedRequest) => {
    const seen = findSpeedsSeen(request)
    if (seen === undefined) return {}
    const changes = speeds.listSince(seen)
    return {
      speeds: changes.speeds.length > 0 ? changes.speeds : undefined,
      speedsSeen: changes.seen,
    }
  }
  /** Whether something changed that is not gathered with changes of the fleet. */
  const isNewOther = (request: FeedRequest) =>
    quarantines.isNew(request) || isNewLimits(request) || isNewVersions(request)
  const isUpdateDue = (request: FeedRequest) => {
    if (isNewTable(request) || isNewOther(request)) return true
    recordFleetChanges()
    if (speeds.isBehind(findSpeedsSeen(request) ?? Infinity)) return true
    return request.revision !== revision
  }
  const findGatherMs = ({ router }: FeedRequest) => {
    const periodMs = Math.min(MAX_GATHER_MS, loads.countRouters() * GATHER_MS_PER_ROUTER)
    return (updatedAt.get(router) ?? -Infinity) + periodMs - timers.now()
  }
  /** Gathers changes of the fleet that follow an update closely. Nothing delays a new table. */
  const gatherChanges = async (request: FeedRequest, response: ServerResponse) => {
    if (isNewTable(request) || isNewOther(request) || !isUpdateDue(request)) return
    const gatherMs = findGatherMs(request)
    if (gatherMs <= 0) return
    await waitUntil(changes.pipe(filter(() => isNewTable(request))), gatherMs, response)
  }
  /**
   * Whether the reply contains all servers or a page of cache content. Such replies are queued, so that a router without
   * a table does not wait behind the lists of routers that polled later; small replies bypass the queue.
   */
  const isLarge = (request: FeedRequest) => !isCurrentTerm(request) || request.keptPosition.left > 0
  const buildLoads = (request: FeedRequest) => {
    const { router, loadsSeen } = request
    if (!loadsSeen) return { loads: loads.sumExcept(router) }
    const cursor = isCurrentTerm(request) ? loadsSeen : undefined
    return { loads: {}, loadsUpdate: loads.buildUpdate(cursor) }
  }
  const buildReply = (request: FeedRequest, receivedAt: number): FeedReply => {
    recordFleetChanges()
    const { term, members } = member.status()
    const page = options.cacheDirectory.readPage(
      findCacheCursor(request),
      MAX_CACHE_ENTRIES_PER_REPLY,
    )
    const common = {
      term,
      revision,
      tableVersion: findTableVersion(),
      tableUpdate: findTableUpdate(request),
      routers: loads.countRouters(),
      ...buildLoads(request),
      placements: placements.listSince(
        request.router,
        isCurrentTerm(request) ? request.placementsSeen : 0,
      ),
      placementsSeen: placements.last(),
      kept: [...listCacheChanges(request), ...page.placements],
      keptSeen: cacheChanges.last(),
      keptPosition: page.cursor,
      limits: isNewLimits(request) ? limits.buildUpdate(request.router) : undefined,
      limitsSeen: limits.revision(),
      ...quarantines.buildReply(request),
      demands: request.demands && demands.sumExcept(request.router),
      quotas: request.quotas && options.quotas.listGrants(request.quotas),
      ...listSpeeds(request),
      versions: listVersions(request),
      ...buildPeers(request),
    }
    if (isCurrentTerm(request) && request.revision === revision) return common
    updatedAt.set(request.router, timers.now())
    return {
      ...common,
      weights: machine.weights.list(),
      weightAges: options.listVersionAges(),
      heldMs: Math.floor(timers.now() - receivedAt),
      servers: serverChanges.listSince(isCurrentTerm(request) ? request.revision : undefined),
      conditions: options.findConditions(),
      control: Object.values(members).map(({ url }) => url),
    }
  }
  return {
    answer: async (request, response) => {
      const receivedAt = timers.now()
      if (!isLeaderKnown()) await waitUntil(leaderKnown, MAX_LEADER_WAIT_MS, response)
      checkLeading()
      const trials = recordRouter(request)
      const isTrial = trials.trial !== undefined || trials.partTrial !== undefined
      if (!isCurrentTerm(request)) await options.waitForCacheDirectory()
      if (!isUpdateDue(request) && !isTrial) {
        await waitUntil(changes, Math.min(request.waitMs, MAX_WAIT_MS), response)
      }
      if (!isTrial) await gatherChanges(request, response)
      if (isLarge(request)) await turns.take()
      checkLeading()
      return { ...buildReply(request, receivedAt), ...trials }
    },
    recordParts: (report) => {
      checkLeading()
      startTerm()
      quarantines.recordParts(report)
      return { term: member.status().term }
    },
    checkLeading,
    grantQuotas: (report) => {
      checkLeading()
      startTerm()
      return options.quotas.applyReport(report)
    },
    listQuotas: () => {
      checkLeading()
      return options.quotas.list()
    },
    listQueues: () => {
      checkLeading()
      return queues.list()
    },
    addCacheChanges: (placed) => cacheChanges.add(NO_ROUTER, placed),
    sumLoads: () => loads.sumExcept(undefined),
    listVersions: () => {
      checkLeading()
      return listVersionStatus({
        versions: machine.softwareVersions.list(),
        servers: machine.servers.list(),
        loads: loads.sumExcept(undefined),
        isOpen: options.versionGate.isOpen,
      })
    },
    listServers: () => {
      checkLeading()
      return listServerStatus({
        servers: machine.servers.list(),
        conditions: options.findConditions(),
        loads: loads.sumExcept(undefined),
        speeds: speeds.list(),
        limits: limits.buildUpdate(NO_ROUTER).servers,
      })
    },
  }
}
