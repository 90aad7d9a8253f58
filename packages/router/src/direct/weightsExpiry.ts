/**
 * Enforces the maximum age of weights at the time a request begins. Engines where a request would begin too late rank
 * like engines that are loading, and a request that still waits when the weights of its engine expire is withdrawn.
 */
import {
  findSupersededAt,
  LAST_SEND_RATIO,
  type FleetView,
  type RegisteredServer,
} from '@spoolgate/control'
import type { BackendServerId, TimerService } from '@spoolgate/core'
import { Subscription } from 'rxjs'
import { findVersion } from './prefixLocations.js'
import type { Candidate } from './serverRanking.js'
import type { ServerStats } from './serverStats.js'

/** Options of {@link createWeightsExpiry}. */
export interface WeightsExpiryOptions {
  /** Maximum time in ms after a newer version became the target for which a request may begin; Infinity for no limit. */
  readonly maxAgeMs: number
  readonly findView: () => FleetView | undefined
  readonly serverStats: ServerStats
  readonly timers: TimerService
}

/** A request that was sent to an engine and has not begun there, as far as the router knows. */
export interface WaitingRequest {
  readonly server: BackendServerId
  readonly model: string
  /** Weights version of the engine when the request was sent; undefined if the model is not loaded there. */
  readonly version: number | undefined
  /** Called once when the weights of the engine expire. */
  readonly onExpired: () => void
}

/** See {@link createWeightsExpiry}. */
export interface WeightsExpiry {
  /** Whether no request may be sent to a server any more because its weights are too old. */
  isExpired(view: FleetView, server: RegisteredServer): boolean
  /** Whether a request that is sent now is expected to begin before the weights of the candidate reach the limit. */
  isStartInTime(candidate: Pick<Candidate, 'supersededAt' | 'expectedMs'>): boolean
  /** Watches a request until it is unsubscribed. */
  watch(request: WaitingRequest): Subscription
}

/** Interval between checks of the waiting requests, in ms. */
const CHECK_PERIOD_MS = 50
/** Time before the limit at which requests are withdrawn, in ms: the engine has to receive the withdrawal. */
const WITHDRAWAL_MARGIN_MS = 250

/** Creates the enforcement for one router. */
export function createWeightsExpiry(options: WeightsExpiryOptions): WeightsExpiry {
  const { maxAgeMs, findView, serverStats, timers } = options
  const waiting = new Set<WaitingRequest>()
  let checks: Subscription | undefined

  /** Finds the version that the engine has now; one that left the fleet keeps what it had. */
  const findCurrentVersion = (view: FleetView, { server: id, model, version }: WaitingRequest) => {
    const server = view.servers.get(id)
    return (server && findVersion(server, model, serverStats)) ?? version
  }
  const isOverdue = (request: WaitingRequest): boolean => {
    const view = findView()
    const version = view && findCurrentVersion(view, request)
    if (!view || version === undefined) return false
    const supersededAt = findSupersededAt(view.versionTimes, request.model, version) ?? Infinity
    return timers.now() >= supersededAt + maxAgeMs - WITHDRAWAL_MARGIN_MS
  }
  const checkWaiting = () => {
    for (const request of [...waiting].filter(isOverdue)) {
      waiting.delete(request)
      request.onExpired()
    }
  }
  const removeRequest = (request: WaitingRequest) => {
    waiting.delete(request)
    if (waiting.size > 0) return
    checks?.unsubscribe()
    checks = undefined
  }
  return {
    isExpired: (view, { id, weights }) =>
      view.expired.has(id) ||
      weights.some(({ model, version }) => {
        const supersededAt = findSupersededAt(view.versionTimes, model, version) ?? Infinity
        return timers.now() > supersededAt + maxAgeMs * LAST_SEND_RATIO
      }),
    isStartInTime: ({ supersededAt = Infinity, expectedMs }) =>
      timers.now() + expectedMs <= supersededAt + maxAgeMs - WITHDRAWAL_MARGIN_MS,
    watch: (request) => {
      if (maxAgeMs === Infinity) return Subscription.EMPTY
      waiting.add(request)
      checks ??= timers.every(CHECK_PERIOD_MS).subscribe(checkWaiting)
      return new Subscription(() => removeRequest(request))
    },
  }
}
