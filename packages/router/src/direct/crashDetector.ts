/**
 * Detects crashes of backend servers from interrupted sends. A send can be interrupted for many reasons; it counts as a
 * crash if the server accepts no connections afterwards or is reported to have restarted.
 */
import type { InterruptedSend, FleetView } from '@spoolgate/control'
import type { BackendServerId, Logger, TimerService } from '@spoolgate/core'
import { LRUCache } from 'lru-cache'
import type { Observable } from 'rxjs'
import type { Liveness, ProbedServer } from './liveness.js'

/** Options of {@link createCrashDetector}. */
export interface CrashDetectorOptions {
  readonly liveness: Pick<Liveness, 'checkAlive'>
  /** The router's view of the fleet, after each change. */
  readonly views: Observable<Pick<FleetView, 'servers'>>
  readonly timers: TimerService
  readonly logger: Logger
  /** Called for each send that was interrupted by a crash of its server. */
  readonly onEnd: (server: BackendServerId, send: InterruptedSend) => void
}

/** See {@link createCrashDetector}. */
export interface CrashDetector {
  /** Records a send that was interrupted. */
  recordLost(server: ProbedServer, send: InterruptedSend): void
  close(): void
}

/** Interrupted sends to a server that is not yet known to have crashed. */
interface CrashCheck {
  readonly server: ProbedServer
  /** Sends after which the server has not been checked yet. */
  fresh: InterruptedSend[]
  /** Sends after which the server accepted connections; it may have crashed and restarted already. */
  older: readonly InterruptedSend[]
  isLooking: boolean
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
  const { liveness, timers, logger, onEnd } = options
  const ended = new LRUCache<BackendServerId, true>({ max: MAX_CRASHED })
  const doubts = new Map<BackendServerId, CrashCheck>()

  const confirm = (doubt: CrashCheck, sends: readonly InterruptedSend[], shownBy: string) => {
    const { id, address } = doubt.server
    doubts.delete(id)
    ended.set(id, true)
    logger.warn('server.ended', { server: id, address, shownBy, sends: sends.length })
    for (const send of sends) onEnd(id, send)
  }
  /** Keeps interrupted sends for a while in case a restart is reported. */
  const addOlder = (doubt: CrashCheck, sends: readonly InterruptedSend[]) => {
    doubt.older = [...doubt.older, ...sends]
    timers.after(RESTART_REPORT_MS).subscribe(() => {
      doubt.older = doubt.older.filter((send) => !sends.includes(send))
      const isOver = doubt.older.length + doubt.fresh.length === 0 && !doubt.isLooking
      if (isOver && doubts.get(doubt.server.id) === doubt) doubts.delete(doubt.server.id)
    })
  }
  /**
   * Checks the server again for sends that were interrupted after the last check started. An earlier interruption may
   * have had another cause, so reusing its result could miss a crash that happened since.
   */
  const look = async (doubt: CrashCheck) => {
    const { server } = doubt
    if (doubt.isLooking) return
    doubt.isLooking = true
    while (doubt.fresh.length > 0) {
      const sends = doubt.fresh
      doubt.fresh = []
      const isAlive = await liveness.checkAlive(server)
      if (ended.has(server.id)) {
        for (const send of [...sends, ...doubt.fresh]) onEnd(server.id, send)
        return
      }
      if (!isAlive) return confirm(doubt, [...sends, ...doubt.fresh], 'no connections')
      addOlder(doubt, sends)
    }
    doubt.isLooking = false
  }
  const watching = options.views.subscribe(({ servers }) => {
    if (doubts.size === 0) return
    const addresses = new Set([...servers.values()].map(({ address }) => address))
    for (const doubt of doubts.values()) {
      const { id, address } = doubt.server
      const isReplaced = !servers.has(id) && addresses.has(address)
      if (isReplaced) confirm(doubt, doubt.older, 'a later start')
    }
  })
  return {
    recordLost: (server, send) => {
      if (ended.has(server.id)) return onEnd(server.id, send)
      const doubt = doubts.get(server.id) ?? { server, fresh: [], older: [], isLooking: false }
      doubts.set(server.id, doubt)
      doubt.fresh.push(send)
      void look(doubt)
    },
    close: () => watching.unsubscribe(),
  }
}
