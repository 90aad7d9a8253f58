/**
 * A router's side of the feed: one task that polls the leader, finds it again when it changes, and
 * keeps what it receives. It knows how old the proof is that it holds the newest.
 */
import {
  waitFor,
  type HttpClient,
  type Logger,
  type RandomSource,
  type RequestFingerprint,
  type TimerService,
} from '@spoolgate/core'
import type { RoutingTable } from '@spoolgate/routing'
import { Subject, type Observable } from 'rxjs'
import type { CrashReportBuffer, UnreportedOutcomes } from '../quarantine/crashReportBuffer.js'
import type { SuspectedRequest } from '../quarantine/crashReport.js'
import {
  FEED_PATH,
  type FeedReply,
  type FeedRequest,
  type KeptPlacement,
  type LimitReport,
  type LimitsUpdate,
  type Placement,
  type ServerLoads,
} from './feed.js'
import { createHeldFleet, type FleetView } from './heldFleet.js'
import { createInstanceSearch } from './instanceSearch.js'
import type { QuotaGrants, QuotaReport } from './quotaProtocol.js'
import { createTableFetch } from './tableFetch.js'

/** Options of {@link createFeedFollower}. */
export interface FeedFollowerOptions {
  /** Name under which control counts this router. */
  readonly router: string
  /** URLs of the control instances to start from; read again whenever no other answers. */
  readonly seeds: () => readonly string[]
  readonly client: HttpClient
  readonly timers: TimerService
  readonly random: RandomSource
  readonly logger: Logger
  /** Decodes the operators' document; throws for one that this version cannot read. */
  readonly decodeTable: (document: string) => RoutingTable
  /** What this router has in progress. */
  readonly listLoads: () => ServerLoads
  /** Takes what this router placed since it was last asked. */
  readonly takePlacements: () => Placement[]
  /** Called with what other routers placed. */
  readonly onPlacements: (placements: readonly Placement[]) => void
  /** What this router knows of requests under which servers ended. */
  readonly blame: Pick<CrashReportBuffer, 'listUnreported' | 'recordReported'>
  /** Limits of servers that this router observed. */
  readonly limits: LimitRecord
  /** What this router uses of the teams' limits. */
  readonly quotas: QuotaRecord
  /** Called with all requests that are suspected or in quarantine, after each change. */
  readonly onSuspects: (suspects: readonly SuspectedRequest[]) => void
  /** Called with a request in quarantine that this router may send once. */
  readonly onTrial: (request: RequestFingerprint) => void
  /** Called with what engines and stores say that they keep. */
  readonly onKept: (placements: readonly KeptPlacement[]) => void
}

/** Limits that this router observed, until the leader has acknowledged them. */
export interface LimitRecord {
  listUnreported(term: number): ObservedLimits
  recordAcknowledged(observed: ObservedLimits): void
  /** Called with the limits that the leader knows; `askedAt` is the poll's instant, in ms of the steady clock. */
  applyUpdate(update: LimitsUpdate, askedAt: number): void
}

/** Use of the teams' limits by this router. Instants are in ms of the clock for promises. */
export interface QuotaRecord {
  buildReport(now: number): QuotaReport
  applyGrants(grants: QuotaGrants, askedAt: number): void
}

/** Limits that one report holds. */
export interface ObservedLimits {
  readonly term: number
  readonly reports: readonly LimitReport[]
}

/** A follower of the feed. */
export interface FeedFollower {
  /** Undefined before the first table was fetched. */
  current(): FleetView | undefined
  /** Ms since this router last polled and had confirmed that it holds the newest; Infinity for never. */
  proofAgeMs(): number
  /** URL of the instance that answered last; undefined while none does. */
  leaderUrl(): string | undefined
  /** Emits after each change of the table, the weights or the servers. */
  readonly changes: Observable<FleetView>
  close(): Promise<void>
}

/** Wait that a poll asks for, in ms: the age of what routers know of each other's calls. */
const WAIT_MS = 100
/** Wait added for each router, in ms: it bounds the polls that the leader answers. */
const WAIT_PER_ROUTER_MS = 2
/** Silence beyond the wait after which other instances are asked as well, in ms. */
const ANSWER_MS = 500
/** Pause after an answer that cannot be read, in ms: the next will most likely be like it. */
const UNREADABLE_PAUSE_MS = 500
/** Placements that are kept until a leader has taken them; more than one poll brings. */
const MAX_UNREPORTED = 200

/** A reply with the facts of its ask. */
interface FeedAnswer {
  readonly reply: FeedReply
  /** When it was asked for, in ms of the monotonic clock. */
  readonly askedAt: number
  /** Placements that were reported with it. */
  readonly reported: ReadonlySet<Placement>
  /** What was reported of requests. */
  readonly blame: UnreportedOutcomes
  readonly limits: ObservedLimits
  /** When it was asked for, in ms of the steady clock. */
  readonly sentAt: number
}

/** Statement of the leader that a version was the newest. */
interface TableProof {
  readonly version: number
  /** When the router asked, in ms of the clock for promises. */
  readonly askedAt: number
}

