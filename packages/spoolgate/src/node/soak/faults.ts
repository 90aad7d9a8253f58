/** Faults of a soak run, drawn from its seed. Each undoes itself after a while. */
import { waitFor, type RandomSource } from '@spoolgate/core'
import type { Workload } from '../load/workload.js'
import type { LocalFleet } from '../local/localFleet.js'

/** What faults act on. */
export interface FaultContext {
  readonly fleet: LocalFleet
  readonly workload: Workload
  readonly random: RandomSource
  /** Links between control members that are cut, as `index>member`. */
  readonly cutLinks: Set<string>
  /** Instances that a fault holds, so that no second one starts or stops the same at once. */
  readonly held: Set<string>
  /** Called before the connections of callers are cut on purpose. */
  readonly onRouterKilled: () => void
  /** Called when a router begins a planned stop. */
  readonly onRouterStopped: () => void
}

type Fault = (context: FaultContext) => Promise<void>

const DOWN_MS = 400
const SLOW_MS = 1_000
const CUT_MS = 1_500
const SLOWNESS = 5
const EVENT_LOSS = 0.3
const DRAIN_MS = 5_000

/** Chooses an index that no other fault holds; undefined when all are held. */
function chooseFree(context: FaultContext, kind: string, count: number): number | undefined {
  const free = Array.from({ length: count }, (_, index) => index).filter(
    (index) => !context.held.has(`${kind}-${index}`),
  )
  return free.length === 0 ? undefined : context.random.choose(free)
}

/** Runs `work` on one free instance of a kind, and holds it meanwhile. */
async function runHeld(
  context: FaultContext,
  kind: string,
  count: number,
  work: (index: number) => Promise<void>,
): Promise<void> {
  const index = chooseFree(context, kind, count)
  if (index === undefined) return
  context.held.add(`${kind}-${index}`)
  try {
    await work(index)
  } finally {
    context.held.delete(`${kind}-${index}`)
  }
}

/** Crashes one of some backend servers, and lets it come back. */
function runCrash(
  context: FaultContext,
  kind: string,
  backends: readonly { crash(): Promise<void>; restart(): Promise<void> }[],
): Promise<void> {
  return runHeld(context, kind, backends.length, async (index) => {
    await backends[index].crash()
    await waitFor(context.fleet.timers, DOWN_MS)
    await backends[index].restart()
  })
}

const restartSidecar = (drainMs: number): Fault => {
  return (context) =>
    runHeld(context, 'sidecar', context.fleet.sidecars.length, async (index) => {
      const { fleet } = context
      await fleet.sidecars[index]?.close(drainMs)
      await waitFor(fleet.timers, DOWN_MS)
      await fleet.startSidecar(index)
    })
}

const restartRouter = (drainMs: number): Fault => {
  return (context) =>
    runHeld(context, 'router', context.fleet.routers.length, async (index) => {
      const { fleet } = context
      if (drainMs === 0) context.onRouterKilled()
      else context.onRouterStopped()
      await fleet.routers[index]?.close(drainMs)
      await fleet.startRouter(index)
    })
}

/** Faults by name. */
export const FAULTS: Readonly<Record<string, Fault>> = {
  engineCrash: (context) => runCrash(context, 'engine', context.fleet.engines),
  serviceCrash: (context) => runCrash(context, 'service', context.fleet.services),
  slowEngine: (context) =>
    runHeld(context, 'engine', context.fleet.engines.length, async (index) => {
      const engine = context.fleet.engines[index]
      engine.changeSlowness(SLOWNESS)
      await waitFor(context.fleet.timers, SLOW_MS)
      engine.changeSlowness(1)
    }),
  eventLoss: async ({ fleet }) => {
    for (const engine of fleet.engines) engine.changeEventLoss(EVENT_LOSS)
    await waitFor(fleet.timers, SLOW_MS)
    for (const engine of fleet.engines) engine.changeEventLoss(0)
  },
  hotShift: async ({ workload }) => workload.shift(),
  sidecarKilled: restartSidecar(0),
  sidecarLeaving: restartSidecar(DRAIN_MS),
  routerKilled: restartRouter(0),
  routerStopped: restartRouter(DRAIN_MS),
  routerHerd: async (context) => {
    const { fleet } = context
    await Promise.all(fleet.routers.map(() => restartRouter(DRAIN_MS)(context)))
  },
  controlKilled: (context) =>
    runHeld(context, 'control', context.fleet.controls.length, async (index) => {
      const { fleet } = context
      // A majority must stay: the loss of two at once is a matter for operators.
      if ([...context.held].filter((name) => name.startsWith('control')).length > 1) return
      await fleet.controls[index]?.close(0)
      fleet.controls[index] = undefined
      await waitFor(fleet.timers, DOWN_MS)
      await fleet.startControl(index)
    }),
  controlCut: async (context) => {
    const { fleet, cutLinks, random } = context
    const index = random.nextInt(fleet.controls.length)
    const isOneWay = random.next() < 0.5
    const links = fleet.controls.flatMap((_, other) =>
      other === index
        ? []
        : [`${index}>control-${other}`, ...(isOneWay ? [] : [`${other}>control-${index}`])],
    )
    for (const link of links) cutLinks.add(link)
    await waitFor(fleet.timers, CUT_MS)
    for (const link of links) cutLinks.delete(link)
  },
}
