/**
 * Continuous batching: in every step each running sequence gets one token, and the step takes
 * longer the more sequences run and the more prompt tokens are computed beside them.
 */
import type { PrefixHash, TimerService } from '@spoolgate/core'
import type { Subscription } from 'rxjs'
import type { BlockCache } from './blockCache.js'

/** Cost model of an engine. */
export interface EngineCosts {
  /** Time of a step with an empty batch, in ms. */
  readonly stepBaseMs: number
  /** Time that each running sequence adds to a step, in ms. */
  readonly stepPerSequenceMs: number
  /** Prompt tokens computed in a millisecond. */
  readonly prefillTokensPerMs: number
  /** Most prompt tokens computed in one step. */
  readonly prefillTokensPerStep: number
  /** Most sequences that run at once. */
  readonly maxBatch: number
}

/** One request in the engine. */
export interface Sequence {
  readonly request: string
  readonly priority: number
  /** Block hashes of the prompt, from its start. */
  readonly blocks: readonly PrefixHash[]
  readonly promptTokens: number
  readonly blockTokens: number
  /** Tokens to generate, those resumed included. */
  readonly maxTokens: number
  /** Tokens of the resumed text, which are computed as prompt. */
  readonly resumedTokens: number
  /** Takes each token by its index. */
  readonly onToken: (index: number) => void
  /** Called after the last token. */
  readonly onEnd: () => void
}

interface RunningSequence {
  readonly sequence: Sequence
  /** Prompt tokens still to compute. */
  missing: number
  generated: number
  cachedTokens: number
}

/** Load as the engine itself sees it. */
export interface EngineLoad {
  readonly running: number
  readonly waiting: number
  /** Prompt tokens not yet computed. */
  readonly pendingTokens: number
}

/** Totals since the engine was created. */
export interface EngineTotals {
  readonly promptTokens: number
  readonly cachedTokens: number
  readonly computedTokens: number
  readonly generatedTokens: number
}

/** A running batch. */
export interface Batch {
  add(sequence: Sequence): void
  /** Takes a request out, whether waiting or running. */
  cancel(request: string): void
  /** Tokens of the prompt that were cached when the request was admitted. */
  findCachedTokens(request: string): number
  /** Whether a block belongs to a prompt that is running or waiting. */
  hasPending(hash: PrefixHash): boolean
  load(): EngineLoad
  totals(): EngineTotals
  /** Multiplies every step's time, to make a slow engine; Infinity hangs it. */
  changeSlowness(factor: number): void
  close(): void
}

/** Shortest step that a timer can keep. */
const MIN_STEP_MS = 1

/** Creates a batch. */
export function createBatch(costs: EngineCosts, cache: BlockCache, timers: TimerService): Batch {
  const waiting: Sequence[] = []
  const running = new Map<string, RunningSequence>()
  const totals = { promptTokens: 0, cachedTokens: 0, computedTokens: 0, generatedTokens: 0 }
  let slowness = 1
  let step: Subscription | undefined
  let stepEnd = 0

  const admit = () => {
    while (running.size < costs.maxBatch && waiting.length > 0) {
      const sequence = waiting.shift() as Sequence
      const cached = cache.match(sequence.blocks) * sequence.blockTokens
      const missing = sequence.promptTokens - cached + sequence.resumedTokens
      totals.promptTokens += sequence.promptTokens
      totals.cachedTokens += cached
      running.set(sequence.request, {
        sequence,
        missing,
        generated: sequence.resumedTokens,
        cachedTokens: cached,
      })
    }
  }

  const computePrompts = (): number => {
    let budget = costs.prefillTokensPerStep
    for (const entry of running.values()) {
      if (budget === 0) break
      const computed = Math.min(entry.missing, budget)
      if (computed === 0) continue
      entry.missing -= computed
      budget -= computed
      totals.computedTokens += computed
      if (entry.missing === 0) cache.store(entry.sequence.blocks)
    }
    return costs.prefillTokensPerStep - budget
  }

  const generateTokens = () => {
    for (const entry of [...running.values()]) {
      if (entry.missing > 0) continue
      const { sequence } = entry
      if (entry.generated < sequence.maxTokens) {
        sequence.onToken(entry.generated)
        entry.generated += 1
        totals.generatedTokens += 1
      }
      if (entry.generated < sequence.maxTokens) continue
      running.delete(sequence.request)
      sequence.onEnd()
    }
  }

  const runStep = () => {
    step = undefined
    admit()
    if (running.size === 0) return
    const decoding = [...running.values()].filter((entry) => entry.missing === 0).length
    const computed = computePrompts()
    const cost =
      costs.stepBaseMs + decoding * costs.stepPerSequenceMs + computed / costs.prefillTokensPerMs
    stepEnd = Math.max(stepEnd, timers.now() - MIN_STEP_MS) + cost * slowness
    if (!Number.isFinite(stepEnd)) return
    const delay = Math.max(0, stepEnd - timers.now())
    step = timers.after(delay).subscribe(() => {
      generateTokens()
      runStep()
    })
  }

  const wake = () => {
    if (step || !Number.isFinite(slowness)) return
    stepEnd = timers.now()
    step = timers.after(0).subscribe(runStep)
  }

  return {
    add: (sequence) => {
      const place = waiting.findIndex((other) => other.priority > sequence.priority)
      waiting.splice(place === -1 ? waiting.length : place, 0, sequence)
      wake()
    },
    cancel: (request) => {
      running.delete(request)
      const place = waiting.findIndex((sequence) => sequence.request === request)
      if (place !== -1) waiting.splice(place, 1)
    },
    findCachedTokens: (request) => running.get(request)?.cachedTokens ?? 0,
    hasPending: (hash) =>
      waiting.some(({ blocks }) => blocks.includes(hash)) ||
      [...running.values()].some(({ sequence }) => sequence.blocks.includes(hash)),
    load: () => {
      const missing = [...running.values()].reduce((sum, entry) => sum + entry.missing, 0)
      const queued = waiting.reduce((sum, sequence) => sum + sequence.promptTokens, 0)
      return { running: running.size, waiting: waiting.length, pendingTokens: missing + queued }
    },
    totals: () => ({ ...totals }),
    changeSlowness: (factor) => {
      slowness = factor
      stepEnd = timers.now()
      wake()
    },
    close: () => {
      step?.unsubscribe()
      waiting.length = 0
      running.clear()
    },
  }
}