/** Creates a follower and starts its task. */
export function createFeedFollower(options: FeedFollowerOptions): FeedFollower {
  const { client, timers, logger } = options
  const stopping = new AbortController()
  const changes = new Subject<FleetView>()
  const held = createHeldFleet(options)
  let unreported: readonly Placement[] = []
  let provenAt = -Infinity
  /** What proves the version that the router is fetching, once it holds that. */
  let comingProof: TableProof | undefined
  /** Instance that answered last. */
  let leader: string | undefined

  /** Wait that a poll asks for; what is kept comes in pieces, one right after the other. */
  const findWaitMs = (url: string) => {
    if (url !== leader || held.position().keptPosition.left > 0) return 0
    return Math.max(WAIT_MS, held.countRouters() * WAIT_PER_ROUTER_MS)
  }
  const askInstance = async (url: string, signal: AbortSignal): Promise<FeedAnswer> => {
    const askedAt = timers.promiseNow()
    unreported = [...unreported, ...options.takePlacements()].slice(-MAX_UNREPORTED)
    const placements = unreported
    const position = held.position()
    const blame = options.blame.listUnreported(position.term)
    const limits = options.limits.listUnreported(position.term)
    const sentAt = timers.now()
    const request: FeedRequest = {
      router: options.router,
      ...position,
      blame: blame.report,
      limits: limits.reports,
      quotas: options.quotas.buildReport(askedAt),
      loads: options.listLoads(),
      placements,
      waitMs: findWaitMs(url),
    }
    const reply = await client.sendJson<FeedReply>({
      method: 'POST',
      url: `${url}${FEED_PATH}`,
      json: request,
      signal,
    })
    return { reply, askedAt, sentAt, reported: new Set(placements), blame, limits }
  }
  const announce = () => {
    const view = held.view()
    if (view) changes.next(view)
  }
  const recordProof = (proof: TableProof) => {
    if (held.position().tableVersion < proof.version) {
      comingProof = proof
      return
    }
    // An ask that was silent for a while may be answered after a younger one.
    provenAt = Math.max(provenAt, proof.askedAt)
  }
  const listInstances = () => [...new Set([...held.listControl(), ...options.seeds()])]
  const tables = createTableFetch({
    listInstances,
    client,
    timers,
    random: options.random,
    logger,
    heldVersion: () => held.position().tableVersion,
    onUpdate: (update) => {
      if (!held.applyTable(update)) return false
      if (comingProof) recordProof(comingProof)
      announce()
      return true
    },
    stopping: stopping.signal,
  })
  const applyAnswer = ({ reply, askedAt, sentAt, reported, blame, limits }: FeedAnswer) => {
    const isChanged = held.apply(reply)
    options.onPlacements(reply.placements)
    options.onKept(reply.kept)
    options.blame.recordReported(blame, reply.term)
    if (limits.term === reply.term) options.limits.recordAcknowledged(limits)
    if (reply.limits) options.limits.applyUpdate(reply.limits, sentAt)
    if (reply.quotas) options.quotas.applyGrants(reply.quotas, askedAt)
    if (reply.suspects) options.onSuspects(reply.suspects)
    if (reply.trial !== undefined) options.onTrial(reply.trial)
    unreported = unreported.filter((placement) => !reported.has(placement))
    recordProof({ version: reply.tableVersion, askedAt })
    tables.want(reply.tableVersion)
    if (isChanged) announce()
  }
  const search = createInstanceSearch({
    listInstances,
    send: askInstance,
    timers,
    random: options.random,
    logger,
    logEvent: 'control.searching',
    describeState: () => ({
      tableVersion: held.view()?.index.table.version,
      proofAgeMs: Math.round(timers.promiseNow() - provenAt),
      term: held.position().term,
    }),
    stopping: stopping.signal,
  })
  const pollLeader = async (url: string) => {
    const answered = await search.requestFrom(url, findWaitMs(url) + ANSWER_MS)
    if (answered || stopping.signal.aborted) return answered
    const proofAgeMs = Math.round(timers.promiseNow() - provenAt)
    logger.warn('control.lost', { url, term: held.position().term, proofAgeMs })
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
    logger.info('control.regained', { url: leader, term: held.position().term })
  }
  const run = async () => {
    while (!stopping.signal.aborted) {
      try {
        await followLeader()
      } catch (cause) {
        // Only what cannot be read comes here: a table of a newer version of this program.
        logger.error('feed.unreadable', { url: leader, reason: String(cause) })
        leader = undefined
        await waitFor(timers, UNREADABLE_PAUSE_MS, stopping.signal)
      }
    }
  }
  const running = run()
  return {
    current: held.view,
    // What is held may have been replaced while this machine was suspended.
    proofAgeMs: () => timers.promiseNow() - provenAt,
    leaderUrl: () => leader,
    changes,
    close: async () => {
      stopping.abort()
      await running
      await tables.close()
      changes.complete()
    },
  }
}
