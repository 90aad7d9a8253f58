/**
 * A router's replica of the fleet state received over the feed: routing table, weights, servers and their conditions,
 * and the router's position in the feed. The table never reverts to an older version.
 */
import type { BackendServerId, Logger, TimerService } from '@spoolgate/core'
import { buildTableIndex, type RoutingTable, type TableIndex } from '@spoolgate/routing'
import {
  applyTableUpdate,
  measureUpdate,
  NO_TABLE_VERSION,
  type VersionedTable,
  type TableUpdate,
} from '../table/tableUpdate.js'
import type { RegisteredServer } from '../state/serverState.js'
import { createLoadsReplica, NO_LOADS } from './loadsUpdate.js'
import type { GroupVersions } from '../state/softwareVersionState.js'
import type { ServersUpdate } from './serverChanges.js'
import { createWeightsHistory, type VersionTimes } from './weightsHistory.js'
import type {
  FeedReply,
  FeedRequest,
  CacheListCursor,
  ServerConditions,
  PeersUpdate,
  ServerLoads,
  ReachableStore,
  VersionsUpdate,
} from './feed.js'

/** Fleet state as seen by a router. */
export interface FleetView {
  readonly index: TableIndex
  readonly weights: Readonly<Record<string, number>>
  /** When this router received each model's target weights, in ms of its monotonic clock. */
  readonly weightsSince: Readonly<Record<string, number>>
  /** When each version of the weights became the target, in ms of the same clock; never later than it did. */
  readonly versionTimes: VersionTimes
  readonly servers: ReadonlyMap<BackendServerId, RegisteredServer>
  /** Software versions of the groups; streams may be left that any of them began. */
  readonly softwareVersions: GroupVersions
  /** Servers that are loading weights or about to load them. */
  readonly loading: ReadonlySet<BackendServerId>
  /** Servers whose weights are too old for new calls. */
  readonly expired: ReadonlySet<BackendServerId>
  /** Servers that missed their most recent heartbeats. */
  readonly silent: ReadonlySet<BackendServerId>
  /** KV cache stores that respond. */
  readonly stores: readonly ReachableStore[]
  /** Number of routers that polled control recently, including this one. */
  readonly routers: number
  /** Load that the other routers had in progress at the last poll. */
  readonly loads: ServerLoads
}

const NO_URLS: readonly string[] = []

/** A router's position in the feed: versions, revisions and cursors of what it has received. */
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
  | 'partsSeen'
  | 'limitsSeen'
  | 'loadsSeen'
  | 'speedsSeen'
  | 'versionsSeen'
  | 'peersSeen'
>

/** Options of {@link createFleetReplica}. */
export interface FleetReplicaOptions {
  readonly timers: TimerService
  readonly logger: Logger
  /** Decodes the operators' document; throws if this version cannot read it. */
  readonly decodeTable: (document: string) => RoutingTable
}

/** See {@link createFleetReplica}. */
export interface FleetReplica {
  /** Current view; undefined before the first table. */
  view(): FleetView | undefined
  position(): FeedPosition
  /** URLs of the control instances; empty before the first reply. */
  listControl(): readonly string[]
  /** Number of routers that polled control recently, including this one. */
  countRouters(): number
  /** Addresses at which routers exchange the records of their streams; empty until they are needed. */
  listPeers(): readonly string[]
  /** Those of them that keep records on a disk. */
  listDurablePeers(): readonly string[]
  /** Whether these lists came from a leader that has led for long enough to know all routers. */
  isPeerListComplete(): boolean
  /**
   * Applies a reply; true if it contained a new table, weights, servers, software versions or peers.
   * @param sentLoads loads of this router in the poll of the reply
   * @param sentAt when that poll was sent, in ms of `TimerService.now`
   * @throws what `decodeTable` throws; the reply is then not applied at all.
   */
  apply(reply: FeedReply, sentLoads: ServerLoads, sentAt: number): boolean
  /**
   * Applies a table update; true if it installed a newer version, false if it does not apply.
   * @throws what `decodeTable` throws; the table is then unchanged.
   */
  applyTable(update: TableUpdate): boolean
}

const NO_VERSION = -1
const EMPTY_LIST: CacheListCursor = { after: '', left: 0 }

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

