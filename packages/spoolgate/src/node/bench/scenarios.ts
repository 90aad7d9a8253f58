/** What happens in the middle of a routing benchmark. */
import type { Workload } from '../load/workload.js'
import type { LocalFleet } from '../local/localFleet.js'

/** What a scenario acts on. */
export interface ScenarioContext {
  readonly fleet: LocalFleet
  readonly workload: Workload
}

type Scenario = (context: ScenarioContext) => Promise<void> | void

const SLOWNESS = 5
const EVENT_LOSS = 0.2
const CRASH_DOWN_MS = 1_000

/** Scenarios by name. */
export const SCENARIOS = {
  steady: () => {},
  /** All hot prefixes change without warning. */
  hotShift: ({ workload }) => workload.shift(),
  engineCrash: async ({ fleet }) => {
    await fleet.engines[0].crash()
    fleet.timers.after(CRASH_DOWN_MS).subscribe(() => void fleet.engines[0].restart())
  },
  slowEngine: ({ fleet }) => fleet.engines[0].changeSlowness(SLOWNESS),
  eventLoss: ({ fleet }) => fleet.engines.forEach((engine) => engine.changeEventLoss(EVENT_LOSS)),
  routerHerd: async ({ fleet }) => {
    await Promise.all(
      fleet.routers.map(async (router, index) => {
        await router?.close(CRASH_DOWN_MS)
        await fleet.startRouter(index)
      }),
    )
  },
} as const satisfies Record<string, Scenario>

/** Name of a scenario. */
export type ScenarioName = keyof typeof SCENARIOS
