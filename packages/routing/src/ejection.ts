/**
 * Outlier ejection: backend servers that repeatedly fail or time out receive no requests for a time that doubles with
 * each ejection. Only a limited share of the servers is ejected at once.
 */
import type { BackendServerId } from '@spoolgate/core'

/** Outcome of an attempt for the purpose of ejection. */
export type EjectionOutcome = 'ok' | 'failed'

/** Options of {@link createOutlierEjection}. */
export interface OutlierEjectionOptions {
  /** Returns the largest share of a model's servers that may be ejected at once. */
  readonly findMaxEjectedRatio: () => number
}

/** Fields of a backend server that ejection reads. */
export interface EjectableServer {
  readonly id: BackendServerId
}

/** Backend servers that this router has ejected; see {@link createOutlierEjection}. */
export interface OutlierEjection {
  /** Records the outcome of an attempt. */
  record(server: BackendServerId, outcome: EjectionOutcome, now: number): void
  /** Lists the ejected servers among `servers`, at most the allowed share of them. */
  listEjected(servers: readonly EjectableServer[], now: number): ReadonlySet<BackendServerId>
  /** Finds the ranking penalty of a server whose ejection ended recently, in ms; its cache may be empty. */
  findSlowStartPenaltyMs(server: BackendServerId, now: number): number
}

const CONSECUTIVE_FAILURES_TO_EJECT = 2
/** Duration of the first ejection, in ms. */
const BASE_EJECTION_MS = 1_000
const MAX_EJECTION_MS = 30_000
/** Time after the end of an ejection from which the next one is as short as the first, in ms. */
const EJECTION_HISTORY_MS = 60_000
/** Time over which a readmitted server returns to its full share of requests, in ms: its penalty falls to 0. */
const SLOW_START_MS = 2_000
/** Ranking penalty right after an ejection, in ms. */
const SLOW_START_PENALTY_MS = 200

interface Health {
  consecutiveFailures: number
  recentEjections: number
  ejectedUntil: number
}

/** Creates a tracker without ejected servers. */
export function createOutlierEjection(options: OutlierEjectionOptions): OutlierEjection {
  const healthByServer = new Map<BackendServerId, Health>()

  const eject = (health: Health, now: number) => {
    if (now - health.ejectedUntil > EJECTION_HISTORY_MS) health.recentEjections = 0
    const duration = Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** health.recentEjections)
    health.recentEjections += 1
    health.consecutiveFailures = 0
    health.ejectedUntil = now + duration
  }
  return {
    record: (server, outcome, now) => {
      if (outcome === 'ok') {
        const health = healthByServer.get(server)
        if (health) health.consecutiveFailures = 0
        return
      }
      const health = healthByServer.get(server) ?? {
        consecutiveFailures: 0,
        recentEjections: 0,
        ejectedUntil: -Infinity,
      }
      healthByServer.set(server, health)
      health.consecutiveFailures += 1
      if (health.consecutiveFailures >= CONSECUTIVE_FAILURES_TO_EJECT && now >= health.ejectedUntil)
        eject(health, now)
    },
    listEjected: (servers, now) => {
      // Few servers ever fail, so this iterates over their records rather than over all backend servers.
      const ejected = [...healthByServer].filter(
        ([id, { ejectedUntil }]) =>
          ejectedUntil > now && servers.some((server) => server.id === id),
      )
      const maxEjected = Math.floor(servers.length * options.findMaxEjectedRatio())
      // Above the limit, the servers whose ejection ends first are used again.
      ejected.sort(([, a], [, b]) => b.ejectedUntil - a.ejectedUntil)
      return new Set(ejected.slice(0, maxEjected).map(([id]) => id))
    },
    findSlowStartPenaltyMs: (server, now) => {
      const ejectedUntil = healthByServer.get(server)?.ejectedUntil
      if (ejectedUntil === undefined || now < ejectedUntil || now - ejectedUntil > SLOW_START_MS)
        return 0
      return SLOW_START_PENALTY_MS * (1 - (now - ejectedUntil) / SLOW_START_MS)
    },
  }
}
