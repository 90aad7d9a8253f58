/**
 * Detects crashes of backend servers from interrupted sends. A send can be interrupted for many reasons; it counts as a
 * crash if the server accepts no connections afterwards or is reported to have restarted.
 */
import type { InterruptedSend, FleetView } from '@spoolgate/control'
import type { BackendServerId, Logger, PromptPartId, TimerService } from '@spoolgate/core'
import { LRUCache } from 'lru-cache'
import type { Observable } from 'rxjs'
import type { LivenessMonitor, ProbedServer } from './livenessMonitor.js'

/** An interrupted send as this router knows it. Instants are in ms of the monotonic clock. */
export interface InterruptedCall extends InterruptedSend {
  /** Group of its server. */
  readonly group: string
  /** Shared parts of its prompt. */
  readonly parts: readonly PromptPartId[]
  readonly sentAt: number
}

/** A call whose server crashed. */
export interface CrashedCall extends InterruptedCall {
  readonly server: ProbedServer
  /** When its connection was lost. */
  readonly lostAt: number
}

/** Options of {@link createCrashDetector}. */
export interface CrashDetectorOptions {
  readonly liveness: Pick<LivenessMonitor, 'checkReachable'>
  /** The router's view of the fleet, after each change. */
  readonly views: Observable<Pick<FleetView, 'servers'>>
  readonly timers: TimerService
  readonly logger: Logger
  /** Called for each send that was interrupted by a crash of its server. */
  readonly onCrash: (call: CrashedCall) => void
}

/** See {@link createCrashDetector}. */
export interface CrashDetector {
  /** Records a send that was interrupted. */
  recordInterrupted(server: ProbedServer, call: InterruptedCall): void
  close(): void
}

/** Interrupted sends to a server that is not yet known to have crashed. */
interface CrashCheck {
  readonly server: ProbedServer
  /** Sends after which the server has not been checked yet. */
  unchecked: CrashedCall[]
  /** Sends after which the server accepted connections; it may have crashed and restarted already. */
  unconfirmed: readonly CrashedCall[]
  isChecking: boolean
}

/**
 * Time to wait for the report that a server which accepts connections has restarted, in ms: routers learn of a restart
 * after the first heartbeat.
 */
const RESTART_REPORT_MS = 3_000
/** Maximum number of crashed server incarnations kept: several per server in a large fleet. */
const MAX_CRASHED = 2_000
/** Maximum number of parts in a log line. */
const MAX_LOGGED_PARTS = 16

/** Formats the parts of interrupted calls with the number of calls that have each, the most frequent first. */
function formatParts(calls: readonly CrashedCall[]): readonly string[] {
  const counts = new Map<PromptPartId, number>()
  for (const { parts } of calls) {
    for (const part of parts) counts.set(part, (counts.get(part) ?? 0) + 1)
  }
  const sorted = [...counts].sort(([, a], [, b]) => b - a)
  return sorted.slice(0, MAX_LOGGED_PARTS).map(([part, count]) => `${part}:${count}`)
}

/** Creates a crash detector. */
export function createCrashDetector(options: CrashDetectorOptions): CrashDetector {
  const { liveness, timers, logger, onCrash } = options
  const crashed = new LRUCache<BackendServerId, true>({ max: MAX_CRASHED })
  const checks = new Map<BackendServerId, CrashCheck>()

  const confirmCrash = (check: CrashCheck, calls: readonly CrashedCall[], shownBy: string) => {
    const { id, address } = check.server
    checks.delete(id)
    crashed.set(id, true)
    const parts = formatParts(calls)
    logger.warn('server.ended', { server: id, address, shownBy, sends: calls.length, parts })
    calls.forEach(onCrash)
  }
  /** Keeps interrupted sends for a while in case a restart is reported. */
  const addUnconfirmed = (check: CrashCheck, sends: readonly CrashedCall[]) => {
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
        return [...sends, ...check.unchecked].forEach(onCrash)
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
    recordInterrupted: (server, interrupted) => {
      const call: CrashedCall = { ...interrupted, server, lostAt: timers.now() }
      if (crashed.has(server.id)) return onCrash(call)
      const check = checks.get(server.id) ?? {
        server,
        unchecked: [],
        unconfirmed: [],
        isChecking: false,
      }
      checks.set(server.id, check)
      check.unchecked.push(call)
      void checkServer(check)
    },
    close: () => subscription.unsubscribe(),
  }
}
