/**
 * The part of the replicated state that holds the backend servers which registered themselves. Only
 * what a router must know survives here; the time of a server's last heartbeat is soft state of the leader.
 */
import {
  removeOldest,
  toBackendServerId,
  type BackendServerId,
  type ServerName,
} from '@spoolgate/core'

/** Phase in the life of one incarnation of a backend server; it only moves forward. */
export type ServerPhase = 'ready' | 'draining' | 'gone'

/** Weights that a backend server holds. */
export interface LoadedWeights {
  readonly model: string
  readonly version: number
}

/** Which server, and which of its starts. */
export interface ServerIdentity {
  /** Unique for each start of the server's process. */
  readonly id: BackendServerId
  /** The same after a restart. */
  readonly name: ServerName
  /** When it started, in ms since the Unix epoch by its own clock; 0 where it does not name it. */
  readonly startedAt: number
}

/** One incarnation of a backend server, as its heartbeats describe it. */
export interface RegisteredServer extends ServerIdentity {
  readonly group: string
  /** IP number and port. */
  readonly address: string
  readonly hall: string
  readonly phase: ServerPhase
  /** Requests that it works on at a time. */
  readonly slots: number
  readonly weights: readonly LoadedWeights[]
}

/** Records what a heartbeat says of a server. */
export interface ObserveServer {
  readonly kind: 'server.observe'
  readonly server: RegisteredServer
}

/** Records that an incarnation is leaving or has left. */
export interface RetireServer {
  readonly kind: 'server.retire'
  readonly id: BackendServerId
  readonly phase: 'draining' | 'gone'
}

/** What became of either command. */
export interface ServerResult {
  readonly phase: ServerPhase
}

/** A server as logs of versions before 0.4 hold it: its name was its id. */
type SavedServer = Omit<RegisteredServer, 'name' | 'startedAt'> & Partial<ServerIdentity>

/** State as a snapshot holds it. */
export interface SavedServers {
  readonly servers: readonly SavedServer[]
  readonly retired: readonly BackendServerId[]
  /** Last start of each server; missing before version 0.4. */
  readonly starts?: readonly (readonly [ServerName, number])[]
}

/** Servers that registered and have not left. */
export interface ServerState {
  find(id: BackendServerId): RegisteredServer | undefined
  findByName(name: ServerName): RegisteredServer | undefined
  list(): readonly RegisteredServer[]
  /** Whether an incarnation is over: it has left, or its server has started again. It never returns. */
  isIncarnationEnded(identity: ServerIdentity): boolean
  /** Rises with each change. */
  revision(): number
  observe(command: ObserveServer): ServerResult
  retire(command: RetireServer): ServerResult
  save(): SavedServers
  load(saved: SavedServers): void
}

/** Start of a server that does not name its start. */
const UNKNOWN_START_TIME = 0
/** Incarnations that left, kept so that a late heartbeat does not bring one back. */
const MAX_RETIRED = 2_000
/** Servers whose last start is kept, for the same reason: several times those of a large fleet. */
const MAX_START_TIMES = 5_000

const PHASE_ORDER: Record<ServerPhase, number> = { ready: 0, draining: 1, gone: 2 }

/** Builds the identity of one start of a server; `startedAt` is undefined where it is not named. */
export function buildServerIdentity(
  name: ServerName,
  startedAt: number | undefined,
): ServerIdentity {
  if (startedAt === undefined)
    return { id: toBackendServerId(name), name, startedAt: UNKNOWN_START_TIME }
  return { id: toBackendServerId(`${name}@${startedAt}`), name, startedAt }
}

/** Whether it is known when a server started. */
export function isStartTimeKnown({ startedAt }: ServerIdentity): boolean {
  return startedAt !== UNKNOWN_START_TIME
}

/** The later of two phases. */
function chooseLaterPhase(a: ServerPhase, b: ServerPhase): ServerPhase {
  return PHASE_ORDER[a] >= PHASE_ORDER[b] ? a : b
}

/**
 * Merges what a heartbeat says into what is known of the same incarnation: phases only move forward
 * and weights only rise, so that a heartbeat which comes late changes nothing back.
 */
