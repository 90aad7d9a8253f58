/**
 * Detects backend servers that are unreachable from this router. A slow server still accepts connections; one that does
 * not is unreachable until it accepts one again. Failures of single requests are ignored here: under load they would
 * remove one server after the other.
 */
import { connect } from 'node:net'
import { waitFor, type BackendServerId, type TimerService } from '@spoolgate/core'

/** A server to probe. */
export interface ProbedServer {
  readonly id: BackendServerId
  /** IP address and port. */
  readonly address: string
}

/** Attempts a connection; resolves to whether it was established. */
export type ConnectionProbe = (address: string) => Promise<boolean>

/** Options of {@link createLivenessMonitor}. */
export interface LivenessMonitorOptions {
  readonly timers: TimerService
  readonly probe: ConnectionProbe
  /** Whether a server is still registered; others are no longer probed. */
  readonly isRegistered: (id: BackendServerId) => boolean
}

/** Tracks unreachable servers; see {@link createLivenessMonitor}. */
export interface LivenessMonitor {
  isUnreachable(id: BackendServerId): boolean
  /** Probes whether a server accepts connections; concurrent probes of one server are shared. */
  checkReachable(server: ProbedServer): Promise<boolean>
  /** Records that a connection to a server failed, and probes it until it accepts one again. */
  recordUnreachable(server: ProbedServer): void
  close(): void
}

/** Connection timeout, in ms: a hundred times the latency between data halls. */
export const CONNECT_TIMEOUT_MS = 300
/** Interval between probes of an unreachable server, in ms. */
const PROBE_INTERVAL_MS = 400

/** Attempts a connection to an address and closes it. */
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

/** Creates a monitor that presumes every server reachable. */
export function createLivenessMonitor(options: LivenessMonitorOptions): LivenessMonitor {
  const { timers, probe, isRegistered } = options
  const closing = new AbortController()
  const unreachable = new Set<BackendServerId>()
  const pendingProbes = new Map<BackendServerId, Promise<boolean>>()

  const watchUnreachable = async (server: ProbedServer) => {
    while (!closing.signal.aborted && isRegistered(server.id)) {
      await waitFor(timers, PROBE_INTERVAL_MS, closing.signal)
      if (await probe(server.address)) break
    }
    unreachable.delete(server.id)
  }
  const recordUnreachable = (server: ProbedServer) => {
    if (unreachable.has(server.id)) return
    unreachable.add(server.id)
    void watchUnreachable(server)
  }
  const startProbe = async (server: ProbedServer) => {
    const isReachable = await probe(server.address)
    pendingProbes.delete(server.id)
    if (!isReachable) recordUnreachable(server)
    return isReachable
  }
  return {
    isUnreachable: (id) => unreachable.has(id),
    checkReachable: (server) => {
      const pending = pendingProbes.get(server.id) ?? startProbe(server)
      pendingProbes.set(server.id, pending)
      return pending
    },
    recordUnreachable,
    close: () => closing.abort(),
  }
}
