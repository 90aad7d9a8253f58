/**
 * A router's side of the feed: one task that polls the leader, finds it again when it changes, and
 * keeps the newest routing table, weights and servers. What it holds never goes back to an older
 * version, and it knows how old the proof is that it holds the newest.
 */
import {
  waitFor,
  type BackendServerId,
  type HttpClient,
  type Logger,
  type RandomSource,
  type TimerService,
} from '@spoolgate/core'
import { buildTableIndex, type RoutingTable, type TableIndex } from '@spoolgate/routing'
import { Subject, type Observable } from 'rxjs'
import type { RegisteredServer } from '../state/serverState.js'
import {
  FEED_PATH,
  type FeedReply,
  type FeedRequest,
  type KeptPlacement,
  type KeptPosition,
  type Placement,
  type ServerConditions,
  type ServerLoads,
  type StoreLife,
} from './feed.js'
import { createLeaderSearch } from './leaderSearch.js'

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
  /** Called with what engines and stores say that they keep. */
  readonly onKept: (placements: readonly KeptPlacement[]) => void
}

/** What a router knows of the fleet. */
export interface FleetView {
  readonly index: TableIndex
  readonly weights: Readonly<Record<string, number>>
  /** When this router learned of each model's wanted weights, in ms of its monotonic clock. */
  readonly weightsSince: Readonly<Record<string, number>>
  readonly servers: ReadonlyMap<BackendServerId, RegisteredServer>
  /** Servers that are loading weights, or about to. */
  readonly loading: ReadonlySet<BackendServerId>
  /** Servers whose weights are so old that nothing may begin on them any more. */
  readonly expired: ReadonlySet<BackendServerId>
  /** Servers that missed their last heartbeats. */
  readonly silent: ReadonlySet<BackendServerId>
  /** Stores of KV cache that answer. */
  readonly stores: readonly StoreLife[]
  /** Routers that control heard of lately, this one included. */
  readonly routers: number
  /** What the other routers have in progress, as of the last poll. */
  readonly loads: ServerLoads
}

/** A follower of the feed. */
export interface FeedFollower {
  /** Undefined before the first table was fetched. */
  current(): FleetView | undefined
  /** Ms since this router last asked and was told that it holds the newest; Infinity for never. */
  proofAgeMs(): number
  /** Emits after each change of the table, the weights or the servers. */
  readonly changes: Observable<FleetView>
  close(): Promise<void>
}

/**
 * Wait that a poll asks for, in ms: what routers know of each other's calls is about this old. With
 * 400 ms they sent ten requests at once to the engine that looked free, on a quiet day.
 */
const WAIT_MS = 100
/** Added for each router, in ms, so that the leader answers 80 polls a second at most. */
const WAIT_PER_ROUTER_MS = 12
/** Silence beyond the wait after which other instances are asked as well, in ms. */
const ANSWER_MS = 500
/** Pause after an answer that cannot be read, in ms: the next will most likely be like it. */
const UNREADABLE_PAUSE_MS = 500
/** Placements that are kept until a leader has taken them; more than one poll brings. */
const MAX_UNTOLD = 200

const NO_VERSION = -1
const NOTHING_KEPT: KeptPosition = { after: '', left: 0 }

/** A reply with the facts of its ask. */
interface FeedAnswer {
  readonly reply: FeedReply
  /** When it was asked for, in ms of the monotonic clock. */
  readonly askedAt: number
  /** Placements that the leader was told with it. */
  readonly told: ReadonlySet<Placement>
}

type ConditionSets = Pick<FleetView, 'loading' | 'expired' | 'silent' | 'stores'>

const NO_CONDITIONS: ConditionSets = {
  loading: new Set(),
  expired: new Set(),
  silent: new Set(),
  stores: [],
}

function toSets(conditions: ServerConditions): ConditionSets {
  return {
    loading: new Set(conditions.loading),
    expired: new Set(conditions.expired),
    silent: new Set(conditions.silent),
    stores: conditions.stores,
  }
}

