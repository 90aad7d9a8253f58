/**
 * Running totals of the engine time that routers need soon, by group, rank and team. The totals are updated on each
 * report, so a reply costs one pass over them instead of one pass per router.
 */
import type { TimerService } from '@spoolgate/core'
import type { Demand, Demands } from './feed.js'

/** See {@link createDemandAggregator}. */
export interface DemandAggregator {
  /** Replaces the demands of a router; undefined if it has none. */
  record(router: string, demands: Demands | undefined): void
  /** Sums the demands of all routers except one. */
  sumExcept(router: string): Demands
}

/** Options of {@link createDemandAggregator}. */
export interface DemandAggregatorOptions {
  readonly timers: Pick<TimerService, 'now'>
  /** Time without a report after which a router no longer counts, in ms. */
  readonly routerLifeMs: number
}

/** Demands of a group by rank and team. */
type GroupTotals = Map<string, Demand>

function formatKey([rank, team]: Demand): string {
  return `${rank}/${team ?? ''}`
}

function applyDemand(totals: GroupTotals, demand: Demand, sign: 1 | -1): void {
  const key = formatKey(demand)
  const [rank, team, teamShare, workMs] = demand
  // Whole numbers, so that sums return to exactly zero.
  const sumMs = (totals.get(key)?.[3] ?? 0) + sign * Math.round(workMs)
  if (sumMs === 0) totals.delete(key)
  else totals.set(key, [rank, team, teamShare, sumMs])
}

/** Creates an aggregator without routers. */
export function createDemandAggregator(options: DemandAggregatorOptions): DemandAggregator {
  const { timers, routerLifeMs } = options
  /** Ordered by time of the last report, the oldest first. */
  const routers = new Map<string, { readonly demands: Demands; readonly at: number }>()
  const totals = new Map<string, GroupTotals>()

  const applyDemands = (demands: Demands, sign: 1 | -1) => {
    for (const [group, list] of Object.entries(demands)) {
      const groupTotals = totals.get(group) ?? new Map<string, Demand>()
      totals.set(group, groupTotals)
      for (const demand of list) applyDemand(groupTotals, demand, sign)
      if (groupTotals.size === 0) totals.delete(group)
    }
  }
  const remove = (router: string) => {
    const known = routers.get(router)
    if (!known) return
    routers.delete(router)
    applyDemands(known.demands, -1)
  }
  const removeSilent = () => {
    const cutoff = timers.now() - routerLifeMs
    for (const [router, { at }] of routers) {
      if (at >= cutoff) return
      remove(router)
    }
  }
  return {
    record: (router, demands) => {
      remove(router)
      if (!demands) return
      routers.set(router, { demands, at: timers.now() })
      applyDemands(demands, 1)
    },
    sumExcept: (router) => {
      removeSilent()
      const own = routers.get(router)?.demands ?? {}
      const others: Record<string, readonly Demand[]> = {}
      for (const [group, groupTotals] of totals) {
        const rest = new Map(groupTotals)
        for (const demand of own[group] ?? []) applyDemand(rest, demand, -1)
        if (rest.size > 0) others[group] = [...rest.values()]
      }
      return others
    },
  }
}
