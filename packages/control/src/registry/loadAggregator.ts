/**
 * Running totals of the load that routers report for each server. The totals are updated on each report, so a reply
 * to one of 400 routers costs one pass over the servers instead of one pass per router.
 */
import type { TimerService } from '@spoolgate/core'
import type { ServerLoad, ServerLoads } from './feed.js'
import {
  addLoad,
  createLoadChanges,
  isZeroLoad,
  type LoadsCursor,
  type LoadsUpdate,
} from './loadsUpdate.js'

/** See {@link createLoadAggregator}. */
export interface LoadAggregator {
  /** Replaces the reported load of a router. */
  record(router: string, loads: ServerLoads): void
  /** Lists the routers with recent work, or all routers if none had any. */
  listBusyRouters(): readonly string[]
  /** Counts the routers that polled recently. */
  countRouters(): number
  /** Sums the load of all routers except one; undefined excludes none. */
  sumExcept(router: string | undefined): ServerLoads
  /** Builds the totals of all routers that changed since a cursor; all totals if it is undefined. */
  buildUpdate(cursor: LoadsCursor | undefined): LoadsUpdate
}

/** Options of {@link createLoadAggregator}. */
export interface LoadAggregatorOptions {
  readonly timers: TimerService
  /** Time without a poll after which a router no longer counts, in ms. */
  readonly routerLifeMs: number
}

interface RouterLoads {
  readonly loads: ServerLoads
  readonly polledAt: number
  /** When the router last had work; -Infinity for never. */
  readonly busyAt: number
}

const ZERO_LOAD: ServerLoad = { calls: 0, promptTokens: 0 }

/** Creates an aggregator without routers. */
export function createLoadAggregator({
  timers,
  routerLifeMs,
}: LoadAggregatorOptions): LoadAggregator {
  /** Ordered by time of the last poll, the oldest first. */
  const routers = new Map<string, RouterLoads>()
  const total = new Map<string, ServerLoad>()
  const changes = createLoadChanges()

  const findTotal = (server: string) => total.get(server) ?? ZERO_LOAD
  const applyLoads = (loads: ServerLoads, sign: 1 | -1) => {
    for (const [server, load] of Object.entries(loads)) {
      const sum = addLoad(findTotal(server), load, sign)
      if (isZeroLoad(sum)) total.delete(server)
      else total.set(server, sum)
    }
  }
  const isSameLoad = (a: ServerLoad, b: ServerLoad) => isZeroLoad(addLoad(a, b, -1))
  const recordChanges = (before: ServerLoads, after: ServerLoads) => {
    for (const server of new Set([...Object.keys(before), ...Object.keys(after)])) {
      if (!isSameLoad(before[server] ?? ZERO_LOAD, after[server] ?? ZERO_LOAD))
        changes.record(server)
    }
  }
  const remove = (router: string) => {
    const known = routers.get(router)
    if (!known) return
    routers.delete(router)
    applyLoads(known.loads, -1)
  }
  const removeSilent = () => {
    const cutoff = timers.now() - routerLifeMs
    for (const [router, { polledAt }] of routers) {
      if (polledAt >= cutoff) return
      recordChanges(routers.get(router)?.loads ?? {}, {})
      remove(router)
    }
  }
  return {
    record: (router, loads) => {
      const now = timers.now()
      const isBusy = Object.values(loads).some(({ calls }) => calls > 0)
      const busyAt = isBusy ? now : (routers.get(router)?.busyAt ?? -Infinity)
      recordChanges(routers.get(router)?.loads ?? {}, loads)
      remove(router)
      routers.set(router, { loads, polledAt: now, busyAt })
      applyLoads(loads, 1)
    },
    listBusyRouters: () => {
      removeSilent()
      const cutoff = timers.now() - routerLifeMs
      const busy = [...routers].flatMap(([router, { busyAt }]) =>
        busyAt >= cutoff ? [router] : [],
      )
      return busy.length > 0 ? busy : [...routers.keys()]
    },
    countRouters: () => {
      removeSilent()
      return routers.size
    },
    sumExcept: (router) => {
      removeSilent()
      const own = (router === undefined ? undefined : routers.get(router)?.loads) ?? {}
      const others: Record<string, ServerLoad> = {}
      for (const [server, sum] of total) {
        const load = addLoad(sum, own[server] ?? ZERO_LOAD, -1)
        if (!isZeroLoad(load)) others[server] = load
      }
      return others
    },
    buildUpdate: (cursor) => {
      removeSilent()
      return changes.buildUpdate(cursor, findTotal)
    },
  }
}
