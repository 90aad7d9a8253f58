/** Statistics of each backend server from this router's own calls: load, failures, activity and weights version. */
import type { BackendServerId, TimerService } from '@spoolgate/core'
import type { ServerLoad, ServerLoads } from '@spoolgate/control'
import { LRUCache } from 'lru-cache'

/** How a call ended, as far as it reflects on the server. */
export type CallOutcome = 'ok' | 'failed' | 'none'

/** A call in progress at a backend server. */
export interface TrackedCall {
  /** Records that the first chunk of the response arrived, so the prefill is done. */
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
  /**
   * Starts tracking a call that is sent; `uncachedTokens` is the part of its prompt that the server has to prefill, and
   * `kvTokens` its prompt tokens and maximum generated tokens.
   */
  startCall(server: BackendServerId, uncachedTokens: number, kvTokens?: number): TrackedCall
  findLoad(server: BackendServerId): ServerLoad
  /** Prompt tokens and maximum generated tokens of the calls in progress at a server. */
  findKvTokens(server: BackendServerId): number
  listLoads(): ServerLoads
  /** Records the weights version of a model that a server stated in the response to a request, which was sent at `sentAt`. */
  recordVersion(server: BackendServerId, model: string, version: number, sentAt: number): void
  /** Finds the newest weights version that a server was seen with; 0 for none. */
  findVersion(server: BackendServerId, model: string): number
  /** Moving average of the ratio of calls that a server failed, from 0 to 1. */
  findFailureRate(server: BackendServerId): number
}

/** Server incarnations that are tracked: several times the servers of a large fleet. */
const MAX_SERVERS = 5_000
/** Pairs of a server and a model whose version is tracked: a few models per server. */
const MAX_VERSIONS = 4 * MAX_SERVERS
/** Weight of the latest call in the failure rate, which thus covers about ten calls. */
const FAILURE_WEIGHT = 0.1
const NO_LOAD: ServerLoad = { calls: 0, promptTokens: 0 }

/** A weights version, and when a server stated it. */
interface StatedVersion {
  readonly version: number
  readonly statedAt: number
}

function formatVersionKey(server: BackendServerId, model: string): string {
  return `${server} ${model}`
}

/**
 * Creates statistics without calls.
 * @param onRelieved called after a call gave its first chunk or ended, so that its server may have capacity again
 */
export function createServerStats(
  timers: TimerService,
  onRelieved: () => void = () => {},
): ServerStats {
  const loads = new Map<BackendServerId, ServerLoad>()
  const kvLoads = new Map<BackendServerId, number>()
  const lastActivityAt = new LRUCache<BackendServerId, number>({ max: MAX_SERVERS })
  const versions = new LRUCache<string, StatedVersion>({ max: MAX_VERSIONS })
  const failureRates = new LRUCache<BackendServerId, number>({ max: MAX_SERVERS })

  const addLoad = (server: BackendServerId, calls: number, promptTokens: number) => {
    const load = loads.get(server) ?? NO_LOAD
    const updatedLoad = {
      calls: load.calls + calls,
      promptTokens: load.promptTokens + promptTokens,
    }
    if (updatedLoad.calls <= 0) loads.delete(server)
    else loads.set(server, updatedLoad)
  }
  const addKvTokens = (server: BackendServerId, kvTokens: number) => {
    const sum = (kvLoads.get(server) ?? 0) + kvTokens
    if (sum <= 0) kvLoads.delete(server)
    else kvLoads.set(server, sum)
  }
  const recordOutcome = (server: BackendServerId, outcome: CallOutcome) => {
    if (outcome === 'none') return
    const rate = failureRates.get(server) ?? 0
    const failure = outcome === 'failed' ? 1 : 0
    failureRates.set(server, rate + FAILURE_WEIGHT * (failure - rate))
  }
  return {
    startCall: (server, uncachedTokens, kvTokens = 0) => {
      const startedAt = timers.now()
      let tokensToPrefill = uncachedTokens
      let isInProgress = true
      addLoad(server, 1, uncachedTokens)
      addKvTokens(server, kvTokens)
      return {
        recordFirstChunk: () => {
          if (tokensToPrefill === 0 || !isInProgress) return
          addLoad(server, 0, -tokensToPrefill)
          tokensToPrefill = 0
          onRelieved()
        },
        recordActivity: () => void lastActivityAt.set(server, timers.now()),
        hasNoServerActivity: () => (lastActivityAt.get(server) ?? -Infinity) < startedAt,
        finish: (outcome) => {
          if (!isInProgress) return
          isInProgress = false
          addLoad(server, -1, -tokensToPrefill)
          addKvTokens(server, -kvTokens)
          recordOutcome(server, outcome)
          onRelieved()
        },
      }
    },
    findLoad: (server) => loads.get(server) ?? NO_LOAD,
    findKvTokens: (server) => kvLoads.get(server) ?? 0,
    listLoads: () => Object.fromEntries(loads),
    recordVersion: (server, model, version, sentAt) => {
      const key = formatVersionKey(server, model)
      const stated = versions.get(key)
      // Responses can arrive out of order, but a server does not go back: if it states a lower version to a request
      // that was sent after the higher one had arrived, the higher one was wrong.
      const isUsed = !stated || version > stated.version || sentAt > stated.statedAt
      if (isUsed && version !== stated?.version)
        versions.set(key, { version, statedAt: timers.now() })
    },
    findVersion: (server, model) => versions.get(formatVersionKey(server, model))?.version ?? 0,
    findFailureRate: (server) => failureRates.get(server) ?? 0,
  }
}
