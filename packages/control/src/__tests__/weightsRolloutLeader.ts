/** A leader that rolls out weights to simulated engines, with a manual clock. */
import {
  createManualTimerService,
  createQuietLogger,
  toServerName,
  type BackendServerId,
  type ManualTimerService,
} from '@spoolgate/core'
import type { EngineReport, LoadOrder } from '../registry/engineClient.js'
import { createWeightsRollout, type WeightsRollout } from '../registry/weightsRollout.js'
import type { RaftMember, RaftStatus } from '../raft/types.js'
import { createControlStateMachine, type ControlStateMachine } from '../state/controlMachine.js'
import { buildServerIdentity } from '../state/serverState.js'
import type { WeightLoadStatus } from '../state/weightLoadState.js'

const STEP_MS = 10
export const ORDER_LEASE_MS = 3_000

/** Simulated engine. */
export interface TestEngine extends EngineReport {
  version: number
  isBusy: boolean
  waiting: number
  running: number
  ordersTaken: number
}

/** A leader with simulated engines and a manual clock. */
export class TestLeader {
  readonly timers: ManualTimerService = createManualTimerService()
  readonly machine: ControlStateMachine = createControlStateMachine()
  readonly engines = new Map<BackendServerId, TestEngine>()
  readonly orders: (LoadOrder & {
    server: BackendServerId
    at: number
    mark?: WeightLoadStatus
  })[] = []
  /** Engines that execute orders without a response. */
  readonly unresponsive = new Set<BackendServerId>()
  /** Engines that neither execute orders nor respond to them. */
  readonly losesOrders = new Set<BackendServerId>()
  /** Engines that leave status polls unanswered once they have accepted an order. */
  readonly losesReports = new Set<BackendServerId>()
  /** Whether orders are accepted and leave the engine busy instead of taking effect at once. */
  acceptsOrders = false
  expired: readonly BackendServerId[] = []
  readonly proposed: string[] = []
  status = { role: 'leader', term: 1, hasLease: true } as RaftStatus
  maxLoading = 0
  readonly rollout: WeightsRollout

  constructor() {
    const member = {
      status: () => this.status,
      propose: async (command: { kind: string }) => {
        this.proposed.push(command.kind)
        return this.machine.apply(command, 1)
      },
    } as unknown as RaftMember
    this.rollout = createWeightsRollout({
      member,
      machine: this.machine,
      engineClient: {
        fetchReport: async ({ id }) => {
          const report = { ...(this.engines.get(id) as TestEngine) }
          if (this.losesReports.has(id) && report.isBusy) throw new Error('no response')
          return report
        },
        sendLoad: async ({ id, name }, order) => {
          const mark = this.machine.weightLoads.find(name)
          this.orders.push({ ...order, server: id, at: this.timers.now(), mark })
          if (this.losesOrders.has(id)) return 'unknown'
          if (this.acceptsOrders || this.losesReports.has(id)) {
            Object.assign(this.engines.get(id) as TestEngine, { isBusy: true })
            return 'taken'
          }
          ;(this.engines.get(id) as TestEngine).version = order.version
          return this.unresponsive.has(id) ? 'unknown' : 'taken'
        },
      },
      instance: 'control-1',
      timers: this.timers,
      logger: createQuietLogger(),
      orderLeaseMs: ORDER_LEASE_MS,
      sumLoads: () => ({}),
      findHeartbeatAgeMs: () => 0,
      listExpired: () => this.expired,
      countOrder: () => undefined,
    })
  }

  addEngine(name: string, version = 1, running = 0): TestEngine {
    const identity = buildServerIdentity(toServerName(name), undefined)
    const { id } = identity
    const engine = { version, isBusy: false, waiting: 0, running, ordersTaken: 7 }
    this.engines.set(id, engine)
    const server = {
      ...identity,
      group: 'g',
      address: name,
      hall: 'h',
      phase: 'ready' as const,
      slots: 4,
      weights: [{ model: 'm', version }],
    }
    this.machine.servers.observe({ kind: 'server.observe', server })
    return engine
  }

  nameWeights(version: number): void {
    this.machine.weights.raiseVersion({ kind: 'weights.name', model: 'm', version })
  }

  async run(duration: number): Promise<void> {
    for (let spent = 0; spent < duration; spent += STEP_MS) {
      this.timers.advance(STEP_MS)
      await new Promise((resolve) => setImmediate(resolve))
      this.maxLoading = Math.max(this.maxLoading, this.rollout.listLoading().length)
    }
  }
}
