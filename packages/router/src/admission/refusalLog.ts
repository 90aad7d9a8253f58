/** Recent refusals of a router: recognises retries of them and reserves the times at which they may come back. */
import { removeOldest, type RequestFingerprint } from '@spoolgate/core'
import type { AdmissionRequest } from './types.js'

/** A refused request. */
export interface Refusal {
  readonly refusedAt: number
  readonly deadline: number
  readonly targetAt: number
  readonly workMs: number
  /** Time at which the retry is expected to find capacity. */
  readonly slotAt: number
}

/** See {@link createRefusalLog}. */
export interface RefusalLog {
  /** Returns the refusal that a request is a retry of. */
  find(request: RetryFields, now: number): Refusal | undefined
  /** Records a refusal and returns the time until the slot of the drain that it reserves, in ms. */
  record(request: RetryFields & { readonly workMs: number }, drain: Drain, now: number): number
  /** Forgets a refusal whose retry was accepted. */
  remove(fingerprint: RequestFingerprint): void
  /** Engine time of the refused requests that are expected to come back, in ms. */
  findReservedMs(now: number): number
}

/** Expected drain of what waits. */
export interface Drain {
  readonly drainMs: number
  /** Engine time that is completed per ms. */
  readonly workPerMs: number
}

type RetryFields = Pick<AdmissionRequest, 'fingerprint' | 'deadline' | 'targetAt'>

/** Time within which a retry is recognised, in ms. */
const RETRY_WINDOW_MS = 10_000
/**
 * Tolerance on the deadline of a retry, in ms. The caller states its remaining time in whole steps, and the time in transit
 * varies; a new request with the same content has a later deadline than that.
 */
const DEADLINE_TOLERANCE_MS = 250
/** Time after a reserved slot until it is given up, in ms: transit and the caller's timer. */
const SLOT_GRACE_MS = 100
/** Upper bound on the remembered refusals; each takes about 200 bytes. */
const MAX_REFUSALS = 10_000
/** Lower bound on Retry-After, in ms; as `MIN_RETRY_AFTER_S` in errorResponses.ts. */
const MIN_RETRY_AFTER_MS = 150

/** Creates an empty log. */
export function createRefusalLog(): RefusalLog {
  const refusals = new Map<RequestFingerprint, Refusal>()
  /** Reserved slots in the order of their times; `first` is the first that may still be in the future. */
  let slots: Refusal[] = []
  let first = 0
  let reservedMs = 0
  let lastSlotAt = 0

  const removePassed = (now: number) => {
    while (first < slots.length && slots[first].slotAt + SLOT_GRACE_MS < now) {
      reservedMs -= slots[first].workMs
      first += 1
    }
    if (first < slots.length) return
    slots = []
    first = 0
    reservedMs = 0
  }
  const removeOutdated = (now: number) => {
    for (const [fingerprint, { refusedAt }] of refusals) {
      if (refusedAt >= now - RETRY_WINDOW_MS) return
      refusals.delete(fingerprint)
    }
  }

  return {
    find: ({ fingerprint, deadline }, now) => {
      const refusal = refusals.get(fingerprint)
      if (!refusal || refusal.refusedAt < now - RETRY_WINDOW_MS) return undefined
      return deadline <= refusal.deadline + DEADLINE_TOLERANCE_MS ? refusal : undefined
    },
    record: ({ fingerprint, deadline, targetAt, workMs }, { drainMs, workPerMs }, now) => {
      removePassed(now)
      removeOutdated(now)
      const slotAt = Math.max(now + Math.max(MIN_RETRY_AFTER_MS, drainMs), lastSlotAt)
      lastSlotAt = slotAt + workMs / workPerMs
      const refusal = { refusedAt: now, deadline, targetAt, workMs, slotAt }
      refusals.delete(fingerprint)
      refusals.set(fingerprint, refusal)
      removeOldest(refusals, MAX_REFUSALS)
      slots.push(refusal)
      reservedMs += workMs
      return slotAt - now
    },
    remove: (fingerprint) => {
      refusals.delete(fingerprint)
    },
    findReservedMs: (now) => {
      removePassed(now)
      return reservedMs
    },
  }
}
