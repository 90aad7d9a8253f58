/**
 * Reports on requests that may crash backend servers. A crashed server was running dozens of requests, one of which may
 * be the cause and will then crash each server that starts it. It is identified by having been in progress at the crashes
 * of several servers without ever being answered.
 */
import type { BackendServerId, RequestFingerprint } from '@spoolgate/core'

/** A send that was interrupted by a crash, with the quarantine round that its router knew when it was sent. */
export interface InterruptedSend {
  readonly request: RequestFingerprint
  /** Quarantine round for which the send was the trial; 0 if the request was not in quarantine. */
  readonly round: number
}

/** A crashed server, and the sends of one router that it had not answered completely. */
export interface CrashedServer {
  readonly server: BackendServerId
  readonly sends: readonly InterruptedSend[]
}

/** Report of a router to control. */
export interface CrashReport {
  readonly ended: readonly CrashedServer[]
  /** Requests that were answered completely after control had reported them as suspected to the router. */
  readonly answered: readonly RequestFingerprint[]
  /** Quarantined requests that were rejected since the last report, the most frequently rejected first. */
  readonly asked: readonly RequestFingerprint[]
  /** Requests whose granted trial went unused because the request did not arrive or no server was available. */
  readonly untried: readonly RequestFingerprint[]
}

/** A request that control reports to routers as suspected or quarantined. */
export interface SuspectedRequest {
  readonly request: RequestFingerprint
  /** Quarantine round, counted from 1; 0 while the request is only suspected. */
  readonly round: number
}

/**
 * Number of servers that crash under a request before it is quarantined. Two crashes can share a request by chance: it is
 * lost with the first server and retried on the second. The requirement is at most three crashes, plus three more sends.
 */
export const CRASHES_TO_QUARANTINE = 3
/**
 * Number of crashes after which a request is reported to all routers as suspected, so that routers that got it answered
 * can report that. One crash is not enough, since it would make every request on the server a suspect.
 */
export const CRASHES_TO_SUSPECT = 2
/** Quarantine period before the trial of each round, in ms. */
const QUARANTINE_MS = [1_000, 5_000, 600_000, 30 * 24 * 3_600_000]

/** Returns how long a request is quarantined in a round before its trial, in ms. */
export function findQuarantineMs(round: number): number {
  return QUARANTINE_MS[Math.min(round, QUARANTINE_MS.length) - 1] ?? 0
}

/** Returns the prefix of a fingerprint that all requests of one caller share. */
export function parseCallerHash(request: RequestFingerprint): string {
  return request.split('.', 1)[0]
}
