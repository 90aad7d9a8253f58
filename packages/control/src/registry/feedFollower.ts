/**
 * A router's side of the feed: one task that polls the leader, finds it again when it changes, and
 * keeps the newest routing table, weights and servers. What it holds never goes back to an older
 * version, and it knows how old the proof is that it holds the newest.
 */
import {
  createTimeLimit,
  toSpoolgateError,
  waitFor,
  type BackendServerId,
  type HttpClient,
  type Logger,
  type TimerService,
} from '@spoolgate/core'
import { buildTableIndex, type RoutingTable, type TableIndex } from '@spoolgate/routing'
import { Subject, type Observable } from 'rxjs'
import { findLeaderUrl } from '../group/groupKeeper.js'
import type { RegisteredServer } from '../state/serverState.js'
import {
  FEED_PATH,
  type FeedReply,
  type FeedRequest,
  type KeptPlacement,
  type Placement,
  type ServerConditions,
  type ServerLoads,
  type StoreLife,
} from './feed.js'

/** Options of {@link createFeedFollower}. */
export interface FeedFollowerOptions {
  /** Name under which control counts this router. */
  readonly router: string
  /** URLs of the control instances to start from; read again whenever no other answers. */
  readonly seeds: () => readonly string[]
  readonly client: HttpClient
  readonly timers: TimerService
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
/** Time beyond the wait after which an instance counts as not answering, in ms. */
const ANSWER_MS = 500
/** Longest wait for an answer while the leader is searched, in ms. */
const SEARCH_MS = 350
/** Pause after every known instance was asked in vain, in ms. */
const PAUSE_MS = 60

const NO_VERSION = -1

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
    rebuildView()
    options.onPlacements(reply.placements)
    options.onKept(reply.kept)
    if (isChanged && view) changes.next(view)
  }
  const askInstance = async (url: string, waitMs: number, answerMs: number) => {
    const sentAt = timers.now()
    const request: FeedRequest = {
      router: options.router,
      tableVersion: index?.table.version ?? NO_VERSION,
      term,
      revision,
      loads: options.listLoads(),
      placements: options.takePlacements(),
      placementsSeen,
      keptSeen,
      waitMs,
    }
    const limit = createTimeLimit(timers, waitMs + answerMs, [stopping.signal])
    const reply = await client
      .sendJson<FeedReply>({
        method: 'POST',
        url: `${url}${FEED_PATH}`,
        json: request,
        signal: limit.signal,
      })
      .finally(limit.close)
    applyReply(reply)
    provenAt = sentAt
    if (leader === url) return
    leader = url
    logger.info('control.regained', { url, term })
  }
  /** Asks each known instance in turn, and whoever it names as leader. */
  const findLeader = async () => {
    const targets = [...new Set([...control, ...options.seeds()])]
    for (let turn = 0; turn < targets.length && !stopping.signal.aborted; turn += 1) {
      try {
        return await askInstance(targets[turn], 0, SEARCH_MS)
      } catch (cause) {
        const named = findLeaderUrl(cause)
        if (named && !targets.slice(0, turn + 1).includes(named)) {
          targets.splice(turn + 1, 0, named)
        }
      }
    }
    await waitFor(timers, PAUSE_MS, stopping.signal)
  }
  const run = async () => {
    while (!stopping.signal.aborted) {
      if (leader === undefined) {
        await findLeader()
        continue
      }
      try {
        await askInstance(leader, Math.max(WAIT_MS, routers * WAIT_PER_ROUTER_MS), ANSWER_MS)
      } catch (cause) {
        if (stopping.signal.aborted) break
        const reason = toSpoolgateError(cause).message
        logger.warn('control.lost', { url: leader, reason, proofAgeMs: timers.now() - provenAt })
        leader = undefined
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
