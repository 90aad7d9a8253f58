/**
 * Which backend servers want nothing more from this process, by their own word: some ask for rest, some are about to end.
 * Facts in, verdicts out; no clock and no socket. A word binds the one that it was said to, and lasts as long as the
 * incarnation that said it: the next one has another id.
 */
import type { BackendServerId } from '@spoolgate/core'
import { LRUCache } from 'lru-cache'

/** What may be sent to a server now. */
export type SendVerdict =
  | { readonly kind: 'open' }
  /** One request, which shows whether the rest is over. */
  | { readonly kind: 'trial' }
  /** Nothing until then, an instant of the clock that the facts were dated by, in ms. */
  | { readonly kind: 'backingOff'; readonly until: number }
  /** Nothing any more, but for a look after a long time. */
  | { readonly kind: 'leaving' }

/** Servers that hold back; see {@link createBackpressure}. Instants are in ms of one monotonic clock. */
export interface Backpressure {
  /** Notes that a server asked for rest. */
  recordBackoff(server: BackendServerId, retryAfterMs: number, now: number): void
  /** Notes that a server said that it is about to end. */
  recordLeaving(server: BackendServerId, now: number): void
  /** Notes that a request is sent. */
  recordSend(server: BackendServerId, now: number): void
  judgeSend(server: BackendServerId, now: number): SendVerdict
  /** Keeps a recent backoff for the next start of a server, which may have been the one that requested it. */
  carryOver(before: BackendServerId, after: BackendServerId, now: number): void
  /** Lists the servers that rest now. */
  listBackingOff(now: number): readonly BackendServerId[]
}

/** Longest rest that is believed, in ms: a mistaken word must not take a server out for good. */
export const MAX_BACKOFF_MS = 600_000
/** Time after which a server that said that it is about to end is asked once more, in ms; most have ended long before. */
const LEAVING_MS = 600_000
/**
 * Time from the first request after a rest to the next, in ms. A server that still has too much to do says so at once;
 * without this, all that waited would be turned away together.
 */
export const TRIAL_MS = 200
/** Age up to which a signal may be of the next start: a start answers before its first heartbeat has reached routers. */
export const CARRY_OVER_MS = 5_000
/** Incarnations that are remembered: several times those of a large fleet. */
const MAX_SERVERS = 5_000

interface Backoff {
  /** When it was requested. */
  readonly at: number
  until: number
  /** Whether a request was sent since the rest ended. */
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
      // Answers overtake one another: the shorter of two words does not take back the longer one.
      const until = Math.max(asked, backoffs.get(server)?.until ?? asked)
      backoffs.set(server, { at: now, until, isTried: false })
    },
    recordLeaving: (server, now) => void leavingUntil.set(server, now + LEAVING_MS),
    recordSend: (server, now) => {
      const backoff = backoffs.get(server)
      if (!backoff || now < backoff.until) return
      if (backoff.isTried) backoffs.delete(server)
      else backoffs.set(server, { at: backoff.at, until: now + TRIAL_MS, isTried: true })
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
      if (!backoff || now - backoff.at > CARRY_OVER_MS || backoffs.has(after)) return
      backoffs.set(after, { ...backoff })
    },
    listBackingOff: (now) =>
      [...backoffs].flatMap(([server, { until }]) => (now < until ? [server] : [])),
  }
}
