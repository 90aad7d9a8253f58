/** Statistics of each backend server from this router's own calls: load, failures, activity and weights version. */
import type { BackendServerId, TimerService } from '@spoolgate/core'
import type { ServerLoad, ServerLoads } from '@spoolgate/control'
import { LRUCache } from 'lru-cache'

/** How a call ended, as far as it reflects on the server. */
export type CallOutcome = 'ok' | 'failed' | 'none'

/** A call in progress at a backend server. */
export interface TrackedCall {
  /** Records that the first part of the answer arrived, so the prefill is done. */
  recordFirstChunk(): void
  /** Records activity of the server. */
  recordActivity(): void
  /** Whether the server has shown no activity since the call was sent. */
  hasNoServerActivity(): boolean
  /** Records the end of the call. */
  finish(outcome: CallOutcome): void
}

/** Statistics by backend server; see {@link createServerStats}. */
export interface ServerStats {
  /** Records that a call is sent, and tracks it. */
  startCall(server: BackendServerId, promptTokens: number): TrackedCall
  findLoad(server: BackendServerId): ServerLoad
  listLoads(): ServerLoads
  /** Records the weights version that a server stated in an answer. */
  recordVersion(server: BackendServerId, version: number): void
  /** Finds the highest weights version that a server was seen with; 0 for none. */
  findVersion(server: BackendServerId): number
  /** Moving average of the ratio of calls that a server failed, from 0 to 1. */
  findFailureRate(server: BackendServerId): number
}

/** Server incarnations that are tracked: several times the servers of a large fleet. */
const MAX_SERVERS = 5_000
/** Weight of the latest call in the failure rate, which thus covers about ten calls. */
const FAILURE_WEIGHT = 0.1
const NO_LOAD: ServerLoad = { calls: 0, promptTokens: 0 }

/** Creates statistics without calls. */
export function createServerStats(timers: TimerService): ServerStats {
  const loads = new Map<BackendServerId, ServerLoad>()
  const lastActivityAt = new LRUCache<BackendServerId, number>({ max: MAX_SERVERS })
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
      let unreadTokens = promptTokens
      let isOpen = true
      addLoad(server, 1, promptTokens)
      return {
        recordFirstChunk: () => {
          if (unreadTokens === 0 || !isOpen) return
          addLoad(server, 0, -unreadTokens)
          unreadTokens = 0
        },
        recordActivity: () => void lastActivityAt.set(server, timers.now()),
        hasNoServerActivity: () => (lastActivityAt.get(server) ?? -Infinity) < openedAt,
        finish: (outcome) => {
          if (!isOpen) return
          isOpen = false
          addLoad(server, -1, -unreadTokens)
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
