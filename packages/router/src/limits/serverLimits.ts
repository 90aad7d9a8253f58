/**
 * Keeps a router within its part of the rate limits that servers name for all routers together. Facts in, verdicts out;
 * no clock and no socket. Without a part of a limited server's rate, a router sends nothing there.
 */
import type { AssignedLimit, LimitReport, LimitsUpdate, ObservedLimits } from '@spoolgate/control'
import type { BackendServerId } from '@spoolgate/core'
import { CARRY_OVER_MS } from '@spoolgate/routing'
import { LRUCache } from 'lru-cache'

/** Whether a limit permits a request now. */
export type LimitVerdict =
  | { readonly kind: 'open' }
  /** Nothing until then, an instant of the clock that the facts were dated by, in ms. */
  | { readonly kind: 'limited'; readonly until: number }

/** What an answer of a server shows of its limit. */
export interface LimitObservation {
  /** Requests a second from all routers together; undefined where the server names no limit. */
  readonly perSecond: number | undefined
  /** When the request was sent, in ms. */
  readonly sentAt: number
}

/** See {@link createServerLimits}. Instants are in ms of one monotonic clock. */
export interface ServerLimits {
  /** Records what an answer to this router shows; true where the limit changed. */
  recordResponse(server: BackendServerId, observation: LimitObservation, now: number): boolean
  /** Applies what the leader knows from all routers, as of an instant at or after `askedAt`. */
  applyUpdate(update: LimitsUpdate, requestedAt: number, now: number): void
  recordSend(server: BackendServerId, now: number): void
  judgeSend(server: BackendServerId, now: number): LimitVerdict
  /** Keeps a recent limit for the next start of a server, which may have been the one that named it. */
  carryOver(before: BackendServerId, after: BackendServerId, now: number): void
  isLimited(server: BackendServerId): boolean
  /** Whether a limit that permits a request was not confirmed lately. */
  isProbeDue(server: BackendServerId, now: number): boolean
  countLimited(): number
  /** Lists this router's own observations that the leader of a term has not acknowledged. */
  listUnreported(term: number, now: number): ObservedLimits
  recordAcknowledged(observed: ObservedLimits): void
}

/** Lowest rate to a limited server, in requests a second: without any, nobody sees that the limit is gone. */
const MIN_RATE = 0.5
/** Time without an answer after which a limited server should get a request, in ms. */
const PROBE_AFTER_MS = 2_000
/** Time for which unused rate is saved up, in ms. */
const BURST_MS = 1_000
/** Time after which an unchanged limit is reported again, in ms. */
const REPORT_PERIOD_MS = 2_000
/** Retry delay for a server of whose rate this router has no part, in ms. */
const NO_SHARE_RETRY_MS = 1_000
/** Incarnations that are remembered: several times those of a large fleet. */
const MAX_SERVERS = 5_000
const MS_PER_S = 1_000

interface LimitState {
  /** Undefined for no limit. */
  perSecond: number | undefined
  /** When this was observed, here or at another router. */
  at: number
  /** Whether an answer to this router showed it. */
  isOwn: boolean
  /** What the leader acknowledged last. */
  acknowledged:
    { readonly term: number; readonly report: LimitReport; readonly at: number } | undefined
  /** Part of the rate that this router may use, 0 to 1. */
  share: number
  tokens: number
  filledAt: number
}

const OPEN: LimitVerdict = { kind: 'open' }

function findRatePerMs({ perSecond = 0, share }: LimitState): number {
  return (share * Math.max(MIN_RATE, perSecond)) / MS_PER_S
}

function refillBucket(state: LimitState, now: number): void {
  const ratePerMs = findRatePerMs(state)
  const capacity = ratePerMs === 0 ? 0 : Math.max(1, ratePerMs * BURST_MS)
  const elapsedMs = Math.max(0, now - state.filledAt)
  state.tokens = Math.min(capacity, state.tokens + ratePerMs * elapsedMs)
  state.filledAt = now
}

/** Whether a limit allows more than another; no limit allows the most. */
function isHigherLimit(a: number | undefined, b: number | undefined): boolean {
  return (a ?? Infinity) > (b ?? Infinity)
}

/** Creates a record without limits. */
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
    refillBucket(state, now)
    if (state.perSecond === undefined) state.tokens = Math.min(0, state.tokens)
    state.perSecond = perSecond
  }
  const applyAssignedLimit = (assigned: AssignedLimit, requestedAt: number, now: number) => {
    const server = assigned.server as BackendServerId
    const perSecond = assigned.perSecond ?? undefined
    // Dated late, a limit is kept for longer; dated early, the end of one is no newer than it was.
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
  /** Own observations that the leader does not know are reported again; those of others are dropped. */
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
      // Responses can arrive out of order: only a request sent after the newest one shows a looser limit.
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
        refillBucket(state, now)
        state.share = assigned.part ?? 0
      }
      if (hasParts) reconcileMissing(new Set(servers.map(({ server }) => server)))
    },
    recordSend: (server, now) => {
      const state = states.get(server)
      if (!state) return
      refillBucket(state, now)
      state.tokens -= 1
    },
    judgeSend: (server, now) => {
      const state = states.get(server)
      if (state?.perSecond === undefined) return OPEN
      refillBucket(state, now)
      if (state.tokens >= 1) return OPEN
      const ratePerMs = findRatePerMs(state)
      const waitMs = ratePerMs === 0 ? NO_SHARE_RETRY_MS : (1 - state.tokens) / ratePerMs
      return { kind: 'limited', until: now + waitMs }
    },
    carryOver: (before, after, now) => {
      const state = states.get(before)
      if (!state || now - state.at > CARRY_OVER_MS || states.has(after)) return
      states.set(after, { ...state, acknowledged: undefined, share: 0, tokens: 0 })
    },
    isLimited: (server) => states.get(server)?.perSecond !== undefined,
    isProbeDue: (server, now) => {
      const state = states.get(server)
      if (state?.perSecond === undefined || now - state.at < PROBE_AFTER_MS) return false
      refillBucket(state, now)
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
