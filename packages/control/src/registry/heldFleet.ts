/**
 * What a router holds of the fleet, as the feed reported it: routing table, weights, servers and their
 * conditions, and where the router stands in the feed. A table never goes back to an older version.
 */
import type { BackendServerId, Logger, TimerService } from '@spoolgate/core'
import { buildTableIndex, type RoutingTable, type TableIndex } from '@spoolgate/routing'
import {
  applyTableUpdate,
  measureUpdate,
  NO_TABLE_VERSION,
  type HeldTable,
  type TableUpdate,
} from '../table/tableUpdate.js'
import type { RegisteredServer } from '../state/serverState.js'
import type { ServersUpdate } from './serverChanges.js'
import type {
  FeedReply,
  FeedRequest,
  KeptPosition,
  ServerConditions,
  ServerLoads,
  StoreLife,
} from './feed.js'

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
  /** Routers that polled control lately, this one included. */
  readonly routers: number
  /** What the other routers have in progress, as of the last poll. */
  readonly loads: ServerLoads
}

/** Where a router stands in the feed. */
export type FeedPosition = Pick<
  FeedRequest,
  | 'tableVersion'
  | 'tableReported'
  | 'term'
  | 'revision'
  | 'placementsSeen'
  | 'keptSeen'
  | 'keptPosition'
  | 'suspectsSeen'
  | 'limitsSeen'
>

/** Options of {@link createHeldFleet}. */
export interface HeldFleetOptions {
  readonly timers: TimerService
  readonly logger: Logger
  /** Decodes the operators' document; throws for one that this version cannot read. */
  readonly decodeTable: (document: string) => RoutingTable
}

/** What a router holds; see {@link createHeldFleet}. */
export interface HeldFleet {
  /** Undefined before the first table. */
  view(): FleetView | undefined
  position(): FeedPosition
  /** URLs of the control instances; none before the first reply. */
  listControl(): readonly string[]
  /** Routers that polled control lately, this one included. */
  countRouters(): number
  /**
   * Takes over a reply; true when table, weights or servers came with it.
   * @throws what `decodeTable` throws; nothing of the reply is taken over then.
   */
  apply(reply: FeedReply): boolean
  /**
   * Takes over an update of the table; true when it led to a newer version, false when it does not fit.
   * @throws what `decodeTable` throws; the table stays as it was then.
   */
  applyTable(update: TableUpdate): boolean
}

const NO_VERSION = -1
const NOTHING_KEPT: KeptPosition = { after: '', left: 0 }

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

/** Creates what a router holds at its start: nothing. */
export function createHeldFleet({ timers, logger, decodeTable }: HeldFleetOptions): HeldFleet {
  let held: HeldTable | undefined
  let index: TableIndex | undefined
  let weights: Readonly<Record<string, number>> = {}
  let weightsSince: Readonly<Record<string, number>> = {}
  let servers: ReadonlyMap<BackendServerId, RegisteredServer> = new Map()
  let conditions = NO_CONDITIONS
  let control: readonly string[] = []
  let routers = 1
  let loads: ServerLoads = {}
  let view: FleetView | undefined
  let position: FeedPosition = {
    tableVersion: NO_TABLE_VERSION,
    tableReported: NO_TABLE_VERSION,
    term: NO_VERSION,
    revision: NO_VERSION,
    placementsSeen: 0,
    keptSeen: 0,
    keptPosition: NOTHING_KEPT,
  }

  const installTable = (update: TableUpdate) => {
    if (held && update.version <= held.version) return false
    const startedAt = timers.now()
    const next = applyTableUpdate(held, update)
    if (!next) return false
    index = buildTableIndex(decodeTable(next.document))
    held = next
    logger.info('table.inForce', {
      version: next.version,
      routes: index.table.routes.length,
      base: update.base,
      bytes: measureUpdate(update),
      ms: Math.round(timers.now() - startedAt),
    })
    return true
  }
  /** False when the news belong to another revision than the one held: then all servers are asked for. */
  const applyServers = ({ since, changed, gone }: ServersUpdate) => {
    if (since !== null && since !== position.revision) return false
    const next = new Map(since === null ? [] : servers)
    for (const id of gone) next.delete(id)
    for (const server of changed) next.set(server.id, server)
    servers = next
    return true
  }
  const applyWeights = (next: Readonly<Record<string, number>>) => {
    const changed = Object.keys(next).filter((model) => next[model] !== weights[model])
    // Nobody knows for how long the first ones that a router learns of have been wanted.
    const isFirst = Object.keys(weights).length === 0
    const at = isFirst ? -Infinity : timers.now()
    weightsSince = { ...weightsSince, ...Object.fromEntries(changed.map((model) => [model, at])) }
    weights = next
  }
  const buildView = () => {
    if (index) view = { index, weights, weightsSince, servers, ...conditions, routers, loads }
  }
  return {
    view: () => view,
    position: () => position,
    listControl: () => control,
    countRouters: () => routers,
    applyTable: (update) => {
      if (!installTable(update)) return false
      position = { ...position, tableVersion: update.version }
      buildView()
      return true
    },
    apply: (reply) => {
      const isTableNew = reply.tableUpdate !== undefined && installTable(reply.tableUpdate)
      const isServersKnown = !reply.servers || applyServers(reply.servers)
      if (reply.conditions) conditions = toSets(reply.conditions)
      applyWeights(reply.weights ?? weights)
      control = reply.control ?? control
      routers = Math.max(1, reply.routers)
      loads = reply.loads
      const { term, revision, placementsSeen, keptSeen, keptPosition, suspectsSeen, limitsSeen } =
        reply
      position = {
        tableVersion: held?.version ?? NO_TABLE_VERSION,
        tableReported: Math.max(position.tableReported, reply.tableVersion),
        term,
        revision: isServersKnown ? revision : NO_VERSION,
        placementsSeen,
        keptSeen,
        keptPosition,
        suspectsSeen,
        limitsSeen,
      }
      buildView()
      return isTableNew || reply.servers !== undefined
    },
  }
}
