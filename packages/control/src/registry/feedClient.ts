/**
 * A router's side of the feed: one task that polls the leader, searches for a new leader after a change, and holds the
 * received state. It tracks when that state was last confirmed as current.
 */
import {
  waitFor,
  type HttpClient,
  type Logger,
  type PromptPartId,
  type RandomSource,
  type RequestFingerprint,
  type TimerService,
} from '@spoolgate/core'
import type { RoutingTable } from '@spoolgate/routing'
import { Subject, type Observable } from 'rxjs'
import type { CrashReportBuffer, UnreportedOutcomes } from '../quarantine/crashReportBuffer.js'
import type { SuspectedRequest } from '../quarantine/crashReport.js'
import type { PartCrashBuffer, UnreportedParts } from '../parts/partCrashBuffer.js'
import type { ListedPart } from '../parts/partReport.js'
import {
  FEED_PATH,
  type FeedReply,
  type FeedRequest,
  type CachedPlacement,
  type Demands,
  type LimitReport,
  type LimitsUpdate,
  type Placement,
  type ServerLoads,
  type SpeedEntry,
} from './feed.js'
import { createFleetReplica, type FleetView } from './fleetReplica.js'
import { createInstanceSearch } from './instanceSearch.js'
import type { QueueReport } from './queueBoard.js'
import type { QuotaGrants, QuotaReport } from './quotaProtocol.js'
import { createTableFetcher } from './tableFetcher.js'

/** Options of {@link createFeedClient}. */
export interface FeedClientOptions {
  /** Name that identifies this router to control. */
  readonly router: string
  /** Seed URLs of the control instances; read again on each search for an instance. */
  readonly seeds: () => readonly string[]
  readonly client: HttpClient
  readonly timers: TimerService
  readonly random: RandomSource
  readonly logger: Logger
  /** Decodes the operators' document; throws if this version cannot read it. */
  readonly decodeTable: (document: string) => RoutingTable
  /** Lists the load that this router has in progress. */
  readonly listLoads: () => ServerLoads
  /** Drains the placements that this router made since the last call. */
  readonly takePlacements: () => Placement[]
  /** Called with the placements of other routers. */
  readonly onPlacements: (placements: readonly Placement[]) => void
  /** Outcomes that this router saw of requests that may crash servers. */
  readonly blame: Pick<CrashReportBuffer, 'listUnreported' | 'recordReported'>
  /** Evidence about parts of prompts that may crash engines. */
  readonly parts: PartRecord
  /** Server rate limits observed by this router. */
  readonly limits: LimitRecord
  /** This router's use of the team quotas. */
  readonly quotas: QuotaRecord
  /**
   * Called after each reply, which brings the loads of the other routers, with their demands.
   * @default nothing is called
   */
  readonly onLoads?: (demands: Demands | undefined) => void
  /**
   * Builds the engine time that this router needs soon; undefined if it does not share scarce engines.
   * @default nothing is reported
   */
  readonly buildDemands?: () => Demands | undefined
  /**
   * Builds the report on the requests that wait at this router; undefined if none do.
   * @default nothing is reported
   */
  readonly buildQueueReport?: () => QueueReport | undefined
  /** Server speeds observed by this router; undefined if it does not use speeds. */
  readonly speeds?: SpeedRecord
  /** Called after each change with all suspected or quarantined requests. */
  readonly onSuspects: (suspects: readonly SuspectedRequest[]) => void
  /** Called with a quarantined request that this router may send once as a trial. */
  readonly onTrial: (request: RequestFingerprint) => void
  /** Called with cache content reported by engines and stores. */
  readonly onCacheChanges: (placements: readonly CachedPlacement[]) => void
  /**
   * Address at which other routers reach this one, for the records of streams.
   * @default undefined, they do not
   */
  readonly peerUrl?: string
  /**
   * Whether this router keeps records of streams on a disk.
   * @default false
   */
  readonly isPeerDurable?: boolean
}

