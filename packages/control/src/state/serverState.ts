/**
 * Replicated registry of backend servers that registered themselves. It holds only what routers need; the time of a
 * server's last heartbeat is soft state of the leader.
 */
import {
  removeOldest,
  toBackendServerId,
  toSoftwareVersion,
  type BackendServerId,
  type ServerName,
  type SoftwareVersion,
} from '@spoolgate/core'

/** Lifecycle phase of one incarnation of a backend server; it only advances. */
export type ServerPhase = 'ready' | 'draining' | 'gone'

/** Phase of an incarnation that departs. */
export type DeparturePhase = Exclude<ServerPhase, 'ready'>

/** Weights loaded by a backend server. */
export interface LoadedWeights {
  readonly model: string
  readonly version: number
}

/** Identifies a server and one of its incarnations. */
export interface ServerIdentity {
  /** Unique for each start of the server process. */
  readonly id: BackendServerId
  /** Unchanged by a restart. */
  readonly name: ServerName
  /** Start time by the server's own clock, in ms since the Unix epoch; 0 when the server does not report it. */
  readonly startedAt: number
}

/** One incarnation of a backend server, as reported by its heartbeats. */
export interface RegisteredServer extends ServerIdentity {
  readonly group: string
  /** IP address and port. */
  readonly address: string
  readonly hall: string
  readonly phase: ServerPhase
  /** Maximum number of requests processed concurrently. */
  readonly slots: number
  readonly weights: readonly LoadedWeights[]
  /** Absent if the server does not report it, and in state written before version 0.9. */
  readonly softwareVersion?: SoftwareVersion
}

/** Records the server data of a heartbeat. */
export interface ObserveServer {
  readonly kind: 'server.observe'
  readonly server: RegisteredServer
}

/** Records that an incarnation is draining or has left. */
export interface RetireServer {
  readonly kind: 'server.retire'
  readonly id: BackendServerId
  readonly phase: DeparturePhase
}

/** Result of {@link ObserveServer} and {@link RetireServer}. */
export interface ServerResult {
  readonly phase: ServerPhase
  /** False for a heartbeat that was acknowledged without a registration; undefined otherwise. */
  readonly isRegistered?: false
}

/** A stored server; before version 0.4 it had no `name` or `startedAt`, and its id was its name. */
type SavedServer = Omit<RegisteredServer, 'name' | 'startedAt'> & Partial<ServerIdentity>

/** State as stored in a snapshot. */
export interface SavedServers {
  readonly servers: readonly SavedServer[]
  readonly retired: readonly BackendServerId[]
  /** Incarnations that are draining, registered or not; absent from snapshots written before version 0.11. */
  readonly draining?: readonly BackendServerId[]
  /** Incarnations whose address another one has; absent from snapshots written before version 0.11. */
  readonly displaced?: readonly BackendServerId[]
  /** Latest start time of each server; absent from snapshots written before version 0.4. */
  readonly starts?: readonly (readonly [ServerName, number])[]
}

/** Registered servers that have not left. */
export interface ServerState {
  find(id: BackendServerId): RegisteredServer | undefined
  findByName(name: ServerName): RegisteredServer | undefined
  findByAddress(address: string): RegisteredServer | undefined
  /** Lists the servers in the order of registration; the same array until the next change. */
  list(): readonly RegisteredServer[]
  /** Whether an incarnation has left or its server has restarted. An ended incarnation never returns. */
  isIncarnationEnded(identity: ServerIdentity): boolean
  /** Whether another incarnation took the address of this one, which has not been registered again since. */
  isDisplaced(id: BackendServerId): boolean
  /** Returns what an incarnation reported of its departure, whether it is registered or not; undefined if nothing. */
  findDeparture(id: BackendServerId): DeparturePhase | undefined
  /** Increases with each change. */
  revision(): number
  observe(command: ObserveServer): ServerResult
  retire(command: RetireServer): ServerResult
  save(): SavedServers
  load(saved: SavedServers): void
}

