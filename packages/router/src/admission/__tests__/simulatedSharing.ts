/** Ways to share the capacity of engines among routers, and the leader through which routers learn of each other. */
import { formatWorkKey } from '../capacityShares.js'
import {
  ENGINE_FILL_MS,
  createSharedRoom,
  findPart,
  type RankedWork,
  type SharedRoom,
} from '../sharedRoom.js'
import { ENGINE } from './simulatedEngines.js'

/**
 * How routers share capacity: `direct` sends everything at once, as without admission; `reported` trusts the reported
 * loads; `parts` is {@link createSharedRoom}; `credits` are granted by the leader for each interval; `central` is one
 * router with exact loads, as a reference.
 */
export type SharingMethod = 'direct' | 'reported' | 'parts' | 'credits' | 'central'

/** Loads of a router at each engine. */
export interface Loads {
  readonly pendingTokens: Float64Array
  readonly calls: Float64Array
  readonly kvTokens: Float64Array
}

/** Part of the free capacity that is granted at once; reports show its use only one to two intervals later. */
const FREE_RATIO = 0.4
const FIELDS = ['pendingTokens', 'calls', 'kvTokens'] as const

export function createLoads(engines: number): Loads {
  return {
    pendingTokens: new Float64Array(engines),
    calls: new Float64Array(engines),
    kvTokens: new Float64Array(engines),
  }
}

/** Creates the leader's sums of what the routers reported. */
export function createSimulatedLeader(engines: number) {
  const sums = createLoads(engines)
  const reported = new Map<number, Loads>()
  const demands = new Map<number, readonly RankedWork[]>()
  const totals = new Map<string, RankedWork>()
  const granted = new Map<number, number>()

  const addDemands = (works: readonly RankedWork[], sign: 1 | -1) => {
    for (const work of works) {
      const key = formatWorkKey(work)
      const workMs = (totals.get(key)?.workMs ?? 0) + sign * work.workMs
      totals.set(key, { ...work, workMs: Math.max(0, workMs) })
    }
  }
  const addLoads = (loads: Loads, sign: 1 | -1) => {
    for (const field of FIELDS)
      for (let engine = 0; engine < engines; engine += 1)
        sums[field][engine] += sign * loads[field][engine]
  }
  const remove = (router: number) => {
    const known = reported.get(router)
    if (known) addLoads(known, -1)
    reported.delete(router)
    addDemands(demands.get(router) ?? [], -1)
    demands.delete(router)
    granted.delete(router)
  }
  return {
    remove,
    /** Replaces a router's report and returns the sums of all others. */
    exchange: (router: number, loads: Loads, demand: readonly RankedWork[]) => {
      remove(router)
      const others = createLoads(engines)
      for (const field of FIELDS) others[field].set(sums[field])
      const otherDemands = [...totals.values()].filter(({ workMs }) => workMs > 0)
      const copy = createLoads(engines)
      for (const field of FIELDS) copy[field].set(loads[field])
      addLoads(copy, 1)
      reported.set(router, copy)
      addDemands(demand, 1)
      demands.set(router, demand)
      return { others, demands: otherDemands }
    },
    /** Grants a router engine time until its next report; what others were granted is not granted again. */
    grant: (router: number, reply: readonly RankedWork[], intervalMs: number, routers: number) => {
      const report = { demands: reply, workPerMs: engines, routers }
      const { share } = findPart(report, demands.get(router) ?? [])
      const pendingMs =
        sums.pendingTokens.reduce((sum, tokens) => sum + tokens, 0) / ENGINE.tokensPerMs
      const freeMs = (ENGINE_FILL_MS * engines - pendingMs) * FREE_RATIO
      const capacityMs = Math.max(0, freeMs + engines * intervalMs)
      let reservedMs = 0
      for (const grantedMs of granted.values()) reservedMs += grantedMs
      const grantMs = Math.max(0, Math.min(share * capacityMs, capacityMs - reservedMs))
      granted.set(router, grantMs)
      return grantMs
    },
  }
}

/** A {@link SharedRoom} that may start what the leader granted. */
export function createCreditRoom(): SharedRoom & { applyGrant(grantMs: number): void } {
  const room = createSharedRoom()
  let budgetMs: number | undefined
  return {
    ...room,
    applyGrant: (grantMs) => {
      budgetMs = Math.min(0, budgetMs ?? 0) + grantMs
    },
    isStartAllowed: ({ workMs }) => {
      if (budgetMs === undefined) return true
      if (budgetMs <= 0) return false
      budgetMs -= workMs
      return true
    },
  }
}

/** A {@link SharedRoom} that allows every start. */
export function createOpenRoom(): SharedRoom {
  return { ...createSharedRoom(), isStartAllowed: () => true, findShare: () => 1 }
}
