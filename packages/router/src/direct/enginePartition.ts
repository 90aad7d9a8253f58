/**
 * Which engines take long prompts and which take short ones. An engine reads prompts in pieces
 * between the tokens that it generates: beside long prompts every token of an answer waits for a
 * piece of 70 ms. So the engines of a group are divided by the work of both kinds; all routers draw
 * the same line without communication, since all see the same mix.
 */
import type { BackendServerId, TimerService } from '@spoolgate/core'
import { hashText } from '@spoolgate/routing'

/** The kind of a generation request by what it makes an engine do. */
export type PromptLength = 'long' | 'short'

/** The division; see {@link createEnginePartition}. */
export interface EnginePartition {
  /** Notes the work of a request that is sent, in ms of an engine. */
  recordWork(group: string, kind: PromptLength, workMs: number): void
  /** Lists the engines that should take long prompts; undefined where there is nothing to divide. */
  listLongPromptEngines(
    group: string,
    servers: readonly BackendServerId[],
  ): ReadonlySet<BackendServerId> | undefined
}

/** Prompt tokens that are to be read from which on a prompt counts as long: half a piece. */
export const LONG_PROMPT_TOKENS = 2_000
/** Time over which work is averaged, in ms: several requests of each kind at each router. */
const AVERAGE_MS = 10_000
/** Engines from which on a group is divided. */
const MIN_ENGINES = 3
/** Requests of each kind before the averages say something. */
const MIN_REQUESTS = 5

interface Work {
  long: number
  short: number
  longCount: number
  shortCount: number
  at: number
}

/** Creates a division that knows of no work. */
export function createEnginePartition(timers: TimerService): EnginePartition {
  const groups = new Map<string, Work>()
  const findWork = (group: string): Work => {
    const now = timers.now()
    const work = groups.get(group) ?? { long: 0, short: 0, longCount: 0, shortCount: 0, at: now }
    groups.set(group, work)
    const kept = Math.exp(-(now - work.at) / AVERAGE_MS)
    work.long *= kept
    work.short *= kept
    work.at = now
    return work
  }
  return {
    recordWork: (group, kind, workMs) => {
      const work = findWork(group)
      work[kind] += workMs
      work[kind === 'long' ? 'longCount' : 'shortCount'] += 1
    },
    listLongPromptEngines: (group, servers) => {
      const { long, short, longCount, shortCount } = findWork(group)
      const isKnown = Math.min(longCount, shortCount) >= MIN_REQUESTS
      if (servers.length < MIN_ENGINES || !isKnown) return undefined
      const share = long / (long + short)
      const count = Math.round(share * servers.length)
      const wanted = Math.min(servers.length - 1, Math.max(1, count))
      const ordered = [...servers].sort((a, b) => hashText(a) - hashText(b))
      return new Set(ordered.slice(0, wanted))
    },
  }
}
