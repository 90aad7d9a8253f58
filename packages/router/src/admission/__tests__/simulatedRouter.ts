/** A router of the simulation: it decides, queues, shares capacity with the others and sends to the engines. */
import { createRandomSource } from '@spoolgate/core'
import { createAdmissionDecider } from '../admissionDecision.js'
import { createAdmissionQueue } from '../admissionQueue.js'
import { isRoomLeft, MAX_ENGINE_QUEUE_MS, MAX_LATE_ENGINE_QUEUE_MS } from '../engineRoom.js'
import { createEngineWaits } from '../engineWaits.js'
import { findLatestStartOnTime } from '../requestTimes.js'
import {
  estimatePendingMs,
  MAX_REPORT_AGE_MS,
  createSharedRoom,
  type RankedWork,
  type SharedRoom,
} from '../sharedRoom.js'
import type { AdmissionRequest, EngineLoad, GroupCapacity, RefusalReason } from '../types.js'
import { findPrefillMs, TEAM_IDS, type CallerRequest } from './simulatedCallers.js'
import { createEngine, ENGINE, type Events } from './simulatedEngines.js'
import {
  createCreditRoom,
  createLoads,
  createOpenRoom,
  createSimulatedLeader,
  type Loads,
  type SharingMethod,
} from './simulatedSharing.js'

/** A temporary fault. */
export interface SimulatedFault {
  /** `lostReports` loses a third of the exchanges; `engineCrash` restarts a tenth of the engines. */
  readonly kind: 'noLeader' | 'lostReports' | 'routerKilled' | 'engineCrash'
  readonly atMs: number
  readonly durationMs: number
}

/** Options of {@link runAdmissionSimulation}. */
export interface AdmissionSimulationOptions {
  readonly seed: number
  readonly routers: number
  readonly engines: number
  /** Demand as a multiple of what the engines can prefill. */
  readonly load: number
  readonly method: SharingMethod
  readonly durationMs: number
  readonly faults?: readonly SimulatedFault[]
}

interface Entry extends AdmissionRequest {
  readonly caller: CallerRequest
}

const NETWORK_DELAY_MS = 2
const TICK_MS = 25
const SAMPLED_ENGINES = 2
const LEAST_URGENT = 9
const LATE_RANK = 10
const ROUTER_EXPIRY_MS = 3_000
const isCreditRoom = (room: SharedRoom): room is ReturnType<typeof createCreditRoom> =>
  'applyGrant' in room
const ROOMS = {
  direct: createOpenRoom,
  central: createOpenRoom,
  reported: createOpenRoom,
  parts: createSharedRoom,
  credits: createCreditRoom,
}

/** What the routers of a simulation share. */
export interface World {
  readonly events: Events
  readonly options: AdmissionSimulationOptions
  readonly random: ReturnType<typeof createRandomSource>
  readonly engines: ReturnType<typeof createEngine>[]
  readonly leader: ReturnType<typeof createSimulatedLeader>
  readonly intervalMs: number
  readonly isActive: (kind: SimulatedFault['kind']) => boolean
  /** Gives a refused request back to its caller. */
  readonly refuse: (caller: CallerRequest, retryAfterMs: number) => void
  readonly countMessage: () => void
  readonly isMeasured: () => boolean
}

