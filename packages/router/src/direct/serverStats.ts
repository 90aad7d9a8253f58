/** What a router knows first-hand of each backend server: its own calls there and how they ended. */
import type { BackendServerId, TimerService } from '@spoolgate/core'
import type { ServerLoad, ServerLoads } from '@spoolgate/control'
import { LRUCache } from 'lru-cache'

/** How a call ended, as far as it says something of the server. */
export type CallOutcome = 'ok' | 'failed' | 'none'

/** A call in progress at a backend server. */
export interface TrackedCall {
  /** Notes that the prompt has been read: the first part of the answer is here. */
  recordFirstChunk(): void
  /** Notes any sign of life of the server. */
  recordActivity(): void
  /** Whether the server has given no sign of life since the call was sent. */
  hasNoServerActivity(): boolean
  /** Notes the end of the call. */
  finish(outcome: CallOutcome): void
}

/** First-hand knowledge; see {@link createServerStats}. */
export interface ServerStats {
  /** Notes that a call is sent. */
  startCall(server: BackendServerId, promptTokens: number): TrackedCall
  findLoad(server: BackendServerId): ServerLoad
  listLoads(): ServerLoads
  /** Notes the weights version that a server named in an answer. */
  recordVersion(server: BackendServerId, version: number): void
  /** Finds the highest weights version that a server was seen with; 0 for none. */
  findVersion(server: BackendServerId): number
  /** Part of the last calls that a server failed, from 0 to 1. */
  findFailureRate(server: BackendServerId): number
}

/** Incarnations of servers that are remembered: several times those of a large fleet. */
const MAX_SERVERS = 5_000
/** Weight of the last call in the failure rate: about ten calls count. */
const FAILURE_WEIGHT = 0.1
const NO_LOAD: ServerLoad = { calls: 0, promptTokens: 0 }

/** Creates a board without calls. */
export function createServerStats(timers: TimerService): ServerStats {
  const loads = new Map<BackendServerId, ServerLoad>()
  const signAt = new LRUCache<BackendServerId, number>({ max: MAX_SERVERS })
  const versions = new LRUCache<BackendServerId, number>({ max: MAX_SERVERS })
  const failureRates = new LRUCache<BackendServerId, number>({ max: MAX_SERVERS })

  const addLoad = (server: BackendServerId, calls: number, promptTokens: number) => {
    const load = loads.get(server) ?? NO_LOAD
    const next = { calls: load.calls + calls, promptTokens: load.promptTokens + promptTokens }
    if (next.calls <= 0) loads.delete(server)
    else loads.set(server, next)
  }
  const recordOutcome = (server: BackendServerId, outcome: CallOutcome) => {
    if (outcome === 'none') return
    const rate = failureRates.get(server) ?? 0
    const last = outcome === 'failed' ? 1 : 0
    failureRates.set(server, rate + FAILURE_WEIGHT * (last - rate))
  }
  return {
    startCall: (server, promptTokens) => {
      const openedAt = timers.now()
      let pendingTokens = promptTokens
      let isOpen = true
      addLoad(server, 1, promptTokens)
      return {
        recordFirstChunk: () => {
          if (pendingTokens === 0 || !isOpen) return
          addLoad(server, 0, -pendingTokens)
          pendingTokens = 0
        },
        recordActivity: () => void signAt.set(server, timers.now()),
        hasNoServerActivity: () => (signAt.get(server) ?? -Infinity) < openedAt,
        finish: (outcome) => {
          if (!isOpen) return
          isOpen = false
          addLoad(server, -1, -pendingTokens)
          recordOutcome(server, outcome)
        },
      }
    },
    findLoad: (server) => loads.get(server) ?? NO_LOAD,
    listLoads: () => Object.fromEntries(loads),
    recordVersion: (server, version) => {
      if (version > (versions.get(server) ?? 0)) versions.set(server, version)
    },
    findVersion: (server) => versions.get(server) ?? 0,
    findFailureRate: (server) => failureRates.get(server) ?? 0,
  }
}
