/** Divides capacity by rank, and within a rank among teams by weight. */
import type { RankedWork } from './sharedRoom.js'

/** Returns the part of the work of a rank and team that gets capacity, from 0 to 1. */
export type CapacityShares = (work: Pick<RankedWork, 'rank' | 'team'>) => number

/** Formats the key of a rank and team. */
export function formatWorkKey({ rank, team }: Pick<RankedWork, 'rank' | 'team'>): string {
  return team === undefined ? `${rank}` : `${rank}/${team}`
}

/** Merges work of the same rank and team; adds it up by default. */
export function mergeWork(
  lists: readonly (readonly RankedWork[])[],
  merge = (a: number, b: number) => a + b,
): RankedWork[] {
  const merged = new Map<string, RankedWork>()
  for (const work of lists.flat()) {
    const key = formatWorkKey(work)
    const known = merged.get(key)
    merged.set(key, known ? { ...known, workMs: merge(known.workMs, work.workMs) } : work)
  }
  return [...merged.values()]
}

/** Divides the capacity among the teams of one rank: none gets more than it needs, or more per weight than another that needs more. */
function applyMaxMin(
  capacityMs: number,
  works: readonly RankedWork[],
  record: (work: RankedWork, ratio: number) => void,
): number {
  const byNeed = [...works].sort((a, b) => a.workMs / a.teamShare - b.workMs / b.teamShare)
  let remainingMs = capacityMs
  let remainingShares = works.reduce((sum, { teamShare }) => sum + teamShare, 0)
  for (const work of byNeed) {
    const grantedMs = Math.min(work.workMs, (remainingMs * work.teamShare) / remainingShares)
    remainingMs -= grantedMs
    remainingShares -= work.teamShare
    record(work, work.workMs > 0 ? grantedMs / work.workMs : 1)
  }
  return Math.max(0, remainingMs)
}

/** Divides capacity among work; lower ranks first. Work that is not listed gets its full need if any capacity is left. */
export function splitCapacity(capacityMs: number, works: readonly RankedWork[]): CapacityShares {
  const ratios = new Map<string, number>()
  const ranks = [...new Set(works.map(({ rank }) => rank))].sort((a, b) => a - b)
  /** Rank at which the capacity ran out. */
  let lastRank = Infinity
  let remainingMs = capacityMs
  for (const rank of ranks) {
    const ofRank = works.filter((work) => work.rank === rank)
    remainingMs = applyMaxMin(remainingMs, ofRank, (work, ratio) =>
      ratios.set(formatWorkKey(work), ratio),
    )
    if (remainingMs <= 0) lastRank = Math.min(lastRank, rank)
  }
  return (work) => ratios.get(formatWorkKey(work)) ?? (work.rank < lastRank ? 1 : 0)
}
