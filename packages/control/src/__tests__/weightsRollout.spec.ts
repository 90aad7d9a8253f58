import { createManualTimerService, toBackendServerId, toServerName } from '@spoolgate/core'
import { expect } from 'chai'
import { createServerMonitor } from '../registry/serverMonitor.js'
import { createControlStateMachine } from '../state/controlMachine.js'
import { buildServerIdentity } from '../state/serverState.js'
import { ORDER_LEASE_MS, TestLeader } from './weightsRolloutLeader.js'

describe('weights rollout', () => {
  let leader: TestLeader

  beforeEach(() => {
    leader = new TestLeader()
  })
  afterEach(async () => {
    const closing = leader.rollout.close()
    await leader.run(100)
    await closing
  })

  it('loads the oldest weights first, on a fraction of the engines at a time, with increasing fencing tokens', async () => {
    for (const [index, name] of ['a', 'b', 'c', 'd', 'e', 'f', 'g'].entries()) {
      leader.addEngine(name, index === 4 ? 1 : 2)
    }
    leader.nameWeights(3)
    await leader.run(5_000)
    expect(leader.orders[0].server).to.equal('e')
    expect(leader.orders).to.have.length(7)
    expect(leader.maxLoading).to.equal(2)
    const numbers = leader.orders.map(({ fencing }) => fencing)
    expect(numbers).to.deep.equal([...numbers].sort((a, b) => a - b))
    expect(new Set(numbers).size).to.equal(7)
    expect(leader.orders.every(({ expectedOrders }) => expectedOrders === 7)).to.equal(true)
  })

  it('skips a superseded version', async () => {
    leader.addEngine('a')
    leader.nameWeights(2)
    leader.nameWeights(5)
    await leader.run(1_000)
    expect(leader.orders.map(({ version }) => version)).to.deep.equal([5])
  })

  it('waits longer for an engine to become idle the more requests are still running', async () => {
    const few = leader.addEngine('few', 1, 2)
    const many = leader.addEngine('many', 1, 9)
    leader.nameWeights(2)
    const findOrder = (name: string) => leader.orders.find(({ server }) => server === name)
    await leader.run(250)
    expect(leader.orders).to.have.length(0)
    await leader.run(250)
    expect(findOrder('few')).to.include({ keepsRunningRequests: true })
    expect(few.version).to.equal(2)
    expect(findOrder('many')).to.equal(undefined)
    many.running = 0
    await leader.run(150)
    expect(findOrder('many')).to.include({ keepsRunningRequests: false })
  })

  it('waits for queued requests, but only for a limited time', async () => {
    const engine = leader.addEngine('a', 1, 1)
    engine.waiting = 1
    leader.nameWeights(2)
    await leader.run(1_500)
    expect(leader.orders).to.have.length(0)
    await leader.run(500)
    expect(leader.orders).to.have.length(1)
  })

  /** Records the weight load status of a previous leader. */
  const markLoad = (kind: 'load.begin' | 'load.end', name: string) =>
    leader.machine.apply({ kind, server: toBackendServerId(name) }, 1)

  it('waits for the order lease of a previous leader only at engines that it may have sent orders to', async () => {
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
    // Its last order may have been sent just before the mark, 1,000 ms before this leadership.
    expect(findOrderAt('endedLate')).to.be.within(ORDER_LEASE_MS - 1_000, ORDER_LEASE_MS)
    expect(findOrderAt('open')).to.be.within(ORDER_LEASE_MS + 100, ORDER_LEASE_MS + 1_500)
  })

  it('records a load before its first order, and its end unless an order got no response', async () => {
    leader.addEngine('answered')
    leader.addEngine('silent')
    leader.unresponsive.add(toBackendServerId('silent'))
    leader.nameWeights(2)
    await leader.run(3_000)
    expect(leader.orders.map(({ mark }) => mark)).to.deep.equal(['open', 'open'])
    expect(leader.machine.weightLoads.find(toServerName('answered'))).to.equal('ended')
    expect(leader.machine.weightLoads.find(toServerName('silent'))).to.equal('open')
  })

  it('sends no orders without the leader lease', async () => {
    leader.status = { ...leader.status, hasLease: false }
    leader.addEngine('a')
    leader.nameWeights(2)
    await leader.run(2_000)
    expect(leader.orders).to.have.length(0)
  })
})

describe('server monitor', () => {
  it('lists servers with expired weights, including one that registers late', () => {
    const timers = createManualTimerService()
    const machine = createControlStateMachine()
    const monitor = createServerMonitor({
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
    expect(monitor.listExpired()).to.deep.equal([])
    timers.advance(200)
    expect(monitor.listExpired()).to.deep.equal(['old'])
    observe('late', 1)
    expect(monitor.listExpired()).to.deep.equal(['old', 'late'])
    monitor.close()
  })
})