/** Stands for the software of servers that do not report a version. */
const NO_SOFTWARE_VERSION = toSoftwareVersion('')
/** Start time of a server that does not report it. */
const UNKNOWN_START_TIME = 0
/** Incarnations that left; they are kept so that a late heartbeat does not register one again. */
const MAX_RETIRED = 2_000
/** Draining incarnations, which are kept so that a late heartbeat registers none as ready; as many as those that left. */
const MAX_DRAINING = MAX_RETIRED
/** Displaced incarnations that are kept; as many as those that left. */
const MAX_DISPLACED = MAX_RETIRED
/** Servers whose latest start time is kept, for the same reason: several times the size of a large fleet. */
const MAX_START_TIMES = 5_000

const PHASE_ORDER: Record<ServerPhase, number> = { ready: 0, draining: 1, gone: 2 }

/** Builds the identity of an incarnation; `startedAt` is undefined when the server does not report it. */
export function buildServerIdentity(
  name: ServerName,
  startedAt: number | undefined,
): ServerIdentity {
  if (startedAt === undefined)
    return { id: toBackendServerId(name), name, startedAt: UNKNOWN_START_TIME }
  return { id: toBackendServerId(`${name}@${startedAt}`), name, startedAt }
}

/** Returns the software version of a server; the empty version for one that does not report any. */
export function findSoftwareVersion({ softwareVersion }: RegisteredServer): SoftwareVersion {
  return softwareVersion ?? NO_SOFTWARE_VERSION
}

/** Whether the server reported its start time. */
export function isStartTimeKnown({ startedAt }: ServerIdentity): boolean {
  return startedAt !== UNKNOWN_START_TIME
}

function chooseLaterPhase(a: ServerPhase, b: ServerPhase): ServerPhase {
  return PHASE_ORDER[a] >= PHASE_ORDER[b] ? a : b
}

/**
 * Merges the data of a heartbeat into the registration of the same incarnation. Phases only advance and weights
 * versions only increase, so that a late heartbeat reverts nothing.
 */
export function mergeServer(
  known: RegisteredServer | undefined,
  server: RegisteredServer,
): RegisteredServer {
  if (!known) return server
  const held = new Map<string, number>()
  for (const { model, version } of known.weights) if (!held.has(model)) held.set(model, version)
  const weights = server.weights.map(({ model, version }) => ({
    model,
    version: Math.max(version, held.get(model) ?? version),
  }))
  return { ...server, weights, phase: chooseLaterPhase(server.phase, known.phase) }
}

function isEqualWeights(a: readonly LoadedWeights[], b: readonly LoadedWeights[]): boolean {
  const isSame = ({ model, version }: LoadedWeights, index: number) =>
    b[index].model === model && b[index].version === version
  return a.length === b.length && a.every(isSame)
}

/**
 * Whether two heartbeats of one incarnation report the same data. Fields are compared one by one, because the order
 * of properties in the JSON may differ.
 */
export function isSameRegistration(a: RegisteredServer, b: RegisteredServer): boolean {
  return (
    a.id === b.id &&
    a.group === b.group &&
    a.address === b.address &&
    a.hall === b.hall &&
    a.phase === b.phase &&
    a.slots === b.slots &&
    a.softwareVersion === b.softwareVersion &&
    isEqualWeights(a.weights, b.weights)
  )
}

function toRegisteredServer(saved: SavedServer): RegisteredServer {
  return { name: saved.id as string as ServerName, startedAt: UNKNOWN_START_TIME, ...saved }
}

function listDraining(servers: readonly SavedServer[]): BackendServerId[] {
  return servers.filter(({ phase }) => phase === 'draining').map(({ id }) => id)
}

