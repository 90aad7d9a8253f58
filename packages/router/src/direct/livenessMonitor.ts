/**
 * Which backend servers are dead, as this router finds out by itself. A server that is slow accepts
 * connections all the same; one that does not is dead until it accepts one again. Failures of single
 * requests say nothing here: under load they would take out one server after the other.
 */
import { connect } from 'node:net'
import { waitFor, type BackendServerId, type TimerService } from '@spoolgate/core'

/** Where a server listens. */
export interface ProbedServer {
  readonly id: BackendServerId
  /** IP number and port. */
  readonly address: string
}

/** Tries a connection; resolves to whether it came up. */
export type ConnectionProbe = (address: string) => Promise<boolean>

/** Options of {@link createLivenessMonitor}. */
export interface LivenessMonitorOptions {
  readonly timers: TimerService
  readonly probe: ConnectionProbe
  /** Whether a server is still registered; others are forgotten. */
  readonly isRegistered: (id: BackendServerId) => boolean
}

/** Knows the dead; see {@link createLivenessMonitor}. */
export interface LivenessMonitor {
  isUnreachable(id: BackendServerId): boolean
  /** Looks whether a server accepts connections; looks of one time are shared. */
  checkReachable(server: ProbedServer): Promise<boolean>
  /** Notes that a connection to a server failed. */
  recordUnreachable(server: ProbedServer): void
  close(): void
}

/** Longest wait for a connection, in ms: a hundred times the way between data halls. */
export const CONNECT_TIMEOUT_MS = 300
/** Time between two looks at a dead server, in ms. */
const PROBE_INTERVAL_MS = 400

/** Tries a connection to an address and closes it again. */
export function checkConnection(address: string): Promise<boolean> {
  const [host, port] = address.split(':')
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) })
    const finish = (isUp: boolean) => {
      resolve(isUp)
      socket.destroy()
    }
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => finish(false))
    socket.once('connect', () => finish(true))
    socket.once('error', () => finish(false))
  })
}

/** Creates a liveness that takes every server for alive. */
export function createLivenessMonitor(options: LivenessMonitorOptions): LivenessMonitor {
  const { timers, probe, isRegistered } = options
  const stopping = new AbortController()
  const dead = new Set<BackendServerId>()
  const looks = new Map<BackendServerId, Promise<boolean>>()

  const watchDead = async (server: ProbedServer) => {
    while (!stopping.signal.aborted && isRegistered(server.id)) {
      await waitFor(timers, PROBE_INTERVAL_MS, stopping.signal)
      if (await probe(server.address)) break
    }
    dead.delete(server.id)
  }
  const recordDead = (server: ProbedServer) => {
    if (dead.has(server.id)) return
    dead.add(server.id)
    void watchDead(server)
  }
  const look = async (server: ProbedServer) => {
    const isAlive = await probe(server.address)
    looks.delete(server.id)
    if (!isAlive) recordDead(server)
    return isAlive
  }
  return {
    isUnreachable: (id) => dead.has(id),
    checkReachable: (server) => {
      const running = looks.get(server.id) ?? look(server)
      looks.set(server.id, running)
      return running
    },
    recordUnreachable: recordDead,
    close: () => stopping.abort(),
  }
}
