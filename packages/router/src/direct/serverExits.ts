/**
 * Which backend servers ended, as the sends show that broke off. A send breaks off for many reasons; that its server ended shows
 * when the server accepts no connections then, or has started again.
 */
import type { BlamedSend, FleetView } from '@spoolgate/control'
import type { BackendServerId, Logger, TimerService } from '@spoolgate/core'
import { LRUCache } from 'lru-cache'
import type { Observable } from 'rxjs'
import type { Liveness, ProbedServer } from './livenessMonitor.js'

/** Options of {@link createServerExits}. */
export interface ServerExitsOptions {
  readonly liveness: Pick<Liveness, 'checkAlive'>
  /** What the router knows of the fleet, after each change. */
  readonly views: Observable<Pick<FleetView, 'servers'>>
  readonly timers: TimerService
  readonly logger: Logger
  /** Called for each send that broke off with the end of its server. */
  readonly onEnd: (server: BackendServerId, send: BlamedSend) => void
}

/** See {@link createServerExits}. */
export interface ServerExits {
  /** Notes a send that broke off. */
  recordLost(server: ProbedServer, send: BlamedSend): void
  close(): void
}

/** Sends to one server that broke off while it is not known whether the server ended. */
interface Doubt {
  readonly server: ProbedServer
  /** Sends after which nobody has looked at the server yet. */
  fresh: BlamedSend[]
  /** Sends after which the server accepted connections; it may have started again at once. */
  older: readonly BlamedSend[]
  isLooking: boolean
}

/**
 * Time for which a server that accepts connections may turn out to have restarted, in ms: routers learn of it after the
 * first heartbeat.
 */
const DOUBT_MS = 3_000
/** Servers that ended and are remembered: some for each of a large fleet. */
const MAX_ENDED = 2_000

/** Creates the watch. */
export function createServerExits(options: ServerExitsOptions): ServerExits {
  const { liveness, timers, logger, onEnd } = options
  const ended = new LRUCache<BackendServerId, true>({ max: MAX_ENDED })
  const doubts = new Map<BackendServerId, Doubt>()

  const confirm = (doubt: Doubt, sends: readonly BlamedSend[], shownBy: string) => {
    const { id, address } = doubt.server
    doubts.delete(id)
    ended.set(id, true)
    logger.warn('server.ended', { server: id, address, shownBy, sends: sends.length })
    for (const send of sends) onEnd(id, send)
  }
  /** Keeps what broke off for a while, in case that a restart is reported. */
  const addOlder = (doubt: Doubt, sends: readonly BlamedSend[]) => {
    doubt.older = [...doubt.older, ...sends]
    timers.after(DOUBT_MS).subscribe(() => {
      doubt.older = doubt.older.filter((send) => !sends.includes(send))
      const isOver = doubt.older.length + doubt.fresh.length === 0 && !doubt.isLooking
      if (isOver && doubts.get(doubt.server.id) === doubt) doubts.delete(doubt.server.id)
    })
  }
  /**
   * Looks at a server after each send that broke off. Answers break off without the end of their server as well, and
   * the next one may be the end: one look for all of them would take a server for alive that ended since.
   */
  const look = async (doubt: Doubt) => {
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
