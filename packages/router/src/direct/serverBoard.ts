/** What a router knows first-hand of each backend server: its own calls there and how they ended. */
import type { BackendServerId, TimerService } from '@spoolgate/core'
import type { ServerLoad, ServerLoads } from '@spoolgate/control'
import { LRUCache } from 'lru-cache'
import { createEjection, type EjectableServer } from '@spoolgate/routing'

/** A call in progress at a backend server. */
export interface CallTicket {
  /** Notes that the prompt has been read: the first part of the answer is here. */
  recordFirstPart(): void
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
  /** Lists those of `servers` that failed lately and should rest. */
  listEjected(servers: readonly EjectableServer[]): ReadonlySet<BackendServerId>
}

/** Most backend servers of a group that may be ejected at once, as a share of them. */
const MAX_EJECTED_RATIO = 0.5
/** Incarnations of servers whose version is remembered: several times those of a large fleet. */
const MAX_VERSIONS = 5_000
const NO_LOAD: ServerLoad = { calls: 0, promptTokens: 0 }

/** Creates a board without calls. */
export function createServerBoard(timers: TimerService): ServerBoard {
  const loads = new Map<BackendServerId, ServerLoad>()
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
      addLoad(server, 1, promptTokens)
      const recordFirstPart = () => {
        if (pendingTokens === 0) return
        addLoad(server, 0, -pendingTokens)
        pendingTokens = 0
      }
      return {
        recordFirstPart,
        finish: (outcome) => {
          if (!isOpen) return
          isOpen = false
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
    listLoads: () => Object.fromEntries(loads),
    listEjected: (servers) => ejection.listEjected(servers, timers.now()),
  }
}
