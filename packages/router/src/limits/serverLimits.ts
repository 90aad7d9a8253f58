/**
 * Keeps a router within its share of the rate limits that servers announce for all routers together. Has no timers and
 * does no I/O: callers pass in the time and the messages. A router without a share of a limited server's rate sends it
 * nothing.
 */
import type { AssignedLimit, LimitReport, LimitsUpdate, ObservedLimits } from '@spoolgate/control'
import type { BackendServerId } from '@spoolgate/core'
import { CARRY_OVER_MAX_AGE_MS } from '@spoolgate/routing'
import { LRUCache } from 'lru-cache'

/** Whether a rate limit permits a request now. */
export type LimitVerdict =
  | { readonly kind: 'open' }
  /** No request before `until`, in ms of the clock passed as `now`. */
  | { readonly kind: 'limited'; readonly until: number }

/** The rate limit in a server's response. */
export interface LimitObservation {
  /** Requests per second from all routers together; undefined if the server announces no limit. */
  readonly perSecond: number | undefined
  /** When the request was sent, in ms. */
  readonly sentAt: number
}

/** See {@link createServerLimits}. Times are in ms of one monotonic clock. */
export interface ServerLimits {
  /** Records the limit in a response to this router; returns whether the limit changed. */
  recordResponse(server: BackendServerId, observation: LimitObservation, now: number): boolean
  /** Applies the limits known to the leader, as of some time at or after `requestedAt`. */
  applyUpdate(update: LimitsUpdate, requestedAt: number, now: number): void
  recordSend(server: BackendServerId, now: number): void
  judgeSend(server: BackendServerId, now: number): LimitVerdict
  /** Copies a recent limit to the next incarnation of a server, which may be the one that announced it. */
  carryOver(before: BackendServerId, after: BackendServerId, now: number): void
  isLimited(server: BackendServerId): boolean
  /** Whether a limit that permits a request now has not been confirmed recently. */
  isProbeDue(server: BackendServerId, now: number): boolean
  countLimited(): number
  /** Lists this router's observations that the leader of a term has not acknowledged. */
  listUnreported(term: number, now: number): ObservedLimits
  recordAcknowledged(observed: ObservedLimits): void
}

/** Minimum rate to a limited server, in requests per second: without requests, no response could withdraw the limit. */
const MIN_RATE = 0.5
/** Time without a response after which a limited server is probed, in ms. */
const PROBE_AFTER_MS = 2_000
/** Capacity of the token bucket, as time at the permitted rate, in ms. */
const BURST_MS = 1_000
/** Interval at which an unchanged limit is reported again, in ms. */
const REPORT_PERIOD_MS = 2_000
/** Retry delay for a server whose rate this router has no share of, in ms. */
const NO_SHARE_RETRY_MS = 1_000
/** Maximum number of server incarnations that are remembered: several times those of a large fleet. */
const MAX_SERVERS = 5_000
const MS_PER_S = 1_000

interface LimitState {
  /** Undefined if there is no limit. */
  perSecond: number | undefined
  /** When this was observed, by this or another router. */
  at: number
  /** Whether it was observed in a response to this router. */
  isOwn: boolean
  /** The report that the leader acknowledged last. */
  acknowledged:
    { readonly term: number; readonly report: LimitReport; readonly at: number } | undefined
  /** Fraction of the rate that this router may use, 0 to 1. */
  share: number
  tokens: number
  filledAt: number
}

const OPEN: LimitVerdict = { kind: 'open' }

function findRatePerMs({ perSecond = 0, share }: LimitState): number {
  return (share * Math.max(MIN_RATE, perSecond)) / MS_PER_S
}

function settleBucket(state: LimitState, now: number): void {
  const ratePerMs = findRatePerMs(state)
  const capacity = ratePerMs === 0 ? 0 : Math.max(1, ratePerMs * BURST_MS)
  const elapsedMs = Math.max(0, now - state.filledAt)
  state.tokens = Math.min(capacity, state.tokens + ratePerMs * elapsedMs)
  state.filledAt = now
}

/** Whether limit `a` allows more than limit `b`; undefined is unlimited. */
function isHigherLimit(a: number | undefined, b: number | undefined): boolean {
  return (a ?? Infinity) > (b ?? Infinity)
}

