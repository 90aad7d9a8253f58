/**
 * Detects crashes of backend servers from interrupted sends. A send can be interrupted for many reasons; it counts as a
 * crash if the server accepts no connections afterwards or is reported to have restarted.
 */
import type { InterruptedSend, FleetView } from '@spoolgate/control'
import type { BackendServerId, Logger, TimerService } from '@spoolgate/core'
import { LRUCache } from 'lru-cache'
import type { Observable } from 'rxjs'
import type { LivenessMonitor, ProbedServer } from './livenessMonitor.js'

/** Options of {@link createCrashDetector}. */
export interface CrashDetectorOptions {
  readonly liveness: Pick<LivenessMonitor, 'checkReachable'>
  /** The router's view of the fleet, after each change. */
  readonly views: Observable<Pick<FleetView, 'servers'>>
  readonly timers: TimerService
  readonly logger: Logger
  /** Called for each send that was interrupted by a crash of its server. */
  readonly onCrash: (server: BackendServerId, send: InterruptedSend) => void
}

/** See {@link createCrashDetector}. */
export interface CrashDetector {
  /** Records a send that was interrupted. */
  recordInterrupted(server: ProbedServer, send: InterruptedSend): void
  close(): void
}

/** Interrupted sends to a server that is not yet known to have crashed. */
interface CrashCheck {
  readonly server: ProbedServer
  /** Sends after which the server has not been checked yet. */
  unchecked: InterruptedSend[]
  /** Sends after which the server accepted connections; it may have crashed and restarted already. */
  unconfirmed: readonly InterruptedSend[]
  isChecking: boolean
}

/**
 * Time to wait for the report that a server which accepts connections has restarted, in ms: routers learn of a restart
 * after the first heartbeat.
 */
const RESTART_REPORT_MS = 3_000
/** Maximum number of crashed server incarnations kept: several per server in a large fleet. */
const MAX_CRASHED = 2_000

/** Creates a crash detector. */
export function createCrashDetector(options: CrashDetectorOptions): CrashDetector {
  const { liveness, timers, logger, onCrash } = options
  const crashed = new LRUCache<BackendServerId, true>({ max: MAX_CRASHED })
  const checks = new Map<BackendServerId, CrashCheck>()

  const confirmCrash = (check: CrashCheck, sends: readonly InterruptedSend[], shownBy: string) => {
    const { id, address } = check.server
    checks.delete(id)
    crashed.set(id, true)
    logger.warn('server.ended', { server: id, address, shownBy, sends: sends.length })
    for (const send of sends) onCrash(id, send)
  }
  /** Keeps interrupted sends for a while in case a restart is reported. */
  const addUnconfirmed = (check: CrashCheck, sends: readonly InterruptedSend[]) => {
    check.unconfirmed = [...check.unconfirmed, ...sends]
    timers.after(RESTART_REPORT_MS).subscribe(() => {
      check.unconfirmed = check.unconfirmed.filter((send) => !sends.includes(send))
      const isDone = check.unconfirmed.length + check.unchecked.length === 0 && !check.isChecking
      if (isDone && checks.get(check.server.id) === check) checks.delete(check.server.id)
    })
  }
  /**
   * Checks the server again for sends that were interrupted after the last check started. An earlier interruption may
   * have had another cause, so reusing its result could miss a crash that happened since.
   */
  const checkServer = async (check: CrashCheck) => {
    const { server } = check
    if (check.isChecking) return
    check.isChecking = true
    while (check.unchecked.length > 0) {
      const sends = check.unchecked
      check.unchecked = []
      const isAlive = await liveness.checkReachable(server)
      if (crashed.has(server.id)) {
        for (const send of [...sends, ...check.unchecked]) onCrash(server.id, send)
        return
      }
      if (!isAlive) return confirmCrash(check, [...sends, ...check.unchecked], 'no connections')
      addUnconfirmed(check, sends)
    }
    check.isChecking = false
  }
  const subscription = options.views.subscribe(({ servers }) => {
    if (checks.size === 0) return
    const addresses = new Set([...servers.values()].map(({ address }) => address))
    for (const check of checks.values()) {
      const { id, address } = check.server
      const isReplaced = !servers.has(id) && addresses.has(address)
      if (isReplaced) confirmCrash(check, check.unconfirmed, 'a later start')
    }
  })
  return {
    recordInterrupted: (server, send) => {
      if (crashed.has(server.id)) return onCrash(server.id, send)
      const check = checks.get(server.id) ?? {
        server,
        unchecked: [],
        unconfirmed: [],
        isChecking: false,
      }
      checks.set(server.id, check)
      check.unchecked.push(send)
      void checkServer(check)
    },
    close: () => subscription.unsubscribe(),
  }
}