/** Creates a router without load. */
export function createSimulatedRouter(world: World, id: number) {
  const { events, options, random, engines, leader, intervalMs } = world
  const { method } = options
  const own = createLoads(engines.length)
  let others: Loads = createLoads(engines.length)
  let meanOthersMs = 0
  let meanPendingMs = 0
  let reportedCalls = 0
  let reportedAt = 0
  let ownCalls = 0
  /** Pending prefill time of own calls by engine priority, in ms. */
  const ownPendingMs = Array.from({ length: LEAST_URGENT + 1 }, () => 0)
  let isTicking = false
  let isKilled = false
  const queue = createAdmissionQueue<Entry>(method === 'central' ? { maxWaiting: 100_000 } : {})
  const admission = createAdmissionDecider(method === 'central' ? { maxWaiting: 100_000 } : {})
  const engineWaits = createEngineWaits()
  const room: SharedRoom = ROOMS[method]()

  const findLoad = (engine: number): EngineLoad => {
    const reportedMs = others.pendingTokens[engine] / ENGINE.tokensPerMs
    const loadAgeMs = events.now() - reportedAt
    const isStale = loadAgeMs > MAX_REPORT_AGE_MS
    const othersMs =
      method === 'parts' ? estimatePendingMs(reportedMs, meanOthersMs, loadAgeMs) : reportedMs
    return {
      ...ENGINE,
      calls: own.calls[engine] + (isStale ? 0 : others.calls[engine]),
      pendingTokens: own.pendingTokens[engine] + othersMs * ENGINE.tokensPerMs,
      kvTokens: own.kvTokens[engine] + (isStale ? 0 : others.kvTokens[engine]),
      loadAgeMs,
    }
  }
  const chooseEngine = (entry: Entry, isLimited: boolean): number | undefined => {
    let best: number | undefined
    let bestTokens = Infinity
    const isLate = findWork(entry).rank >= LATE_RANK
    const limitMs = isLate ? MAX_LATE_ENGINE_QUEUE_MS : MAX_ENGINE_QUEUE_MS
    for (let sampled = 0; sampled < SAMPLED_ENGINES; sampled += 1) {
      const engine = random.nextInt(engines.length)
      const load = findLoad(engine)
      if (load.pendingTokens >= bestTokens) continue
      if (isLimited && !isRoomLeft(load, entry, limitMs)) continue
      best = engine
      bestTokens = load.pendingTokens
    }
    return best
  }
  const findCapacity = (): GroupCapacity => ({
    slots: engines.length * ENGINE.slots,
    calls: ownCalls + reportedCalls,
    workPerMs: engines.length,
    waitingWorkMs: meanPendingMs * engines.length + queue.findWorkAheadMs(Infinity),
    nextCapacityMs: 0,
    routerShare: room.findShare(events.now()),
  })
  const findWork = (entry: Entry): RankedWork => {
    const isLate = events.now() > findLatestStartOnTime(entry)
    const rank = isLate ? LATE_RANK + entry.band : entry.band
    return { rank, team: entry.team, teamShare: 1, workMs: entry.workMs }
  }
  /** Own pending prefills that an engine serves before the work or with it. */
  const findPendingMs = ({ rank }: RankedWork) =>
    ownPendingMs.slice(0, rank + 1).reduce((sum, ms) => sum + ms, 0)
  const refuse = (entry: Entry, reason: RefusalReason, waitedMs = 0) => {
    if (waitedMs > entry.caller.kind.targetMs / 8) entry.caller.isHeldInVain = true
    const { retryAfterMs } = admission.refuse(entry, reason, findCapacity(), queue, events.now())
    world.refuse(entry.caller, retryAfterMs)
  }
  const changeLoad = (engine: number, { caller, kvTokens }: Entry, sign: 1 | -1) => {
    own.calls[engine] += sign
    own.kvTokens[engine] += sign * kvTokens
    ownCalls += sign
    if (sign > 0) own.pendingTokens[engine] += caller.kind.uncachedTokens
  }
  const send = (entry: Entry, engine: number, isLate: boolean) => {
    const { caller, kvTokens } = entry
    const { kind } = caller
    const targetAt = caller.startedAt + kind.targetMs
    const priority = isLate ? LEAST_URGENT : kind.band
    ownPendingMs[priority] += findPrefillMs(kind)
    const sentAt = events.now()
    let isPending = true
    const finishPrefill = () => {
      if (!isPending) return
      own.pendingTokens[engine] -= kind.uncachedTokens
      ownPendingMs[priority] -= findPrefillMs(kind)
      isPending = false
    }
    changeLoad(engine, entry, 1)
    engines[engine].submit({
      ...kind,
      priority,
      kvTokens,
      isOnTime: () => events.now() <= targetAt,
      onFirstEvent: () => {
        finishPrefill()
        engineWaits.record(priority, events.now() - sentAt - findPrefillMs(kind))
        caller.isServedInPeriod = world.isMeasured()
        caller.outcome = events.now() <= targetAt ? 'onTime' : 'late'
        startWaiting()
      },
      onEnd: (isComplete) => {
        finishPrefill()
        changeLoad(engine, entry, -1)
        const isMissed = events.now() > entry.deadline
        if (!isComplete || isMissed) caller.outcome = 'lost'
        startWaiting()
      },
    })
  }
  /** Starts the first request that this router's part of the capacity allows. */
  const startNext = (): boolean => {
    const now = events.now()
    const next = queue.listNext(now)
    const entry = next.find((waiting) => {
      const work = findWork(waiting)
      return room.isStartAllowed(work, findPendingMs(work), now)
    })
    const engine = entry && chooseEngine(entry, true)
    if (entry === undefined || engine === undefined) return false
    queue.start(entry, now)
    send(entry, engine, findWork(entry).rank >= LATE_RANK)
    return true
  }
  const startWaiting = () => {
    if (isKilled) return
    for (const entry of queue.takeExpired(events.now()))
      refuse(entry, 'deadline', events.now() - entry.arrivedAt)
    while (startNext()) continue
    if (queue.size() === 0) return
    if (isTicking) return
    isTicking = true
    events.at(events.now() + TICK_MS, () => {
      isTicking = false
      startWaiting()
    })
  }
  const createEntry = (caller: CallerRequest): Entry => {
    const { kind, startedAt } = caller
    const now = events.now()
    const prefillMs = findPrefillMs(kind)
    const firstEventMs = prefillMs + engineWaits.estimate(kind.band, kind.targetMs)
    return {
      caller,
      band: kind.band,
      team: TEAM_IDS[caller.team],
      fingerprint: caller.fingerprint,
      workMs: prefillMs,
      kvTokens: kind.promptTokens + kind.outputTokens,
      arrivedAt: now,
      targetAt: now + kind.targetMs,
      deadline: startedAt + kind.deadlineMs,
      bytes: kind.promptTokens * 4,
      firstEventMs,
      serviceMs: firstEventMs + kind.outputTokens * ENGINE.stepMs,
    }
  }
  const arriveDirectly = (entry: Entry) => {
    const engine = chooseEngine(entry, false) as number
    const startMs = findLoad(engine).pendingTokens / ENGINE.tokensPerMs
    const startAt = events.now() + startMs
    const leftMs = entry.deadline - startAt - findPrefillMs(entry.caller.kind)
    if (leftMs < 0) return world.refuse(entry.caller, Math.min(1_000, Math.max(150, -leftMs)))
    const { startedAt, kind } = entry.caller
    const isLate = startAt + findPrefillMs(kind) > startedAt + kind.targetMs
    send(entry, engine, isLate)
  }
  const exchange = () => {
    world.countMessage()
    const now = events.now()
    const demand = room.listDemands(queue.listWaiting(), now)
    const reply = leader.exchange(id, own, demand)
    others = reply.others
    reportedAt = now
    const pending = [...others.pendingTokens].map((tokens) => tokens / ENGINE.tokensPerMs)
    meanOthersMs = pending.reduce((sum, ms) => sum + ms, 0) / engines.length
    const total = pending.map((ms, engine) => ms + own.pendingTokens[engine] / ENGINE.tokensPerMs)
    meanPendingMs = total.reduce((sum, ms) => sum + ms, 0) / engines.length
    reportedCalls = others.calls.reduce((sum, calls) => sum + calls, 0)
    const { routers } = options
    const report = { demands: reply.demands, routers }
    room.applyReport({ ...report, workPerMs: engines.length }, queue.listWaiting(), now)
    if (isCreditRoom(room)) room.applyGrant(leader.grant(id, reply.demands, intervalMs, routers))
    startWaiting()
  }
  const poll = () => {
    if (isKilled) return
    const isLost = world.isActive('lostReports') && random.next() < 1 / 3
    if (!world.isActive('noLeader') && !isLost) exchange()
    events.at(events.now() + intervalMs + 2 * NETWORK_DELAY_MS, poll)
  }
  return {
    poll,
    isKilled: () => isKilled,
    /** Stops the router: what waits is lost, and its last report expires. */
    kill: () => {
      isKilled = true
      for (let entry = queue.take(events.now()); entry; entry = queue.take(events.now()))
        entry.caller.outcome = 'lost'
      events.at(events.now() + ROUTER_EXPIRY_MS, () => leader.remove(id))
    },
    arrive: (caller: CallerRequest) => {
      const created = createEntry(caller)
      if (method === 'direct') return arriveDirectly(created)
      const now = events.now()
      const entry = { ...created, targetAt: admission.findTargetAt(created, now) }
      room.recordArrival(findWork(entry), now)
      const decision = admission.decide(entry, findCapacity(), queue, now)
      if (decision.kind === 'refuse') return world.refuse(caller, decision.retryAfterMs)
      if (!queue.add(entry)) return refuse(entry, 'full')
      startWaiting()
    },
  }
}