/** Creates an empty replica. */
export function createFleetReplica({
  timers,
  logger,
  decodeTable,
}: FleetReplicaOptions): FleetReplica {
  let heldTable: VersionedTable | undefined
  let index: TableIndex | undefined
  let weights: Readonly<Record<string, number>> = {}
  let weightsSince: Readonly<Record<string, number>> = {}
  let servers: ReadonlyMap<BackendServerId, RegisteredServer> = new Map()
  let conditions = NO_CONDITIONS
  let control: readonly string[] = []
  let routers = 1
  let peers: PeersUpdate = { isComplete: false, urls: [] }
  let versions: VersionsUpdate = { revision: NO_VERSION, groups: {} }
  let loads: ServerLoads = {}
  const loadsReplica = createLoadsReplica()
  const weightsHistory = createWeightsHistory(timers)
  let view: FleetView | undefined
  let position: FeedPosition = {
    tableVersion: NO_TABLE_VERSION,
    tableReported: NO_TABLE_VERSION,
    term: NO_VERSION,
    revision: NO_VERSION,
    placementsSeen: 0,
    keptSeen: 0,
    keptPosition: EMPTY_LIST,
    loadsSeen: NO_LOADS,
    versionsSeen: NO_VERSION,
  }

  const installTable = (update: TableUpdate) => {
    if (heldTable && update.version <= heldTable.version) return false
    const startedAt = timers.now()
    const next = applyTableUpdate(heldTable, update)
    if (!next) return false
    index = buildTableIndex(decodeTable(next.document), next.sharedSince)
    heldTable = next
    logger.info('table.inForce', {
      version: next.version,
      sharedSince: next.sharedSince,
      routes: index.table.routes.length,
      base: update.base,
      bytes: measureUpdate(update),
      ms: Math.round(timers.now() - startedAt),
    })
    return true
  }
  /** Returns false if the changes are based on another revision; all servers are then requested. */
  const applyServers = ({ since, changed, gone }: ServersUpdate) => {
    if (since !== null && since !== position.revision) return false
    const next = new Map(since === null ? [] : servers)
    for (const id of gone) next.delete(id)
    for (const server of changed) next.set(server.id, server)
    servers = next
    return true
  }
  const applyWeights = (reply: FeedReply, sentAt: number) => {
    const { weights: next, weightAges = {}, heldMs = 0 } = reply
    if (!next) return
    const changed = Object.keys(next).filter((model) => next[model] !== weights[model])
    // For the first weights that a router receives, the time since they became the target is unknown.
    const isFirst = Object.keys(weights).length === 0
    const at = isFirst ? -Infinity : timers.now()
    weightsSince = { ...weightsSince, ...Object.fromEntries(changed.map((model) => [model, at])) }
    weights = next
    weightsHistory.record(weights, timers.now())
    // The leader stated the ages after it had held the poll; any other delay may have come later.
    weightsHistory.recordAges(weightAges, sentAt + heldMs)
  }
  /** A delayed reply of the same term may have an older list. */
  const applyVersions = ({ versions: next, term }: FeedReply) => {
    if (!next) return
    if (term > position.term || next.revision > versions.revision) versions = next
  }
  /** A new leader does not know all routers yet. */
  const applyPeers = ({ peers: next }: FeedReply) => {
    if (next && (next.isComplete || !peers.isComplete)) peers = next
  }
  const buildView = () => {
    if (!index) return
    const versionTimes = weightsHistory.times()
    const softwareVersions = versions.groups
    const known = { index, weights, weightsSince, versionTimes, servers, softwareVersions }
    view = { ...known, ...conditions, routers, loads }
  }
  return {
    view: () => view,
    position: () => position,
    listControl: () => control,
    countRouters: () => routers,
    listPeers: () => peers.urls,
    listDurablePeers: () => peers.durableUrls ?? NO_URLS,
    isPeerListComplete: () => peers.isComplete,
    applyTable: (update) => {
      if (!installTable(update)) return false
      position = { ...position, tableVersion: update.version }
      buildView()
      return true
    },
    apply: (reply, sentLoads, sentAt) => {
      const isTableNew = reply.tableUpdate !== undefined && installTable(reply.tableUpdate)
      const isServersKnown = !reply.servers || applyServers(reply.servers)
      if (reply.conditions) conditions = toSets(reply.conditions)
      applyWeights(reply, sentAt)
      applyVersions(reply)
      applyPeers(reply)
      control = reply.control ?? control
      routers = Math.max(1, reply.routers)
      const { loadsUpdate } = reply
      loads = loadsUpdate ? (loadsReplica.apply(loadsUpdate, sentLoads) ?? loads) : reply.loads
      const {
        term,
        revision,
        placementsSeen,
        keptSeen,
        keptPosition,
        suspectsSeen,
        partsSeen,
        limitsSeen,
        speedsSeen,
        peersSeen,
      } = reply
      position = {
        tableVersion: heldTable?.version ?? NO_TABLE_VERSION,
        tableReported: Math.max(position.tableReported, reply.tableVersion),
        term,
        revision: isServersKnown ? revision : NO_VERSION,
        placementsSeen,
        keptSeen,
        keptPosition,
        suspectsSeen,
        partsSeen,
        limitsSeen,
        loadsSeen: loadsReplica.cursor(),
        speedsSeen,
        versionsSeen: versions.revision,
        peersSeen,
      }
      buildView()
      const { servers: newServers, versions: newVersions, peers: newPeers } = reply
      return isTableNew || [newServers, newVersions, newPeers].some((news) => news !== undefined)
    },
  }
}