/** Creates an empty registry. */
export function createServerState(): ServerState {
  const servers = new Map<BackendServerId, RegisteredServer>()
  const byName = new Map<ServerName, RegisteredServer>()
  const byAddress = new Map<string, RegisteredServer>()
  let listed: readonly RegisteredServer[] | undefined
  const retired = new Set<BackendServerId>()
  /** Survives the removal of a registration, after which the next heartbeat starts from no known phase. */
  const draining = new Set<BackendServerId>()
  const displaced = new Set<BackendServerId>()
  const startTimes = new Map<ServerName, number>()
  let revision = 0

  const removeServer = (id: BackendServerId) => {
    const known = servers.get(id)
    if (!known) return
    servers.delete(id)
    if (byName.get(known.name) === known) byName.delete(known.name)
    if (byAddress.get(known.address) === known) byAddress.delete(known.address)
    listed = undefined
  }
  /** Stores a server in place of an earlier entry with its id, which keeps its position in the list. */
  const setServer = (server: RegisteredServer) => {
    const known = servers.get(server.id)
    if (known && byAddress.get(known.address) === known) byAddress.delete(known.address)
    servers.set(server.id, server)
    byName.set(server.name, server)
    byAddress.set(server.address, server)
    listed = undefined
  }
  const isIncarnationEnded = ({ id, name, startedAt }: ServerIdentity) =>
    retired.has(id) || startedAt < (startTimes.get(name) ?? UNKNOWN_START_TIME)
  const recordStartTime = ({ name, startedAt }: ServerIdentity) => {
    if (startedAt === UNKNOWN_START_TIME) return
    startTimes.delete(name)
    startTimes.set(name, startedAt)
    removeOldest(startTimes, MAX_START_TIMES)
  }
  const recordDisplaced = (server: RegisteredServer) => {
    displaced.delete(server.id)
    const holder = byAddress.get(server.address)
    if (!holder || holder.name === server.name) return
    displaced.add(holder.id)
    removeOldest(displaced, MAX_DISPLACED)
  }
  /** Removes the earlier incarnation of a server and any other server registered at its address. */
  const removeSupersededServers = (server: RegisteredServer) => {
    recordDisplaced(server)
    for (const other of [byName.get(server.name), byAddress.get(server.address)]) {
      if (other && other.id !== server.id) removeServer(other.id)
    }
  }
  const recordDraining = (id: BackendServerId) => {
    if (draining.has(id)) return
    draining.add(id)
    removeOldest(draining, MAX_DRAINING)
  }
  const findDeparture = (id: BackendServerId): DeparturePhase | undefined => {
    if (retired.has(id)) return 'gone'
    return draining.has(id) ? 'draining' : undefined
  }
  const list = () => (listed ??= [...servers.values()])
  return {
    find: (id) => servers.get(id),
    findByName: (name) => byName.get(name),
    findByAddress: (address) => byAddress.get(address),
    list,
    isIncarnationEnded,
    isDisplaced: (id) => displaced.has(id),
    findDeparture,
    revision: () => revision,
    observe: ({ server: saved }) => {
      const server = toRegisteredServer(saved)
      if (isIncarnationEnded(server)) return { phase: 'gone' }
      revision += 1
      recordStartTime(server)
      // An address belongs to one server. The other server is not retired: this may be a late heartbeat of the
      // previous owner of the address, and the next heartbeat of the current owner then corrects the registry.
      removeSupersededServers(server)
      const reported = mergeServer(servers.get(server.id), server)
      if (reported.phase === 'draining') recordDraining(server.id)
      const isDraining = reported.phase === 'ready' && draining.has(server.id)
      const merged: RegisteredServer = isDraining ? { ...reported, phase: 'draining' } : reported
      setServer(merged)
      return { phase: merged.phase }
    },
    retire: ({ id, phase }) => {
      if (retired.has(id)) return { phase: 'gone' }
      revision += 1
      const known = servers.get(id)
      if (phase === 'gone') {
        removeServer(id)
        for (const ids of [draining, displaced]) ids.delete(id)
        retired.add(id)
        removeOldest(retired, MAX_RETIRED)
      } else {
        recordDraining(id)
        if (known) setServer({ ...known, phase })
      }
      return { phase }
    },
    save: () => ({
      servers: list(),
      retired: [...retired],
      draining: [...draining],
      displaced: [...displaced],
      starts: [...startTimes],
    }),
    load: (saved) => {
      for (const { id } of list()) removeServer(id)
      for (const server of saved.servers) setServer(toRegisteredServer(server))
      retired.clear()
      for (const id of saved.retired) retired.add(id)
      draining.clear()
      for (const id of saved.draining ?? listDraining(saved.servers)) draining.add(id)
      displaced.clear()
      for (const id of saved.displaced ?? []) displaced.add(id)
      startTimes.clear()
      for (const [name, startedAt] of saved.starts ?? []) startTimes.set(name, startedAt)
      revision += 1
    },
  }
}
