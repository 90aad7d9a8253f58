/**
 * Requests under which backend servers end. A server that ends was running dozens of requests, and one of them may be
 * the reason: it then ends each server that begins it. Which one it is shows when the same request was there at the
 * end of several servers, and was answered by none.
 */
import type { BackendServerId, RequestFingerprint } from '@spoolgate/core'

/** A send of a request, with what its router knew of the request by then. */
export interface InterruptedSend {
  readonly request: RequestFingerprint
  /** Round of the quarantine that was over when the request was sent; 0 for none. */
  readonly round: number
}

/** A server that ended, and what a router had sent it without getting a whole answer. */
export interface CrashedServer {
  readonly server: BackendServerId
  readonly sends: readonly InterruptedSend[]
}

/** What a router reports to control of requests. */
export interface CrashReport {
  readonly ended: readonly CrashedServer[]
  /** Requests that were answered whole after they were reported as suspected to the router. */
  readonly answered: readonly RequestFingerprint[]
  /** Requests in quarantine that were refused since the last report, the most often refused first. */
  readonly asked: readonly RequestFingerprint[]
  /** Requests that the router might have tried, but for which nobody or no server was there. */
  readonly untried: readonly RequestFingerprint[]
}

/** A request that control reports to routers as suspected, or as quarantined. */
export interface SuspectedRequest {
  readonly request: RequestFingerprint
  /** Counts the quarantines of the request from 1; 0 while it is suspected only. */
  readonly round: number
}

/**
 * Servers that end under a request before it is refused. Two may end by chance with the same request: it is lost with
 * the first and sent again to the second. The users allow three, and three sends more.
 */
export const CRASHES_TO_QUARANTINE = 3
/**
 * Crashes from which on a request is reported to all routers, so that those that had it answered can say so. A single crash
 * concerns all that its server was running.
 */
export const CRASHES_TO_SUSPECT = 2
/** Quarantine period before each probe, in ms. */
const QUARANTINE_MS = [1_000, 5_000, 600_000, 30 * 24 * 3_600_000]

/** Finds how long a request is refused in a round before it is tried, in ms. */
export function findQuarantineMs(round: number): number {
  return QUARANTINE_MS[Math.min(round, QUARANTINE_MS.length) - 1] ?? 0
}

/** Finds the part of a fingerprint that all requests of one caller share. */
export function parseCallerHash(request: RequestFingerprint): string {
  return request.split('.', 1)[0]
}
