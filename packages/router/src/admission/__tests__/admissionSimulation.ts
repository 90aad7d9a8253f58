/** Simulates admission in virtual time: callers, routers that learn of each other with a delay, and engines. */
import { createRandomSource } from '@spoolgate/core'
import {
  createCallerRequest,
  findRatePerMs,
  KINDS,
  measureBand,
  type BandResult,
  type CallerRequest,
} from './simulatedCallers.js'
import { createEngine, createEvents } from './simulatedEngines.js'
import {
  createSimulatedRouter,
  type AdmissionSimulationOptions,
  type World,
} from './simulatedRouter.js'
import { createSimulatedLeader } from './simulatedSharing.js'

export type { AdmissionSimulationOptions }

/** Result of a simulation, of the requests that arrived after the warm-up. */
export interface AdmissionSimulationResult {
  /** Results by band. */
  readonly bands: readonly BandResult[]
  /** Value of all requests, as a fraction of the value if all were on time. */
  readonly value: number
  /** Time in which the engines prefilled, as a fraction of the period. */
  readonly busy: number
  /** Part of the prefill time that was for requests on time. */
  readonly usefulBusy: number
  readonly heldInVain: number
  /** Most prompt tokens that waited at one engine. */
  readonly maxPendingTokens: number
  readonly messagesPerS: number
}

const WARM_UP_MS = 1_000
/** Load before the measured period, so that it begins with a burst. */
const WARM_UP_LOAD = 0.5
const DRAIN_MS = 20_000
/** Part of its remaining time that a caller waits for a retry, as 1 of this many. */
const CALLER_PART = 3
const MS_PER_S = 1_000

function findIntervalMs(routers: number): number {
  return 100 + 2 * routers
}

function measure(callers: readonly CallerRequest[]) {
  const bands = KINDS.map(({ band }) => measureBand(callers.filter((c) => c.kind.band === band)))
  const most = callers.reduce((sum, { kind }) => sum + kind.values[0], 0)
  const findValue = ({ outcome, kind: { values } }: CallerRequest) =>
    outcome === 'onTime' ? values[0] : outcome === 'late' ? values[1] : 0
  const value = callers.reduce((sum, caller) => sum + findValue(caller), 0) / most
  const heldInVain = callers.filter(({ isHeldInVain }) => isHeldInVain).length / callers.length
  return { bands, value, heldInVain }
}

/** Runs one simulation; the same options give the same result. */
export function runAdmissionSimulation(
  options: AdmissionSimulationOptions,
): AdmissionSimulationResult {
  const { seed, engines: engineCount, load, durationMs, faults = [], method } = options
  const routerCount = method === 'central' ? 1 : options.routers
  const random = createRandomSource(seed)
  const events = createEvents()
  const warmUpMs = WARM_UP_MS + 3 * findIntervalMs(routerCount)
  const endAt = warmUpMs + durationMs
  const isMeasured = () => events.now() >= warmUpMs && events.now() < endAt
  const times = { busyMs: 0, onTimeMs: 0 }
  let messages = 0
  const engines = Array.from({ length: engineCount }, () => createEngine(events, times, isMeasured))
  const chooseRouter = () => random.choose(routers.filter((router) => !router.isKilled()))
  const world: World = {
    events,
    options: { ...options, routers: routerCount },
    random,
    engines,
    leader: createSimulatedLeader(engineCount),
    intervalMs: findIntervalMs(routerCount),
    isActive: (kind) =>
      faults.some(
        (fault) =>
          fault.kind === kind &&
          events.now() >= fault.atMs &&
          events.now() < fault.atMs + fault.durationMs,
      ),
    refuse: (caller, retryAfterMs) => {
      const leftMs = caller.startedAt + caller.kind.deadlineMs - events.now()
      caller.outcome = 'refused'
      if (caller.attempts >= 2 || leftMs <= 0) return
      events.at(events.now() + Math.min(retryAfterMs, leftMs / CALLER_PART), () => submit(caller))
    },
    isMeasured,
    countMessage: () => {
      if (isMeasured()) messages += 1
    },
  }
  const submit = (caller: CallerRequest) => {
    caller.attempts += 1
    chooseRouter().arrive(caller)
  }
  const routers = Array.from({ length: routerCount }, (_, id) => createSimulatedRouter(world, id))
  for (const router of routers) events.at(random.next() * world.intervalMs, router.poll)
  const callers: CallerRequest[] = []
  for (const kind of KINDS) {
    const findRate = () =>
      findRatePerMs(kind, engineCount, events.now() < warmUpMs ? WARM_UP_LOAD : load)
    const arrive = () => {
      const caller = createCallerRequest(kind, callers.length, random, events.now())
      callers.push(caller)
      submit(caller)
      const next = events.now() - Math.log(1 - random.next()) / findRate()
      if (next < endAt) events.at(next, arrive)
    }
    events.at(0, arrive)
  }
  for (const { kind, atMs } of faults) {
    if (kind === 'routerKilled') events.at(atMs, routers[0].kill)
    if (kind !== 'engineCrash') continue
    for (const engine of engines.slice(0, Math.ceil(engineCount / 10)))
      events.at(atMs, engine.restart)
  }
  let maxPendingTokens = 0
  const sample = () => {
    for (const engine of engines)
      maxPendingTokens = Math.max(maxPendingTokens, engine.findPendingTokens())
    if (events.now() < endAt) events.at(events.now() + 5, sample)
  }
  events.at(warmUpMs, sample)
  events.run(endAt + DRAIN_MS)
  return {
    ...measure(callers.filter(({ startedAt }) => startedAt >= warmUpMs)),
    busy: times.busyMs / (engineCount * durationMs),
    usefulBusy: times.onTimeMs / times.busyMs,
    maxPendingTokens,
    messagesPerS: messages / (durationMs / MS_PER_S),
  }
}
