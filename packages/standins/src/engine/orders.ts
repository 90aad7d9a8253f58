/** Orders that an engine takes: load weights, load an adapter, change role. */
import { SpoolgateError, waitFor, type TimerService } from '@spoolgate/core'

/** Options of {@link createOrderGate}. */
export interface OrderGateOptions {
  readonly weightsVersion: string
  /** Whether an old fencing number is refused. */
  readonly checksFencing: boolean
  /** Time to load weights, in ms. */
  readonly loadWeightsMs: number
  readonly timers: TimerService
  /** Called when other weights are in place. */
  readonly onWeights: () => void
}

/** One order as it was applied. */
export interface AppliedOrder {
  readonly fencing: number
  readonly action: string
  readonly value: string
}

/** State that orders change. */
export interface OrderGate {
  weightsVersion(): string
  isReady(): boolean
  /** Orders in the order of application; the judge of fencing in tests. */
  readonly applied: readonly AppliedOrder[]
  /** @throws SpoolgateError `conflict` for an old fencing number, where that is checked. */
  apply(order: Readonly<Record<string, unknown>>): Promise<{ readonly applied: boolean }>
}

/** Creates the order gate of an engine. */
export function createOrderGate(options: OrderGateOptions): OrderGate {
  const applied: AppliedOrder[] = []
  let weightsVersion = options.weightsVersion
  let highest = 0
  let loading = 0

  const loadWeights = async (version: string) => {
    loading += 1
    await waitFor(options.timers, options.loadWeightsMs)
    loading -= 1
    weightsVersion = version
    options.onWeights()
  }
  const actions: Readonly<Record<string, (value: string) => Promise<void>>> = {
    loadWeights,
    loadAdapter: async () => {},
    changeRole: async () => {},
  }

  return {
    weightsVersion: () => weightsVersion,
    isReady: () => loading === 0,
    applied,
    apply: async (order) => {
      const { fencing, action, value } = order as unknown as AppliedOrder
      const run = actions[action]
      if (!run) throw new SpoolgateError('invalidRequest', `unknown order "${action}"`)
      if (options.checksFencing && fencing < highest) {
        throw new SpoolgateError('conflict', `fencing number ${fencing} is below ${highest}`)
      }
      highest = Math.max(highest, fencing)
      applied.push({ fencing, action, value })
      await run(value)
      return { applied: true }
    },
  }
}
