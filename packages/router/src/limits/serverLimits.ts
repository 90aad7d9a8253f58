/**
 * Keeps a router within its part of the rate limits that servers name for all routers together. Facts in, verdicts out;
 * no clock and no socket. Without a part of a limited server's rate, a router sends nothing there.
 */
import type { AssignedLimit, LimitReport, LimitsUpdate, ObservedLimits } from '@spoolgate/control'
import type { BackendServerId } from '@spoolgate/core'
import { CARRY_OVER_MAX_AGE_MS } from '@spoolgate/routing'
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
  applyUpdate(update: LimitsUpdate, askedAt: number, now: number): void
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
const PROBE_RATE = 0.5
/** Time without an answer after which a limited server should get a request, in ms. */
const PROBE_AFTER_MS = 2_000
/** Time for which unused rate is saved up, in ms. */
const BURST_MS = 1_000
/** Time after which an unchanged limit is reported again, in ms. */
const REPORT_PERIOD_MS = 2_000
/** Retry delay for a server of whose rate this router has no part, in ms. */
const NO_PART_RETRY_MS = 1_000
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
  part: number
  tokens: number
  filledAt: number
}

const OPEN: LimitVerdict = { kind: 'open' }

function findRatePerMs({ perSecond = 0, part }: LimitState): number {
  return (part * Math.max(PROBE_RATE, perSecond)) / MS_PER_S
}

function settleBucket(state: LimitState, now: number): void {
  const ratePerMs = findRatePerMs(state)
  const capacity = ratePerMs === 0 ? 0 : Math.max(1, ratePerMs * BURST_MS)
  const passedMs = Math.max(0, now - state.filledAt)
  state.tokens = Math.min(capacity, state.tokens + ratePerMs * passedMs)
  state.filledAt = now
}

/** Whether a limit allows more than another; no limit allows the most. */
function isLooser(a: number | undefined, b: number | undefined): boolean {
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
      part: 0,
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
  const applyNews = (news: AssignedLimit, askedAt: number, now: number) => {
    const server = news.server as BackendServerId
    const perSecond = news.perSecond ?? undefined
    // Dated late, a limit is kept for longer; dated early, the end of one is no newer than it was.
    const at = (perSecond === undefined ? askedAt : now) - news.ageMs
    const known = states.get(server)
    if (!known) return perSecond === undefined ? undefined : addState(server, perSecond, at, now)
    const isNewer = at > known.at
    if (known.perSecond === perSecond) {
      known.at = Math.max(known.at, at)
    } else if (isNewer || !known.isOwn) {
      setLimit(known, perSecond, now)
      Object.assign(known, { at, isOwn: false })
    } else {
      known.acknowledged = undefined
    }
    return known
  }
  /** Own observations that the leader does not know are reported again; those of others are dropped. */
  const reconcileUnlisted = (listed: ReadonlySet<string>) => {
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
      const known = states.get(server)
      if (!known && perSecond === undefined) return false
      const state = known ?? addState(server, perSecond ?? 0, now, now)
      // Responses can arrive out of order: only a request sent after the newest one shows a looser limit.
      if (isLooser(perSecond, state.perSecond) && sentAt < state.at) return false
      const isChanged = !known || state.perSecond !== perSecond
      if (isChanged) setLimit(state, perSecond, now)
      Object.assign(state, { at: now, isOwn: true })
      return isChanged
    },
    applyUpdate: ({ servers, hasParts }, askedAt, now) => {
      for (const news of servers) {
        const state = applyNews(news, askedAt, now)
        if (!state || !hasParts) continue
        settleBucket(state, now)
        state.part = news.part ?? 0
      }
      if (hasParts) reconcileUnlisted(new Set(servers.map(({ server }) => server)))
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
      const waitMs = ratePerMs === 0 ? NO_PART_RETRY_MS : (1 - state.tokens) / ratePerMs
      return { kind: 'limited', until: now + waitMs }
    },
    carryOver: (before, after, now) => {
      const state = states.get(before)
      if (!state || now - state.at > CARRY_OVER_MAX_AGE_MS || states.has(after)) return
      states.set(after, { ...state, acknowledged: undefined, part: 0, tokens: 0 })
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
