/**
 * Tracks servers that asked this process to back off or announced their shutdown. Facts in, verdicts out; no clock and no
 * socket. A signal binds its receiver, for the incarnation that sent it.
 */
import type { BackendServerId } from '@spoolgate/core'
import { LRUCache } from 'lru-cache'

/** What may be sent to a server now. */
export type SendVerdict =
  | { readonly kind: 'open' }
  /** One request, which shows whether the server accepts work again. */
  | { readonly kind: 'trial' }
  /** Nothing until then, an instant of the clock that the facts were dated by, in ms. */
  | { readonly kind: 'backingOff'; readonly until: number }
  /** Nothing any more, but for a look after a long time. */
  | { readonly kind: 'leaving' }

/** Servers that back off or leave; see {@link createBackpressure}. Instants are in ms of one monotonic clock. */
export interface Backpressure {
  /** Records a Retry-After of a server. */
  recordBackoff(server: BackendServerId, retryAfterMs: number, now: number): void
  /** Records that a server announced its shutdown. */
  recordLeaving(server: BackendServerId, now: number): void
  /** Records that a request is sent. */
  recordSend(server: BackendServerId, now: number): void
  judgeSend(server: BackendServerId, now: number): SendVerdict
  /** Keeps a recent backoff for the next start of a server, which may have been the one that requested it. */
  carryOver(before: BackendServerId, after: BackendServerId, now: number): void
  /** Lists the servers that back off now. */
  listBackingOff(now: number): readonly BackendServerId[]
}

/** Upper bound on a server's Retry-After, in ms. */
export const MAX_BACKOFF_MS = 600_000
/** Time after which a server that announced its shutdown is tried again, in ms. */
const LEAVING_MS = 600_000
/** Time between the first request after a backoff and the next, in ms: an overloaded server rejects the first at once. */
export const TRIAL_INTERVAL_MS = 200
/** Age up to which a signal may be of the next start: a start answers before its first heartbeat has reached routers. */
export const CARRY_OVER_MAX_AGE_MS = 5_000
/** Incarnations that are remembered: several times those of a large fleet. */
const MAX_SERVERS = 5_000

interface Backoff {
  /** When it was requested. */
  readonly at: number
  until: number
  /** Whether a request was sent since the backoff ended. */
  isTried: boolean
}

const OPEN: SendVerdict = { kind: 'open' }
const TRIAL: SendVerdict = { kind: 'trial' }
const LEAVING: SendVerdict = { kind: 'leaving' }

/** Creates a record in which all servers are open. */
export function createBackpressure(): Backpressure {
  const backoffs = new LRUCache<BackendServerId, Backoff>({ max: MAX_SERVERS })
  const leavingUntil = new LRUCache<BackendServerId, number>({ max: MAX_SERVERS })

  return {
    recordBackoff: (server, retryAfterMs, now) => {
      const asked = now + Math.min(retryAfterMs, MAX_BACKOFF_MS)
      // Responses can arrive out of order: never shorten a backoff.
      const until = Math.max(asked, backoffs.get(server)?.until ?? asked)
      backoffs.set(server, { at: now, until, isTried: false })
    },
    recordLeaving: (server, now) => void leavingUntil.set(server, now + LEAVING_MS),
    recordSend: (server, now) => {
      const backoff = backoffs.get(server)
      if (!backoff || now < backoff.until) return
      if (backoff.isTried) backoffs.delete(server)
      else backoffs.set(server, { at: backoff.at, until: now + TRIAL_INTERVAL_MS, isTried: true })
    },
    judgeSend: (server, now) => {
      if (now < (leavingUntil.get(server) ?? -Infinity)) return LEAVING
      const backoff = backoffs.get(server)
      if (!backoff) return OPEN
      if (now < backoff.until) return { kind: 'backingOff', until: backoff.until }
      return backoff.isTried ? OPEN : TRIAL
    },
    carryOver: (before, after, now) => {
      const backoff = backoffs.get(before)
      if (!backoff || now - backoff.at > CARRY_OVER_MAX_AGE_MS || backoffs.has(after)) return
      backoffs.set(after, { ...backoff })
    },
    listBackingOff: (now) =>
      [...backoffs].flatMap(([server, { until }]) => (now < until ? [server] : [])),
  }
}
