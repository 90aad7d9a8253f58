/** What a router knows first-hand of each backend server: its own calls there and how they ended. */
import type { BackendServerId, TimerService } from '@spoolgate/core'
import type { ServerLoad, ServerLoads } from '@spoolgate/control'
import { LRUCache } from 'lru-cache'
import { createEjection, type EjectableServer } from '@spoolgate/routing'

/** A call in progress at a backend server. */
export interface CallTicket {
  /** Notes that the prompt has been read: the first part of the answer is here. */
  recordFirstPart(): void
  /** Notes any sign of life of the server. */
  recordSign(): void
  /** Whether the server has given no sign of life since the call was sent. */
  isUnanswered(): boolean
  /** Notes the end of the call. */
  finish(outcome: 'ok' | 'failed' | 'unreachable' | 'none'): void
}

/** First-hand knowledge; see {@link createServerBoard}. */
export interface ServerBoard {
  /** Notes that a call is sent. */
  open(server: BackendServerId, promptTokens: number): CallTicket
  findLoad(server: BackendServerId): ServerLoad
  /** Notes the weights version that a server named in an answer. */
  recordVersion(server: BackendServerId, version: number): void
  /** Finds the highest weights version that a server was seen with; 0 for none. */
  findVersion(server: BackendServerId): number
  listLoads(): ServerLoads
  /** Whether a call waits for long at a server that gave no sign of life since. */
  isSuspect(server: BackendServerId): boolean
  /** Lists those of `servers` that failed lately and should rest. */
  listEjected(servers: readonly EjectableServer[]): ReadonlySet<BackendServerId>
}

/** Most backend servers of a group that may be ejected at once, as a share of them. */
const MAX_EJECTED_RATIO = 0.5
/** Incarnations of servers whose version is remembered: several times those of a large fleet. */
const MAX_VERSIONS = 5_000
/**
 * Time without any sign of life after which a server is suspected, in ms: above the longest work of
 * a plain service (450 ms) and the reading of most prompts, below the callers' patience.
 */
export const SUSPECT_AFTER_MS = 700
const TINY_MS = 1e-3
const NO_LOAD: ServerLoad = { calls: 0, promptTokens: 0 }

/** Creates a board without calls. */
export function createServerBoard(timers: TimerService): ServerBoard {
  const loads = new Map<BackendServerId, ServerLoad>()
  /** Start of each call in progress by server, oldest first. */
  const openedAt = new Map<BackendServerId, Set<number>>()
  const signAt = new Map<BackendServerId, number>()
  const versions = new LRUCache<BackendServerId, number>({ max: MAX_VERSIONS })
  const ejection = createEjection({ findMaxRatio: () => MAX_EJECTED_RATIO })
  const addLoad = (server: BackendServerId, calls: number, promptTokens: number) => {
    const load = loads.get(server) ?? NO_LOAD
    const next = { calls: load.calls + calls, promptTokens: load.promptTokens + promptTokens }
    if (next.calls <= 0) loads.delete(server)
    else loads.set(server, next)
  }
  const recordOutcome = (server: BackendServerId, outcome: 'ok' | 'failed' | 'unreachable') => {
    const now = timers.now()
    ejection.record(server, outcome === 'ok' ? 'ok' : 'failed', now)
    // Nobody listens there: a second proof is not needed.
    if (outcome === 'unreachable') ejection.record(server, 'failed', now)
  }
  return {
    open: (server, promptTokens) => {
      let pendingTokens = promptTokens
      let isOpen = true
      // Calls of one instant are told apart by a fraction that no clock shows.
      const at = timers.now() + Math.random() * TINY_MS
      const opened = openedAt.get(server) ?? new Set()
      openedAt.set(server, opened.add(at))
      addLoad(server, 1, promptTokens)
      const recordFirstPart = () => {
        if (pendingTokens === 0) return
        addLoad(server, 0, -pendingTokens)
        pendingTokens = 0
      }
      return {
        recordFirstPart,
        recordSign: () => void signAt.set(server, timers.now()),
        isUnanswered: () => (signAt.get(server) ?? -Infinity) < at,
        finish: (outcome) => {
          if (!isOpen) return
          isOpen = false
          opened.delete(at)
          if (opened.size === 0) openedAt.delete(server)
          addLoad(server, -1, -pendingTokens)
          if (outcome !== 'none') recordOutcome(server, outcome)
        },
      }
    },
    recordVersion: (server, version) => {
      if (version > (versions.get(server) ?? 0)) versions.set(server, version)
    },
    findVersion: (server) => versions.get(server) ?? 0,
    findLoad: (server) => loads.get(server) ?? NO_LOAD,
    isSuspect: (server) => {
      const [oldest] = openedAt.get(server) ?? []
      if (oldest === undefined || timers.now() - oldest < SUSPECT_AFTER_MS) return false
      return (signAt.get(server) ?? -Infinity) < oldest
    },
    listLoads: () => Object.fromEntries(loads),
    listEjected: (servers) => ejection.listEjected(servers, timers.now()),
  }
}