/** Creates an empty set of server limits. */
export function createServerLimits(): ServerLimits {
  const states = new LRUCache<BackendServerId, LimitState>({ max: MAX_SERVERS })

  const addState = (server: BackendServerId, perSecond: number, at: number, now: number) => {
    const state: LimitState = {
      perSecond,
      at,
      isOwn: false,
      acknowledged: undefined,
      share: 0,
      tokens: 0,
      filledAt: now,
    }
    states.set(server, state)
    return state
  }
  const setLimit = (state: LimitState, perSecond: number | undefined, now: number) => {
    settleBucket(state, now)
    if (state.perSecond === undefined) state.tokens = Math.min(0, state.tokens)
    state.perSecond = perSecond
  }
  const applyAssignedLimit = (assigned: AssignedLimit, requestedAt: number, now: number) => {
    const server = assigned.server as BackendServerId
    const perSecond = assigned.perSecond ?? undefined
    // The exact age is unknown: a limit gets the latest possible time and so stays longer, a withdrawal the earliest.
    const at = (perSecond === undefined ? requestedAt : now) - assigned.ageMs
    const existing = states.get(server)
    if (!existing) return perSecond === undefined ? undefined : addState(server, perSecond, at, now)
    const isNewer = at > existing.at
    if (existing.perSecond === perSecond) {
      existing.at = Math.max(existing.at, at)
    } else if (isNewer || !existing.isOwn) {
      setLimit(existing, perSecond, now)
      Object.assign(existing, { at, isOwn: false })
    } else {
      existing.acknowledged = undefined
    }
    return existing
  }
  /** Reports this router's observations that the leader does not list again, and removes those of other routers. */
  const reconcileMissing = (listed: ReadonlySet<string>) => {
    for (const [server, state] of states) {
      if (listed.has(server)) continue
      if (state.isOwn && state.perSecond !== undefined) state.acknowledged = undefined
      else states.delete(server)
    }
  }
  const buildReport = (server: string, { perSecond, at }: LimitState, now: number) => ({
    server,
    perSecond: perSecond ?? null,
    ageMs: Math.max(0, Math.round(now - at)),
  })
  const isUnreported = (state: LimitState, term: number): boolean => {
    const { acknowledged, perSecond, isOwn, at } = state
    if (!isOwn) return false
    if (acknowledged?.term !== term) return true
    if (acknowledged.report.perSecond !== (perSecond ?? null)) return true
    return perSecond !== undefined && at - acknowledged.at >= REPORT_PERIOD_MS
  }
  return {
    recordResponse: (server, { perSecond, sentAt }, now) => {
      const existing = states.get(server)
      if (!existing && perSecond === undefined) return false
      const state = existing ?? addState(server, perSecond ?? 0, now, now)
      // Responses can arrive out of order: only a request sent after the newest one may raise a limit.
      if (isHigherLimit(perSecond, state.perSecond) && sentAt < state.at) return false
      const isChanged = !existing || state.perSecond !== perSecond
      if (isChanged) setLimit(state, perSecond, now)
      Object.assign(state, { at: now, isOwn: true })
      return isChanged
    },
    applyUpdate: ({ servers, hasParts }, requestedAt, now) => {
      for (const assigned of servers) {
        const state = applyAssignedLimit(assigned, requestedAt, now)
        if (!state || !hasParts) continue
        settleBucket(state, now)
        state.share = assigned.part ?? 0
      }
      if (hasParts) reconcileMissing(new Set(servers.map(({ server }) => server)))
    },
    recordSend: (server, now) => {
      const state = states.get(server)
      if (!state) return
      settleBucket(state, now)
      state.tokens -= 1
    },
    judgeSend: (server, now) => {
      const state = states.get(server)
      if (state?.perSecond === undefined) return OPEN
      settleBucket(state, now)
      if (state.tokens >= 1) return OPEN
      const ratePerMs = findRatePerMs(state)
      const waitMs = ratePerMs === 0 ? NO_SHARE_RETRY_MS : (1 - state.tokens) / ratePerMs
      return { kind: 'limited', until: now + waitMs }
    },
    carryOver: (before, after, now) => {
      const state = states.get(before)
      if (!state || now - state.at > CARRY_OVER_MAX_AGE_MS || states.has(after)) return
      states.set(after, { ...state, acknowledged: undefined, share: 0, tokens: 0 })
    },
    isLimited: (server) => states.get(server)?.perSecond !== undefined,
    isProbeDue: (server, now) => {
      const state = states.get(server)
      if (state?.perSecond === undefined || now - state.at < PROBE_AFTER_MS) return false
      settleBucket(state, now)
      return state.tokens >= 1
    },
    countLimited: () =>
      [...states.values()].filter(({ perSecond }) => perSecond !== undefined).length,
    listUnreported: (term, now) => ({
      term,
      reports: [...states].flatMap(([server, state]) =>
        isUnreported(state, term) ? [buildReport(server, state, now)] : [],
      ),
    }),
    recordAcknowledged: ({ term, reports }) => {
      for (const report of reports) {
        const state = states.get(report.server as BackendServerId)
        if (state) state.acknowledged = { term, report, at: state.at }
      }
    },
  }
}
