/** The leader's view of the requests that wait at routers for an engine with capacity, as routers report it. */
import type { TimerService } from '@spoolgate/core'

/** Path of the list on a control instance; only the leader answers it. */
export const QUEUES_PATH = '/queues'

/** Waiting and refused requests of one priority band at one router. */
export interface BandQueue {
  readonly band: number
  readonly waiting: number
  /** Age of the oldest waiting request, in ms. */
  readonly oldestMs: number
  readonly refusedPerSecond: number
}

/** Report of a router by priority band. */
export type QueueReport = readonly BandQueue[]

/** Queue of a router as the leader knows it. */
export interface RouterQueue {
  readonly router: string
  /** Time since the report, in ms. */
  readonly ageMs: number
  readonly bands: QueueReport
}

/** See {@link createQueueBoard}. */
export interface QueueBoard {
  /** Replaces the report of a router; undefined if nothing waits there. */
  record(router: string, report: QueueReport | undefined): void
  /** Lists the reports that are recent enough, by name of the router. */
  list(): readonly RouterQueue[]
}

/** Options of {@link createQueueBoard}. */
export interface QueueBoardOptions {
  readonly timers: Pick<TimerService, 'now'>
  /** Time after which the report of a silent router is discarded, in ms. */
  readonly routerLifeMs: number
}

/** Creates a board without reports. */
export function createQueueBoard({ timers, routerLifeMs }: QueueBoardOptions): QueueBoard {
  const reports = new Map<string, { readonly bands: QueueReport; readonly at: number }>()
  const removeExpired = () => {
    const cutoff = timers.now() - routerLifeMs
    for (const [router, { at }] of reports) {
      if (at < cutoff) reports.delete(router)
    }
  }
  return {
    record: (router, report) => {
      if (report) reports.set(router, { bands: report, at: timers.now() })
      else reports.delete(router)
    },
    list: () => {
      removeExpired()
      const now = timers.now()
      return [...reports]
        .map(([router, { bands, at }]) => ({ router, ageMs: Math.round(now - at), bands }))
        .sort((a, b) => a.router.localeCompare(b.router))
    },
  }
}
