/**
 * Merges the speeds of servers that routers report, by weight and age. A single router sees too few requests of each
 * server to tell a slow one from a busy one; all routers together see a change within about a second.
 */
import type { TimerService } from '@spoolgate/core'
import { createSpeedEstimate, type SpeedEstimate } from '@spoolgate/routing'
import { MAX_SPEEDS_PER_MESSAGE, type SpeedEntry } from './feed.js'

/** Options of {@link createSpeedAggregator}. */
export interface SpeedAggregatorOptions {
  readonly timers: TimerService
  /** Whether a server of this incarnation is registered. */
  readonly isRegistered: (server: string) => boolean
}

/** Speeds that changed since a revision. */
export interface SpeedChanges {
  readonly speeds: readonly SpeedEntry[]
  /** Revision up to which the changes are complete. */
  readonly seen: number
}

/** See {@link createSpeedAggregator}. */
export interface SpeedAggregator {
  /** Clears all speeds; routers report new evidence to each new leader. */
  reset(): void
  /** Records the evidence of a router. */
  record(reports: readonly SpeedEntry[]): void
  /** Lists speeds that changed after a revision, the earliest changes first. */
  listSince(revision: number): SpeedChanges
  /** Whether more changes than fit into one message happened after a revision. */
  isBehind(revision: number): boolean
  /** Lists the speeds of all servers with evidence. */
  list(): readonly SpeedEntry[]
}

/** Age of the last evidence beyond which a speed is dropped, in ms. */
const SPEED_EXPIRY_MS = 10_000
/** Smallest ratio between two speeds of a server that is reported as a change. */
const MIN_CHANGE_RATIO = 1.1
/** Minimum interval between searches for changes, in ms: the shortest poll of a router. */
const REFRESH_PERIOD_MS = 100
/** Percentage of the group's speed. */
const GROUP_PERCENT = 100
/** Prompt tokens in one unit of the weight of an entry. */
const TOKENS_PER_WEIGHT = 100
/** Maximum number of servers with speeds: several times the size of a large deployment. */
const MAX_SPEEDS = 5_000

interface ServerSpeed {
  estimate: SpeedEstimate
  /** Speed last sent to routers, in percent of the group's. */
  percent: number
  /** Revision at which it changed; 0 while it has always been the group's. */
  revision: number
}

/** Whether two positive speeds differ by enough to be reported. */
export function isSpeedChange(a: number, b: number): boolean {
  return Math.max(a, b) >= Math.min(a, b) * MIN_CHANGE_RATIO
}

function isReadable([, percent, weight, ageMs]: SpeedEntry): boolean {
  const isPositive = percent > 0 && weight > 0 && ageMs >= 0
  return isPositive && Number.isFinite(percent + weight + ageMs)
}

/** Creates an aggregator without evidence. */
export function createSpeedAggregator(options: SpeedAggregatorOptions): SpeedAggregator {
  const { timers, isRegistered } = options
  const servers = new Map<string, ServerSpeed>()
  let revision = 0
  let refreshedAt = -Infinity

  const findPercent = ({ estimate }: ServerSpeed, now: number) =>
    Math.max(1, Math.round(GROUP_PERCENT / estimate.findSlowness(now)))
  const refreshServer = (server: string, speed: ServerSpeed, now: number) => {
    if (!isRegistered(server)) return void servers.delete(server)
    if (now - speed.estimate.lastAt() > SPEED_EXPIRY_MS) speed.estimate = createSpeedEstimate()
    const percent = findPercent(speed, now)
    if (!isSpeedChange(percent, speed.percent)) return
    revision += 1
    Object.assign(speed, { percent, revision })
  }
  const refresh = () => {
    const now = timers.now()
    if (now - refreshedAt < REFRESH_PERIOD_MS) return
    refreshedAt = now
    for (const [server, speed] of servers) refreshServer(server, speed, now)
  }
  const formatEntry = (server: string, speed: ServerSpeed, now: number): SpeedEntry => {
    const { estimate, percent } = speed
    const ageMs = Math.max(0, Math.round(now - estimate.lastAt()))
    const weight = Math.round(estimate.findWeight(now) / TOKENS_PER_WEIGHT)
    return [server, percent, weight, Number.isFinite(ageMs) ? ageMs : 0]
  }
  const listChanged = (since: number) => {
    refresh()
    return [...servers].filter(([, speed]) => speed.revision > since)
  }
  return {
    reset: () => {
      servers.clear()
      revision = 0
      refreshedAt = -Infinity
    },
    record: (reports) => {
      const now = timers.now()
      for (const report of reports.slice(0, MAX_SPEEDS_PER_MESSAGE)) {
        const [server, percent, weight, ageMs] = report
        if (!isReadable(report) || ageMs > SPEED_EXPIRY_MS || !isRegistered(server)) continue
        if (!servers.has(server) && servers.size >= MAX_SPEEDS) continue
        const speed = servers.get(server) ?? {
          estimate: createSpeedEstimate(),
          percent: GROUP_PERCENT,
          revision: 0,
        }
        servers.set(server, speed)
        const slowness = GROUP_PERCENT / percent
        speed.estimate.record({ slowness, weight: weight * TOKENS_PER_WEIGHT, at: now - ageMs })
      }
    },
    listSince: (since) => {
      const changed = listChanged(since)
      if (changed.length === 0) return { speeds: [], seen: revision }
      changed.sort(([, a], [, b]) => a.revision - b.revision)
      const sent = changed.slice(0, MAX_SPEEDS_PER_MESSAGE)
      const seen = sent.length < changed.length ? (sent.at(-1)?.[1].revision ?? since) : revision
      const now = timers.now()
      return { speeds: sent.map(([server, speed]) => formatEntry(server, speed, now)), seen }
    },
    isBehind: (since) => {
      refresh()
      return since < revision && listChanged(since).length > MAX_SPEEDS_PER_MESSAGE
    },
    list: () => {
      refresh()
      const now = timers.now()
      return [...servers].map(([server, speed]) => formatEntry(server, speed, now))
    },
  }
}
