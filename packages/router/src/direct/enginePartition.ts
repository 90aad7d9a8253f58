/**
 * Partitions the engines of a group between long and short prompts. Engines prefill prompts in chunks between the
 * tokens that they generate: beside long prompts, every generated token waits for a chunk of 70 ms. The capacity of the
 * engines is divided in proportion to the work of both lengths; all routers arrive at the same partition without communication, since all
 * see the same mix of requests.
 */
import type { BackendServerId, TimerService } from '@spoolgate/core'
import { hashText } from '@spoolgate/routing'

/** Class of a generation request by the length of its prompt. */
export type PromptLength = 'long' | 'short'

/** Partition of engines; see {@link createEnginePartition}. */
export interface EnginePartition {
  /** Records the work of a request that is sent, in ms of engine time. */
  recordWork(group: string, promptLength: PromptLength, workMs: number): void
  /**
   * Lists the engines that should take long prompts; undefined if the group is not partitioned. Without `findCapacity`
   * all engines have the same capacity.
   */
  listLongPromptEngines(
    group: string,
    servers: readonly BackendServerId[],
    findCapacity?: (id: BackendServerId) => number,
  ): ReadonlySet<BackendServerId> | undefined
}

/** Minimum number of tokens of a long prompt: half a prefill chunk. */
export const LONG_PROMPT_TOKENS = 2_000
/** Time constant of the work averages, in ms; covers several requests of each length at each router. */
const AVERAGING_TIME_MS = 10_000
/** Minimum number of engines in a group that is partitioned. */
const MIN_ENGINES = 3
/** Minimum number of requests of each length for the averages to be meaningful. */
const MIN_REQUESTS = 5

interface GroupWork {
  long: number
  short: number
  longCount: number
  shortCount: number
  at: number
}

/** Counts the leading engines whose capacity is closest to a share of that of all. */
function countForShare(capacities: readonly number[], share: number): number {
  const wanted = share * capacities.reduce((sum, capacity) => sum + capacity, 0)
  let count = 0
  let sum = 0
  while (count < capacities.length && sum + capacities[count] / 2 <= wanted) {
    sum += capacities[count]
    count += 1
  }
  return count
}

/** Creates a partition without recorded work. */
export function createEnginePartition(timers: TimerService): EnginePartition {
  const groups = new Map<string, GroupWork>()
  const decayWork = (group: string): GroupWork => {
    const now = timers.now()
    const work = groups.get(group) ?? { long: 0, short: 0, longCount: 0, shortCount: 0, at: now }
    groups.set(group, work)
    const decay = Math.exp(-(now - work.at) / AVERAGING_TIME_MS)
    work.long *= decay
    work.short *= decay
    work.at = now
    return work
  }
  return {
    recordWork: (group, promptLength, workMs) => {
      const work = decayWork(group)
      work[promptLength] += workMs
      work[promptLength === 'long' ? 'longCount' : 'shortCount'] += 1
    },
    listLongPromptEngines: (group, servers, findCapacity) => {
      const { long, short, longCount, shortCount } = decayWork(group)
      const hasEnoughRequests = Math.min(longCount, shortCount) >= MIN_REQUESTS
      if (servers.length < MIN_ENGINES || !hasEnoughRequests) return undefined
      const share = long / (long + short)
      const orderedByHash = [...servers].sort((a, b) => hashText(a) - hashText(b))
      const proportionalCount = findCapacity
        ? countForShare(orderedByHash.map(findCapacity), share)
        : Math.round(share * servers.length)
      const longEngineCount = Math.min(servers.length - 1, Math.max(1, proportionalCount))
      return new Set(orderedByHash.slice(0, longEngineCount))
    },
  }
}