/** Evidence about parts of prompts, held until the leader acknowledges it. */
export interface PartRecord extends Pick<PartCrashBuffer, 'listUnreported' | 'recordReported'> {
  /** Called after each change with all suspected or quarantined parts. */
  applyListed(listed: readonly ListedPart[]): void
  /** Called with a quarantined part that this router may send once as a trial. */
  grantTrial(part: PromptPartId): void
}

/** Limits observed by this router, held until the leader acknowledges them. */
export interface LimitRecord {
  listUnreported(term: number): ObservedLimits
  recordAcknowledged(observed: ObservedLimits): void
  /** Applies the limits known to the leader; `askedAt` is when the poll was sent, in ms of `TimerService.now`. */
  applyUpdate(update: LimitsUpdate, askedAt: number): void
}

/** Evidence of server speeds, held until the leader acknowledges it. Times are in ms of `TimerService.now`. */
export interface SpeedRecord {
  /** Lists the evidence to report; undefined if no group uses speeds. */
  listReports(now: number): readonly SpeedEntry[] | undefined
  /** Applies a reply: the reports that it acknowledges and the speeds that changed. */
  applyReply(reply: SpeedReply, now: number): void
}

/** The part of a reply that concerns speeds. */
export interface SpeedReply {
  readonly term: number
  readonly reported: readonly SpeedEntry[]
  readonly speeds: readonly SpeedEntry[]
}

/** This router's use of the team quotas. Instants are in ms of the clock that includes suspension (`promiseNow`). */
export interface QuotaRecord {
  buildReport(now: number): QuotaReport
  applyGrants(grants: QuotaGrants, askedAt: number): void
}

/** Limits sent in one poll. */
export interface ObservedLimits {
  readonly term: number
  readonly reports: readonly LimitReport[]
}

/** Which state of the leader a view shows: its term, and the revision within that term; -1 for none. */
export type ViewPosition = Pick<FeedRequest, 'term' | 'revision'>

/** A client of the feed; see {@link createFeedClient}. */
export interface FeedClient {
  /** The router's state of the fleet; undefined before the first table arrives. */
  current(): FleetView | undefined
  /** Time since the poll that last confirmed the router's table as the newest, in ms; Infinity if never. */
  proofAgeMs(): number
  /** Time since the poll whose reply was applied last, in ms; Infinity if never. */
  viewAgeMs(): number
  /** Position in the feed of the reply that was applied last. */
  viewPosition(): ViewPosition
  /** Addresses at which routers exchange the records of their streams, that of this one included. */
  listPeers(): readonly string[]
  /** Those of them that keep records on a disk. */
  listDurablePeers(): readonly string[]
  /** Whether these lists came from a leader that has led for long enough to know all routers. */
  isPeerListComplete(): boolean
  /** URL of the instance that answered last; undefined while none responds. */
  leaderUrl(): string | undefined
  /** Emits after each change of the table, the weights, the servers, the software versions or the peers. */
  readonly changes: Observable<FleetView>
  close(): Promise<void>
}

/** Minimum wait that a poll asks for, in ms; it determines how stale the loads of other routers are. */
const MIN_WAIT_MS = 100
/** Wait added per router, in ms; it limits the poll rate at the leader. */
const WAIT_PER_ROUTER_MS = 2
/** Time beyond the wait without a reply after which other instances are also asked, in ms. */
const ANSWER_TIMEOUT_MS = 500
/** Pause after an unreadable reply, in ms, since the next one is likely to be unreadable too. */
const UNREADABLE_PAUSE_MS = 500
/** Maximum placements held until a leader acknowledges them; more than one poll produces. */
const MAX_UNREPORTED_PLACEMENTS = 200

