/**
 * Tracks servers that asked this process to back off or announced their shutdown. The caller passes in all times; this
 * module reads no clock and does no I/O. A signal applies only to the process that received it, and to the incarnation
 * of the server that sent it.
 */
import type { BackendServerId } from '@spoolgate/core'
import { LRUCache } from 'lru-cache'

/** Whether requests may be sent to a server now. */
export type SendVerdict =
  | { readonly kind: 'open' }
  /** One request may be sent, to find out whether the server accepts work again. */
  | { readonly kind: 'trial' }
  /** No request may be sent before `until`, in ms of the caller's clock. */
  | { readonly kind: 'backingOff'; readonly until: number }
  /** The server announced its shutdown; no request may be sent for {@link SHUTDOWN_RETRY_MS}. */
  | { readonly kind: 'leaving' }

/** Backoffs and shutdowns of servers; see {@link createBackpressure}. Times are in ms of one monotonic clock. */
export interface Backpressure {
  /** Records a Retry-After received from a server. */
  recordBackoff(server: BackendServerId, retryAfterMs: number, now: number): void
  /** Records that a server announced its shutdown. */
  recordLeaving(server: BackendServerId, now: number): void
  /** Records that a request was sent; the first one after a backoff is the trial. */
  recordSend(server: BackendServerId, now: number): void
  /** Decides whether a request may be sent to a server. */
  judgeSend(server: BackendServerId, now: number): SendVerdict
  /** Copies a recent backoff to the next incarnation of a server, which may have been the one that requested it. */
  carryOver(previous: BackendServerId, restarted: BackendServerId, now: number): void
  /** Lists the servers whose backoff has not ended. */
  listBackingOff(now: number): readonly BackendServerId[]
}

/** Upper bound on a server's Retry-After, in ms. */
export const MAX_BACKOFF_MS = 600_000
/** Time after which a server that announced its shutdown receives requests again, in ms. */
const SHUTDOWN_RETRY_MS = 600_000
/**
 * Time between the trial request after a backoff and the next request, in ms. An overloaded server rejects the trial
 * immediately, so its rejection arrives within this time.
 */
export const TRIAL_INTERVAL_MS = 200
/**
 * Age up to which a signal may come from the next incarnation, in ms: a restarted server answers requests before its
 * first heartbeat has reached the routers.
 */
export const CARRY_OVER_MAX_AGE_MS = 5_000
/** Incarnations tracked: several times the number of servers in a large fleet. */
const MAX_TRACKED_SERVERS = 5_000

interface Backoff {
  /** Time at which it was requested. */
  readonly requestedAt: number
  until: number
  /** Whether the trial request was sent. */
  isTrialSent: boolean
}

const OPEN: SendVerdict = { kind: 'open' }
const TRIAL: SendVerdict = { kind: 'trial' }
const LEAVING: SendVerdict = { kind: 'leaving' }

/** Creates a tracker in which all servers are open. */
export function createBackpressure(): Backpressure {
  const backoffs = new LRUCache<BackendServerId, Backoff>({ max: MAX_TRACKED_SERVERS })
  const leavingUntil = new LRUCache<BackendServerId, number>({ max: MAX_TRACKED_SERVERS })

  return {
    recordBackoff: (server, retryAfterMs, now) => {
      const requestedUntil = now + Math.min(retryAfterMs, MAX_BACKOFF_MS)
      // Responses can arrive out of order, so a later one never shortens a backoff.
      const until = Math.max(requestedUntil, backoffs.get(server)?.until ?? requestedUntil)
      backoffs.set(server, { requestedAt: now, until, isTrialSent: false })
    },
    recordLeaving: (server, now) => void leavingUntil.set(server, now + SHUTDOWN_RETRY_MS),
    recordSend: (server, now) => {
      const backoff = backoffs.get(server)
      if (!backoff || now < backoff.until) return
      if (backoff.isTrialSent) backoffs.delete(server)
      else
        backoffs.set(server, {
          requestedAt: backoff.requestedAt,
          until: now + TRIAL_INTERVAL_MS,
          isTrialSent: true,
        })
    },
    judgeSend: (server, now) => {
      if (now < (leavingUntil.get(server) ?? -Infinity)) return LEAVING
      const backoff = backoffs.get(server)
      if (!backoff) return OPEN
      if (now < backoff.until) return { kind: 'backingOff', until: backoff.until }
      return backoff.isTrialSent ? OPEN : TRIAL
    },
    carryOver: (previous, restarted, now) => {
      const backoff = backoffs.get(previous)
      if (!backoff || now - backoff.requestedAt > CARRY_OVER_MAX_AGE_MS || backoffs.has(restarted))
        return
      backoffs.set(restarted, { ...backoff })
    },
    listBackingOff: (now) =>
      [...backoffs].flatMap(([server, { until }]) => (now < until ? [server] : [])),
  }
}