export function mergeServer(
  known: RegisteredServer | undefined,
  server: RegisteredServer,
): RegisteredServer {
  if (!known) return server
  const weights = server.weights.map(({ model, version }) => {
    const held = known.weights.find((other) => other.model === model)
    return { model, version: Math.max(version, held?.version ?? version) }
  })
  return { ...server, weights, phase: chooseLaterPhase(server.phase, known.phase) }
}

function isEqualWeights(a: readonly LoadedWeights[], b: readonly LoadedWeights[]): boolean {
  const isSame = ({ model, version }: LoadedWeights, index: number) =>
    b[index].model === model && b[index].version === version
  return a.length === b.length && a.every(isSame)
}

/**
 * Whether two heartbeats of one incarnation say the same. Compared field by field, since their texts may differ in the
 * order of fields.
 */
export function isSameRegistration(a: RegisteredServer, b: RegisteredServer): boolean {
  return (
    a.id === b.id &&
    a.group === b.group &&
    a.address === b.address &&
    a.hall === b.hall &&
    a.phase === b.phase &&
    a.slots === b.slots &&
    isEqualWeights(a.weights, b.weights)
  )
}

function toRegisteredServer(saved: SavedServer): RegisteredServer {
  return { name: saved.id as string as ServerName, startedAt: UNKNOWN_START_TIME, ...saved }
}

/** Creates a state without servers. */
export function createServerState(): ServerState {
  const servers = new Map<BackendServerId, RegisteredServer>()
  const retired = new Set<BackendServerId>()
  const startTimes = new Map<ServerName, number>()
  let revision = 0

  const findByName = (name: ServerName) =>
    [...servers.values()].find((server) => server.name === name)
  const isIncarnationEnded = ({ id, name, startedAt }: ServerIdentity) =>
    retired.has(id) || startedAt < (startTimes.get(name) ?? UNKNOWN_START_TIME)
  const recordStartTime = ({ name, startedAt }: ServerIdentity) => {
    if (startedAt === UNKNOWN_START_TIME) return
    startTimes.delete(name)
    startTimes.set(name, startedAt)
    removeOldest(startTimes, MAX_START_TIMES)
  }
  /** Removes the earlier start of a server, and who had its address before. */
  const removeSupersededServers = (server: RegisteredServer) => {
    for (const other of servers.values()) {
      const isSame = other.id === server.id
      const isReplaced = other.name === server.name || other.address === server.address
      if (isReplaced && !isSame) servers.delete(other.id)
    }
  }
  return {
    find: (id) => servers.get(id),
    findByName,
    list: () => [...servers.values()],
    isIncarnationEnded: isIncarnationEnded,
    revision: () => revision,
    observe: ({ server: saved }) => {
      const server = toRegisteredServer(saved)
      if (isIncarnationEnded(server)) return { phase: 'gone' }
      revision += 1
      recordStartTime(server)
      // One address belongs to one server. The other is not gone for good: this may be a late signal
      // of the one that had the address before, and the next heartbeat then puts it right.
      removeSupersededServers(server)
      const merged = mergeServer(servers.get(server.id), server)
      servers.set(server.id, merged)
      return { phase: merged.phase }
    },
    retire: ({ id, phase }) => {
      if (retired.has(id)) return { phase: 'gone' }
      revision += 1
      const known = servers.get(id)
      if (phase === 'gone') {
        servers.delete(id)
        retired.add(id)
        removeOldest(retired, MAX_RETIRED)
      } else if (known) servers.set(id, { ...known, phase })
      return { phase }
    },
    save: () => ({
      servers: [...servers.values()],
      retired: [...retired],
      starts: [...startTimes],
    }),
    load: (saved) => {
      servers.clear()
      for (const server of saved.servers) servers.set(server.id, toRegisteredServer(server))
      retired.clear()
      for (const id of saved.retired) retired.add(id)
      startTimes.clear()
      for (const [name, startedAt] of saved.starts ?? []) startTimes.set(name, startedAt)
      revision += 1
    },
  }
}
