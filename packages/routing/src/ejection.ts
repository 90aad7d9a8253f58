/**
 * Ejection of backend servers that fail, hang or are far slower than their peers, for a time that
 * doubles with each ejection, and never of more than a share of them at once.
 */
import type { BackendServerId } from '@spoolgate/core'

/** Outcome of one try as ejection sees it. */
export type EjectionOutcome = 'ok' | 'failed'

/** Options of {@link createOutlierEjection}. */
export interface OutlierEjectionOptions {
  /** Most servers of one model that may be out, as a share of them. */
  readonly findMaxEjectedRatio: () => number
}

/** Part of a backend server that ejection needs. */
export interface EjectableServer {
  readonly id: BackendServerId
}

/** Which backend servers this router leaves out for now. */
export interface OutlierEjection {
  record(server: BackendServerId, outcome: EjectionOutcome, now: number): void
  /** Lists those of `servers` that are out, at most the allowed share of them. */
  listEjected(servers: readonly EjectableServer[], now: number): ReadonlySet<BackendServerId>
  /** Penalty for a server that has just come back with an empty cache, in ms. */
  findSlowStartPenaltyMs(server: BackendServerId, now: number): number
}

/** Failures in a row that eject. */
const FAILURES_TO_EJECT = 2
const FIRST_EJECTION_MS = 1_000
const MAX_EJECTION_MS = 30_000
/** Time after which earlier ejections are forgotten, in ms. */
const FORGET_AFTER_MS = 60_000
/** Time over which a server that came back takes its full share again, in ms. */
const SLOW_START_MS = 2_000
const SLOW_START_PENALTY_MS = 200

interface Health {
  failures: number
  ejections: number
  until: number
}

/** Creates an ejection without any server out. */
export function createOutlierEjection(options: OutlierEjectionOptions): OutlierEjection {
  const healths = new Map<BackendServerId, Health>()

  const eject = (health: Health, now: number) => {
    if (now - health.until > FORGET_AFTER_MS) health.ejections = 0
    const duration = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** health.ejections)
    health.ejections += 1
    health.failures = 0
    health.until = now + duration
  }
  return {
    record: (server, outcome, now) => {
      if (outcome === 'ok') {
        const health = healths.get(server)
        if (health) health.failures = 0
        return
      }
      const health = healths.get(server) ?? { failures: 0, ejections: 0, until: -Infinity }
      healths.set(server, health)
      health.failures += 1
      if (health.failures >= FAILURES_TO_EJECT && now >= health.until) eject(health, now)
    },
    listEjected: (servers, now) => {
      // Few are ever out, so their list is walked and not that of all backend servers.
      const out = [...healths].filter(
        ([id, { until }]) => until > now && servers.some((server) => server.id === id),
      )
      const limit = Math.floor(servers.length * options.findMaxEjectedRatio())
      // The longest ejections stay; the rest are used after all.
      out.sort(([, a], [, b]) => b.until - a.until)
      return new Set(out.slice(0, limit).map(([id]) => id))
    },
    findSlowStartPenaltyMs: (server, now) => {
      const until = healths.get(server)?.until
      if (until === undefined || now < until || now - until > SLOW_START_MS) return 0
      return SLOW_START_PENALTY_MS * (1 - (now - until) / SLOW_START_MS)
    },
  }
}
