import {
  createManualTimerService,
  createQuietLogger,
  toBackendServerId,
  toServerName,
  type BackendServerId,
  type ManualTimerService,
} from '@spoolgate/core'
import { expect } from 'chai'
import type { EngineReport, LoadOrder } from '../registry/engineClient.js'
import { createServerMonitor } from '../registry/serverMonitor.js'
import { createWeightsRollout, type WeightsRollout } from '../registry/weightsRollout.js'
import type { RaftMember, RaftStatus } from '../raft/types.js'
import type { LoadMark } from '../state/loadState.js'
import { createControlMachine, type ControlMachine } from '../state/controlMachine.js'
import { buildServerIdentity } from '../state/serverState.js'

const STEP_MS = 10
const ORDER_LEASE_MS = 3_000

/** One engine as the rollout sees it. */
interface TestEngine extends EngineReport {
  version: number
  waiting: number
  running: number
}

/** A leader whose engines are objects and whose time moves by hand. */
class TestLeader {
  readonly timers: ManualTimerService = createManualTimerService()
  readonly machine: ControlMachine = createControlMachine()
  readonly engines = new Map<BackendServerId, TestEngine>()
  readonly orders: (LoadOrder & { server: BackendServerId; at: number; mark?: LoadMark })[] = []
  /** Engines that carry orders out and do not answer them. */
  readonly silent = new Set<BackendServerId>()
  status = { role: 'leader', term: 1, hasLease: true } as RaftStatus
  loadedAtOnce = 0
  readonly rollout: WeightsRollout