/** Creates a follower and starts its task. */
export function createFeedFollower(options: FeedFollowerOptions): FeedFollower {
  const { client, timers, logger } = options
  const stopping = new AbortController()
  const changes = new Subject<FleetView>()
  let index: TableIndex | undefined
  let weights: Readonly<Record<string, number>> = {}
  let weightsSince: Readonly<Record<string, number>> = {}
  let servers: ReadonlyMap<BackendServerId, RegisteredServer> = new Map()
  let conditions = NO_CONDITIONS
  let control: readonly string[] = []
  let routers = 1
  let loads: ServerLoads = {}
  let term = NO_VERSION
  let revision = NO_VERSION
  let placementsSeen = 0
  let keptSeen = 0
  let keptPosition = NOTHING_KEPT
  let untold: readonly Placement[] = []
  let provenAt = -Infinity
  let view: FleetView | undefined
  /** Instance that answered last. */
  let leader: string | undefined

  const rebuildView = () => {
    if (!index) return
    view = { index, weights, weightsSince, servers, ...conditions, routers, loads }
  }
  const applyTable = (table: NonNullable<FeedReply['table']>) => {
    if (index && table.version <= index.table.version) return
    index = buildTableIndex(options.decodeTable(table.document))
    logger.info('table.inForce', { version: table.version, routes: index.table.routes.length })
  }
  const applyWeights = (next: Readonly<Record<string, number>>) => {
    const changed = Object.keys(next).filter((model) => next[model] !== weights[model])
    // Nobody knows for how long the first ones that a router hears of have been wanted.
    const isFirst = Object.keys(weights).length === 0
    const at = isFirst ? -Infinity : timers.now()
    weightsSince = { ...weightsSince, ...Object.fromEntries(changed.map((model) => [model, at])) }
    weights = next
  }
  const applyReply = (reply: FeedReply) => {
    const isChanged = reply.table !== undefined || reply.servers !== undefined
    if (reply.table) applyTable(reply.table)
    if (reply.servers) servers = new Map(reply.servers.map((server) => [server.id, server]))
    if (reply.conditions) conditions = toSets(reply.conditions)
    applyWeights(reply.weights ?? weights)
    control = reply.control ?? control
    routers = Math.max(1, reply.routers)
    loads = reply.loads
    term = reply.term
    revision = reply.revision
    placementsSeen = reply.placementsSeen
    keptSeen = reply.keptSeen
    keptPosition = reply.keptPosition
    rebuildView()
    options.onPlacements(reply.placements)
    options.onKept(reply.kept)
    if (isChanged && view) changes.next(view)
  }
  /** Wait that a poll asks for; what is kept comes in pieces, one right after the other. */
  const findWaitMs = (url: string) => {
    if (url !== leader || keptPosition.left > 0) return 0
    return Math.max(WAIT_MS, routers * WAIT_PER_ROUTER_MS)
  }
  const askInstance = async (url: string, signal: AbortSignal): Promise<FeedAnswer> => {
    const askedAt = timers.now()
    untold = [...untold, ...options.takePlacements()].slice(-MAX_UNTOLD)
    const placements = untold
    const request: FeedRequest = {
      router: options.router,
      tableVersion: index?.table.version ?? NO_VERSION,
      term,
      revision,
      loads: options.listLoads(),
      placements,
      placementsSeen,
      keptSeen,
      keptPosition,
      waitMs: findWaitMs(url),
    }
    const reply = await client.sendJson<FeedReply>({
      method: 'POST',
      url: `${url}${FEED_PATH}`,
      json: request,
      signal,
    })
    return { reply, askedAt, told: new Set(placements) }
  }
  const applyAnswer = ({ reply, askedAt, told }: FeedAnswer) => {
    applyReply(reply)
    untold = untold.filter((placement) => !told.has(placement))
    // An ask that was silent for a while may be answered after a younger one.
    provenAt = Math.max(provenAt, askedAt)
  }
  const search = createLeaderSearch({
    listInstances: () => [...new Set([...control, ...options.seeds()])],
    ask: askInstance,
    timers,
    random: options.random,
    logger,
    listState: () => ({
      tableVersion: index?.table.version,
      proofAgeMs: Math.round(timers.now() - provenAt),
      term,
    }),
    stopping: stopping.signal,
  })
  const pollLeader = async (url: string) => {
    const answered = await search.askFirst(url, findWaitMs(url) + ANSWER_MS)
    if (answered || stopping.signal.aborted) return answered
    logger.warn('control.lost', { url, term, proofAgeMs: Math.round(timers.now() - provenAt) })
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
    logger.info('control.regained', { url: leader, term })
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
    current: () => view,
    proofAgeMs: () => timers.now() - provenAt,
    changes,
    close: async () => {
      stopping.abort()
      await running
      changes.complete()
    },
  }
}
