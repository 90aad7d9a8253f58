/**
 * The part of the replicated state that holds the backend servers which registered themselves. Only
 * what a router must know survives here; when a server was last heard is soft state of the leader.
 */
import type { BackendServerId } from '@spoolgate/core'

/** Phase in the life of one incarnation of a backend server; it only moves forward. */
export type ServerPhase = 'ready' | 'draining' | 'gone'

/** Weights that a backend server holds. */
export interface HeldWeights {
  readonly model: string
  readonly version: number
}

/** One incarnation of a backend server, as its heartbeats describe it. */
export interface RegisteredServer {
  /** Unique for each start of the server's process. */
  readonly id: BackendServerId
  readonly group: string
  /** IP number and port. */
  readonly address: string
  readonly hall: string
  readonly phase: ServerPhase
  /** Requests that it works on at a time. */
  readonly slots: number
  readonly weights: readonly HeldWeights[]
}

/** Records what a heartbeat says of a server. */
export interface ObserveServer {
  readonly kind: 'server.observe'
  readonly server: RegisteredServer
}

/** Records that a server is leaving or has left. */
export interface RetireServer {
  readonly kind: 'server.retire'
  readonly id: BackendServerId
  readonly phase: 'draining' | 'gone'
}

/** What became of either command. */
export interface ServerResult {
  readonly phase: ServerPhase
}

/** State as a snapshot holds it. */
export interface SavedServers {
  readonly servers: readonly RegisteredServer[]
  readonly retired: readonly BackendServerId[]
}

/** Servers that registered and have not left. */
export interface ServerState {
  find(id: BackendServerId): RegisteredServer | undefined
  list(): readonly RegisteredServer[]
  /** Whether this incarnation has left; it never returns. */
  isRetired(id: BackendServerId): boolean
  /** Rises with each change. */
  revision(): number
  observe(command: ObserveServer): ServerResult
  retire(command: RetireServer): ServerResult
  save(): SavedServers
  load(saved: SavedServers): void
}

/** Ids of servers that left, kept so that a late heartbeat does not bring one back. */
const MAX_RETIRED = 2_000

const PHASE_ORDER: Record<ServerPhase, number> = { ready: 0, draining: 1, gone: 2 }

/** The later of two phases. */
function chooseLater(a: ServerPhase, b: ServerPhase): ServerPhase {
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
  return { ...server, weights, phase: chooseLater(server.phase, known.phase) }
}

/** Creates a state without servers. */
export function createServerState(): ServerState {
  const servers = new Map<BackendServerId, RegisteredServer>()
  const retired = new Set<BackendServerId>()
  let revision = 0

  const removeServer = (id: BackendServerId) => {
    servers.delete(id)
    retired.add(id)
    if (retired.size > MAX_RETIRED) retired.delete(retired.values().next().value as BackendServerId)
  }
  return {
    find: (id) => servers.get(id),
    list: () => [...servers.values()],
    isRetired: (id) => retired.has(id),
    revision: () => revision,
    observe: ({ server }) => {
      if (retired.has(server.id)) return { phase: 'gone' }
      revision += 1
      // One address belongs to one server. The other is not gone for good: this may be a late word
      // of the one that had the address before, and the next heartbeat then puts it right.
      for (const other of servers.values()) {
        if (other.address === server.address && other.id !== server.id) servers.delete(other.id)
      }
      const merged = mergeServer(servers.get(server.id), server)
      servers.set(server.id, merged)
      return { phase: merged.phase }
    },
    retire: ({ id, phase }) => {
      if (retired.has(id)) return { phase: 'gone' }
      revision += 1
      const known = servers.get(id)
      if (phase === 'gone') removeServer(id)
      else if (known) servers.set(id, { ...known, phase })
      return { phase }
    },
    save: () => ({ servers: [...servers.values()], retired: [...retired] }),
    load: (saved) => {
      servers.clear()
      for (const server of saved.servers) servers.set(server.id, server)
      retired.clear()
      for (const id of saved.retired) retired.add(id)
      revision += 1
    },
  }
}