  constructor() {
    const member = {
      status: () => this.status,
      propose: async (command: unknown) => this.machine.apply(command, 1),
    } as unknown as RaftMember
    this.rollout = createWeightsRollout({
      member,
      machine: this.machine,
      engineClient: {
        fetchReport: async ({ id }) => ({ ...(this.engines.get(id) as TestEngine) }),
        sendLoad: async ({ id, name }, order) => {
          const mark = this.machine.loads.find(name)
          this.orders.push({ ...order, server: id, at: this.timers.now(), mark })
          ;(this.engines.get(id) as TestEngine).version = order.version
          return this.silent.has(id) ? 'unknown' : 'taken'
        },
      },
      instance: 'control-1',
      timers: this.timers,
      logger: createQuietLogger(),
      orderLeaseMs: ORDER_LEASE_MS,
      sumLoads: () => ({}),
      findHeartbeatAgeMs: () => 0,
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
    this.machine.weights.name({ kind: 'weights.name', model: 'm', version })
  }

  async run(duration: number): Promise<void> {
    for (let spent = 0; spent < duration; spent += STEP_MS) {
      this.timers.advance(STEP_MS)
      await new Promise((resolve) => setImmediate(resolve))
      this.loadedAtOnce = Math.max(this.loadedAtOnce, this.rollout.listLoading().length)
    }
  }
}

describe('the rollout of weights', () => {
  let leader: TestLeader

  beforeEach(() => {
    leader = new TestLeader()
  })
  afterEach(async () => {
    const closing = leader.rollout.close()
    await leader.run(100)
    await closing
  })

  it('brings the oldest weights up first, a part of the engines at a time, by rising numbers', async () => {
    for (const [index, name] of ['a', 'b', 'c', 'd', 'e', 'f', 'g'].entries()) {
      leader.addEngine(name, index === 4 ? 1 : 2)
    }
    leader.nameWeights(3)
    await leader.run(5_000)
    expect(leader.orders[0].server).to.equal('e')
    expect(leader.orders).to.have.length(7)
    expect(leader.loadedAtOnce).to.equal(2)
    const numbers = leader.orders.map(({ fencing }) => fencing)
    expect(numbers).to.deep.equal([...numbers].sort((a, b) => a - b))
    expect(new Set(numbers).size).to.equal(7)
    expect(leader.orders.every(({ expectedOrders }) => expectedOrders === 7)).to.equal(true)
  })

  it('skips a version that was overtaken', async () => {
    leader.addEngine('a')
    leader.nameWeights(2)
    leader.nameWeights(5)
    await leader.run(1_000)
    expect(leader.orders.map(({ version }) => version)).to.deep.equal([5])
  })

  it('lets an engine become idle, for longer the more would go on under the new weights', async () => {
    const few = leader.addEngine('few', 1, 2)
    const many = leader.addEngine('many', 1, 9)
    leader.nameWeights(2)
    const findOrder = (name: string) => leader.orders.find(({ server }) => server === name)
    await leader.run(250)
    expect(leader.orders).to.have.length(0)
    await leader.run(250)
    expect(findOrder('few')).to.include({ isKeepingRuns: true })
    expect(few.version).to.equal(2)
    expect(findOrder('many')).to.equal(undefined)
    many.running = 0
    await leader.run(150)
    expect(findOrder('many')).to.include({ isKeepingRuns: false })
  })

  it('waits for requests that the engine has not begun, and not for ever', async () => {
    const engine = leader.addEngine('a', 1, 1)
    engine.waiting = 1
    leader.nameWeights(2)
    await leader.run(1_500)
    expect(leader.orders).to.have.length(0)
    await leader.run(500)
    expect(leader.orders).to.have.length(1)
  })

  /** Records what an earlier leader did with an engine. */
  const markLoad = (kind: 'load.begin' | 'load.end', name: string) =>
    leader.machine.apply({ kind, server: toBackendServerId(name) }, 1)

  it('waits out the orders of an earlier leader, where that may have given any', async () => {
    markLoad('load.begin', 'open')
    markLoad('load.begin', 'endedEarly')
    markLoad('load.end', 'endedEarly')
    await leader.run(ORDER_LEASE_MS)
    markLoad('load.begin', 'endedLate')
    markLoad('load.end', 'endedLate')
    await leader.run(1_000)
    leader.status = { ...leader.status, term: 2 }
    const startedAt = leader.timers.now()
    for (const name of ['open', 'endedEarly', 'endedLate', 'untouched']) leader.addEngine(name)
    leader.nameWeights(2)
    await leader.run(ORDER_LEASE_MS + 2_000)
    const findOrderAt = (name: string) =>
      (leader.orders.find(({ server }) => server === name)?.at ?? Infinity) - startedAt
    expect(findOrderAt('untouched')).to.be.below(500)
    expect(findOrderAt('endedEarly')).to.be.below(1_000)
    // Its last order may have come just before the mark, 1,000 ms before this leadership.
    expect(findOrderAt('endedLate')).to.be.within(ORDER_LEASE_MS - 1_000, ORDER_LEASE_MS)
    expect(findOrderAt('open')).to.be.within(ORDER_LEASE_MS + 100, ORDER_LEASE_MS + 1_500)
  })

  it('notes a load before its first order, and its end unless an order was not answered', async () => {
    leader.addEngine('answered')
    leader.addEngine('silent')
    leader.silent.add(toBackendServerId('silent'))
    leader.nameWeights(2)
    await leader.run(3_000)
    expect(leader.orders.map(({ mark }) => mark)).to.deep.equal(['open', 'open'])
    expect(leader.machine.loads.find(toServerName('answered'))).to.equal('ended')
    expect(leader.machine.loads.find(toServerName('silent'))).to.equal('open')
  })

  it('orders nothing without the lease', async () => {
    leader.status = { ...leader.status, hasLease: false }
    leader.addEngine('a')
    leader.nameWeights(2)
    await leader.run(2_000)
    expect(leader.orders).to.have.length(0)
  })
})

describe('the watch over servers', () => {
  it('names servers whose weights are too old, one that comes late included', () => {
    const timers = createManualTimerService()
    const machine = createControlMachine()
    const watch = createServerMonitor({
      machine,
      timers,
      findHeartbeatAgeMs: () => 0,
      silentAfterMs: 1_000,
      weightsExpireMs: 7_000,
    })
    const observe = (name: string, version: number) =>
      machine.apply(
        {
          kind: 'server.observe',
          server: {
            ...buildServerIdentity(toServerName(name), undefined),
            group: 'g',
            address: name,
            hall: 'h',
            phase: 'ready',
            slots: 1,
            weights: [{ model: 'm', version }],
          },
        },
        1,
      )
    observe('old', 1)
    observe('new', 2)
    machine.apply({ kind: 'weights.name', model: 'm', version: 2 }, 2)
    timers.advance(6_900)
    expect(watch.listExpired()).to.deep.equal([])
    timers.advance(200)
    expect(watch.listExpired()).to.deep.equal(['old'])
    observe('late', 1)
    expect(watch.listExpired()).to.deep.equal(['old', 'late'])
    watch.close()
  })
})
