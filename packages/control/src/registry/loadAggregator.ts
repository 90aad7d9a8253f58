/**
 * What routers have in progress, summed up as they report it: an answer to one of 400 routers costs one
 * pass over the servers, and not one over the servers of each router.
 */
import type { TimerService } from '@spoolgate/core'
import type { ServerLoad, ServerLoads } from './feed.js'

/** The sum; see {@link createLoadAggregator}. */
export interface LoadAggregator {
  /** Replaces what a router has in progress. */
  record(router: string, loads: ServerLoads): void
  /** Lists the routers that had work lately, or all of them where none had. */
  listBusyRouters(): readonly string[]
  /** Counts the routers that polled lately. */
  countRouters(): number
  /** Sums up what all routers but one have in progress; undefined leaves none out. */
  sumOthers(router: string | undefined): ServerLoads
}

/** Options of {@link createLoadAggregator}. */
export interface LoadAggregatorOptions {
  readonly timers: TimerService
  /** Time after which a router that does not poll no longer counts, in ms. */
  readonly routerLifeMs: number
}

interface RouterLoads {
  readonly loads: ServerLoads
  readonly at: number
  /** When it last had work; -Infinity for never. */
  readonly busyAt: number
}

const NO_LOAD: ServerLoad = { calls: 0, promptTokens: 0 }

function addLoad(a: ServerLoad, b: ServerLoad, sign: 1 | -1): ServerLoad {
  const backoffs = (a.backoffs ?? 0) + sign * (b.backoffs ?? 0)
  return {
    calls: a.calls + sign * b.calls,
    promptTokens: a.promptTokens + sign * b.promptTokens,
    ...(backoffs === 0 ? {} : { backoffs }),
  }
}

function isNothing({ calls, promptTokens, backoffs }: ServerLoad): boolean {
  return calls === 0 && promptTokens === 0 && backoffs === undefined
}

/** Creates a sum over no routers. */
export function createLoadAggregator({
  timers,
  routerLifeMs,
}: LoadAggregatorOptions): LoadAggregator {
  /** In the order of their last polls. */
  const routers = new Map<string, RouterLoads>()
  const total = new Map<string, ServerLoad>()

  const applyLoads = (loads: ServerLoads, sign: 1 | -1) => {
    for (const [server, load] of Object.entries(loads)) {
      const sum = addLoad(total.get(server) ?? NO_LOAD, load, sign)
      if (isNothing(sum)) total.delete(server)
      else total.set(server, sum)
    }
  }
  const remove = (router: string) => {
    const known = routers.get(router)
    if (!known) return
    routers.delete(router)
    applyLoads(known.loads, -1)
  }
  const removeSilent = () => {
    const oldest = timers.now() - routerLifeMs
    for (const [router, { at }] of routers) {
      if (at >= oldest) return
      remove(router)
    }
  }
  return {
    record: (router, loads) => {
      const now = timers.now()
      const isBusy = Object.values(loads).some(({ calls }) => calls > 0)
      const busyAt = isBusy ? now : (routers.get(router)?.busyAt ?? -Infinity)
      remove(router)
      routers.set(router, { loads, at: now, busyAt })
      applyLoads(loads, 1)
    },
    listBusyRouters: () => {
      removeSilent()
      const oldest = timers.now() - routerLifeMs
      const busy = [...routers].flatMap(([router, { busyAt }]) =>
        busyAt >= oldest ? [router] : [],
      )
      return busy.length > 0 ? busy : [...routers.keys()]
    },
    countRouters: () => {
      removeSilent()
      return routers.size
    },
    sumOthers: (router) => {
      removeSilent()
      const own = (router === undefined ? undefined : routers.get(router)?.loads) ?? {}
      const others: Record<string, ServerLoad> = {}
      for (const [server, sum] of total) {
        const load = addLoad(sum, own[server] ?? NO_LOAD, -1)
        if (!isNothing(load)) others[server] = load
      }
      return others
    },
  }
}