/** A reply with the data of its poll. */
interface FeedAnswer {
  readonly reply: FeedReply
  /** When the poll was sent, in ms of the clock that includes suspension (`promiseNow`). */
  readonly askedAt: number
  /** Placements sent in the poll. */
  readonly reported: ReadonlySet<Placement>
  /** Request outcomes sent in the poll. */
  readonly blame: UnreportedOutcomes
  readonly parts: UnreportedParts
  readonly limits: ObservedLimits
  /** Loads sent in the poll. */
  readonly loads: ServerLoads
  /** Speeds sent in the poll. */
  readonly speeds: readonly SpeedEntry[] | undefined
  /** When the poll was sent, in ms of `TimerService.now`. */
  readonly sentAt: number
}

/** Confirmation by the leader that a table version was the newest. */
interface TableConfirmation {
  readonly version: number
  /** When the poll was sent, in ms of the clock that includes suspension (`promiseNow`). */
  readonly askedAt: number
}

/** Creates a client and starts polling. */
export function createFeedClient(options: FeedClientOptions): FeedClient {
  const { client, timers, logger } = options
  const stopping = new AbortController()
  const changes = new Subject<FleetView>()
  const replica = createFleetReplica(options)
  let unreportedPlacements: readonly Placement[] = []
  let confirmedAt = -Infinity
  /** When the poll of the reply that was applied last was sent, in ms of the same clock. */
  let appliedAt = -Infinity
  /** Confirmation of the version that is being fetched; takes effect once the router holds it. */
  let pendingConfirmation: TableConfirmation | undefined
  /** URL of the instance that answered last. */
  let leader: string | undefined

  /** Wait that a poll asks for; 0 while pages of the cache list remain, so that they follow without delay. */
  const findWaitMs = (url: string) => {
    if (url !== leader || replica.position().keptPosition.left > 0) return 0
    return Math.max(MIN_WAIT_MS, replica.countRouters() * WAIT_PER_ROUTER_MS)
  }
  const pollInstance = async (url: string, signal: AbortSignal): Promise<FeedAnswer> => {
    const askedAt = timers.promiseNow()
    unreportedPlacements = [...unreportedPlacements, ...options.takePlacements()].slice(
      -MAX_UNREPORTED_PLACEMENTS,
    )
    const placements = unreportedPlacements
    const position = replica.position()
    const blame = options.blame.listUnreported(position.term)
    const parts = options.parts.listUnreported(position.term)
    const limits = options.limits.listUnreported(position.term)
    const loads = options.listLoads()
    const sentAt = timers.now()
    const speeds = options.speeds?.listReports(sentAt)
    const request: FeedRequest = {
      router: options.router,
      ...position,
      peerUrl: options.peerUrl,
      isPeerDurable: options.isPeerDurable,
      blame: blame.report,
      parts: parts.report,
      limits: limits.reports,
      quotas: options.quotas.buildReport(askedAt),
      queues: options.buildQueueReport?.(),
      loads,
      demands: options.buildDemands?.(),
      placements,
      speeds,
      speedsSeen: speeds && (position.speedsSeen ?? 0),
      waitMs: findWaitMs(url),
    }
    const reply = await client.sendJson<FeedReply>({
      answer: 'feed',
      method: 'POST',
      url: `${url}${FEED_PATH}`,
      json: request,
      signal,
    })
    const reported = new Set(placements)
    return { reply, askedAt, sentAt, reported, blame, parts, limits, loads, speeds }
  }
  const emitView = () => {
    const view = replica.view()
    if (view) changes.next(view)
  }
  const applyConfirmation = (confirmation: TableConfirmation) => {
    if (replica.position().tableVersion < confirmation.version) {
      pendingConfirmation = confirmation
      return
    }
    // A delayed reply may arrive after the reply to a later poll.
    confirmedAt = Math.max(confirmedAt, confirmation.askedAt)
  }
  const listInstances = () => [...new Set([...replica.listControl(), ...options.seeds()])]
  const tableFetcher = createTableFetcher({
    listInstances,
    client,
    timers,
    random: options.random,
    logger,
    heldVersion: () => replica.position().tableVersion,
    onUpdate: (update) => {
      if (!replica.applyTable(update)) return false
      if (pendingConfirmation) applyConfirmation(pendingConfirmation)
      emitView()
      return true
    },
    stopping: stopping.signal,
  })
  const applyQuarantine = ({ reply, blame, parts }: FeedAnswer) => {
    options.blame.recordReported(blame, reply.term)
    options.parts.recordReported(parts, reply.term)
    if (reply.suspects) options.onSuspects(reply.suspects)
    if (reply.trial !== undefined) options.onTrial(reply.trial)
    if (reply.parts) options.parts.applyListed(reply.parts)
    if (reply.partTrial !== undefined) options.parts.grantTrial(reply.partTrial)
  }
  const applyAnswer = (answer: FeedAnswer) => {
    const { reply, askedAt, sentAt, reported, limits, loads } = answer
    const isChanged = replica.apply(reply, loads, sentAt)
    appliedAt = Math.max(appliedAt, askedAt)
    options.onPlacements(reply.placements)
    options.onCacheChanges(reply.kept)
    applyQuarantine(answer)
    if (limits.term === reply.term) options.limits.recordAcknowledged(limits)
    if (reply.limits) options.limits.applyUpdate(reply.limits, sentAt)
    const reportedSpeeds = { reported: answer.speeds ?? [], speeds: reply.speeds ?? [] }
    options.speeds?.applyReply({ ...reportedSpeeds, term: reply.term }, timers.now())
    if (reply.quotas) options.quotas.applyGrants(reply.quotas, askedAt)
    unreportedPlacements = unreportedPlacements.filter((placement) => !reported.has(placement))
    applyConfirmation({ version: reply.tableVersion, askedAt })
    tableFetcher.requestVersion(reply.tableVersion)
    if (isChanged) emitView()
    options.onLoads?.(reply.demands)
  }
  const search = createInstanceSearch({
    listInstances,
    send: pollInstance,
    timers,
    random: options.random,
    logger,
    logEvent: 'control.searching',
    describeState: () => ({
      tableVersion: replica.view()?.index.table.version,
      proofAgeMs: Math.round(timers.promiseNow() - confirmedAt),
      term: replica.position().term,
    }),
    stopping: stopping.signal,
  })
  const pollLeader = async (url: string) => {
    const answered = await search.requestFrom(url, findWaitMs(url) + ANSWER_TIMEOUT_MS)
    if (answered || stopping.signal.aborted) return answered
    const proofAgeMs = Math.round(timers.promiseNow() - confirmedAt)
    logger.warn('control.lost', { url, term: replica.position().term, proofAgeMs })
    leader = undefined
    return undefined
  }
  const followLeader = async () => {
    const polled = leader === undefined ? undefined : await pollLeader(leader)
    const found = polled ?? (await search.run())
    if (!found) return
    applyAnswer(found.answer)
    if (leader === found.url) return
    leader = found.url
    logger.info('control.regained', { url: leader, term: replica.position().term })
  }
  const run = async () => {
    while (!stopping.signal.aborted) {
      try {
        await followLeader()
      } catch (cause) {
        // Only an unreadable reply gets here: a table written for a newer version of this program.
        logger.error('feed.unreadable', { url: leader, reason: String(cause) })
        leader = undefined
        await waitFor(timers, UNREADABLE_PAUSE_MS, stopping.signal)
      }
    }
  }
  // The options of the first poll may refer to the client that is returned here.
  const running = Promise.resolve().then(run)
  return {
    current: replica.view,
    // Counts suspension: the table may have been replaced while this machine was suspended.
    proofAgeMs: () => timers.promiseNow() - confirmedAt,
    viewAgeMs: () => timers.promiseNow() - appliedAt,
    viewPosition: replica.position,
    listPeers: replica.listPeers,
    listDurablePeers: replica.listDurablePeers,
    isPeerListComplete: replica.isPeerListComplete,
    leaderUrl: () => leader,
    changes,
    close: async () => {
      stopping.abort()
      await running
      await tableFetcher.close()
      changes.complete()
    },
  }
}
