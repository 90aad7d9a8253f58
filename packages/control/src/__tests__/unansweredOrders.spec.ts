import { toBackendServerId, toServerName } from '@spoolgate/core'
import { expect } from 'chai'
import { TestLeader } from './weightsRolloutLeader.js'

/** Age of a newer version at which older weights expire, in ms. */
const EXPIRE_MS = 7_000

describe('weights rollout to engines that leave orders unanswered', () => {
  let leader: TestLeader

  beforeEach(() => {
    leader = new TestLeader()
  })
  afterEach(async () => {
    const closing = leader.rollout.close()
    await leader.run(100)
    await closing
  })

  it('does not let weights expire before the first order because other engines leave theirs unanswered', async () => {
    const names = ['lost-1', 'lost-2', 'a', 'b', 'c', 'd']
    for (const name of names) leader.addEngine(name)
    for (const name of names.slice(0, 2)) leader.losesOrders.add(toBackendServerId(name))
    leader.nameWeights(2)
    await leader.run(EXPIRE_MS)
    const ordered = new Set(leader.orders.map(({ server }) => server as string))
    expect([...ordered].sort()).to.deep.equal([...names].sort())
  })

  it('does not let weights expire because engines accept an order and then leave polls unanswered', async () => {
    const names = ['mute-1', 'mute-2', 'a', 'b', 'c', 'd']
    for (const name of names) leader.addEngine(name)
    for (const name of names.slice(0, 2)) leader.losesReports.add(toBackendServerId(name))
    leader.nameWeights(2)
    await leader.run(EXPIRE_MS)
    const loaded = names.filter(
      (name) => leader.engines.get(toBackendServerId(name))?.version === 2,
    )
    expect(loaded).to.deep.equal(['a', 'b', 'c', 'd'])
  })

  it('does not hold a place once a heartbeat has shown the newer version', async () => {
    leader.addEngine('a')
    leader.acceptsOrders = true
    leader.nameWeights(2)
    await leader.run(500)
    expect(leader.rollout.listLoading()).to.deep.equal(['a'])
    const server = leader.machine.servers.find(toBackendServerId('a'))
    const weights = [{ model: 'm', version: 2 }]
    leader.machine.apply({ kind: 'server.observe', server: { ...server, weights } }, 1)
    await leader.run(200)
    expect(leader.rollout.listLoading()).to.deep.equal([])
  })

  it('does not keep an engine out of service when its order has no effect', async () => {
    leader.addEngine('a')
    leader.losesOrders.add(toBackendServerId('a'))
    leader.nameWeights(2)
    await leader.run(500)
    expect(leader.rollout.listLoading()).to.deep.equal(['a'])
    await leader.run(500)
    expect(leader.orders).to.have.length(1)
    expect(leader.rollout.listLoading()).to.deep.equal([])
  })

  it('does not miss the load of an order that is executed late', async () => {
    const engine = leader.addEngine('a')
    const other = leader.addEngine('b')
    leader.losesOrders.add(toBackendServerId('a'))
    leader.nameWeights(2)
    await leader.run(1_000)
    expect(other.version).to.equal(2)
    Object.assign(engine, { isBusy: true, ordersTaken: 8 })
    await leader.run(500)
    expect(leader.rollout.listLoading()).to.deep.equal(['a'])
    Object.assign(engine, { isBusy: false, version: 2 })
    await leader.run(200)
    expect(leader.rollout.listLoading()).to.deep.equal([])
    const held = leader.machine.servers.find(toBackendServerId('a'))
    expect(held?.weights).to.deep.equal([{ model: 'm', version: 2 }])
  })

  it('does not hold a place for a version that was named after the load began', async () => {
    const engine = leader.addEngine('a')
    leader.addEngine('b')
    engine.isBusy = true
    leader.nameWeights(2)
    await leader.run(1_000)
    leader.nameWeights(3)
    Object.assign(engine, { isBusy: false, version: 2, running: 15 })
    expect(leader.rollout.listLoading()).to.deep.equal(['a'])
    await leader.run(200)
    expect(leader.rollout.listLoading()).to.deep.equal(['b'])
  })

  it('does not take the last engine in service out for a load while the others have expired', async () => {
    for (const name of ['a', 'b', 'c']) leader.addEngine(name)
    for (const name of ['a', 'b']) leader.losesOrders.add(toBackendServerId(name))
    leader.expired = ['a', 'b'].map((name) => toBackendServerId(name))
    leader.nameWeights(2)
    await leader.run(3_000)
    expect(leader.orders.map(({ server }) => server as string))
      .to.include('b')
      .and.not.include('c')
    leader.expired = ['a', 'b', 'c'].map((name) => toBackendServerId(name))
    await leader.run(1_000)
    expect(leader.orders.map(({ server }) => server as string)).to.include('c')
  })

  it('does not wait for idleness at engines with expired weights, and orders no more than the places', async () => {
    const names = ['a', 'b', 'c', 'd', 'e', 'f']
    const engines = names.map((name) => leader.addEngine(name, 1, 15))
    leader.expired = names.map((name) => toBackendServerId(name))
    leader.acceptsOrders = true
    leader.nameWeights(2)
    await leader.run(3_000)
    expect(leader.orders.map(({ at }) => at <= 50)).to.deep.equal([true, true])
    for (const engine of engines) engine.version = 2
    await leader.run(100)
    expect(leader.rollout.listLoading()).to.deep.equal([])
  })

  it('does not end a mark while an order is in transit, nor propose it again', async () => {
    const engine = leader.addEngine('a')
    leader.losesOrders.add(toBackendServerId('a'))
    leader.nameWeights(2)
    await leader.run(5_000)
    leader.losesOrders.clear()
    await leader.run(2_000)
    expect(engine.version).to.equal(2)
    expect(leader.orders.length).to.be.above(2)
    expect(leader.proposed.filter((kind) => kind.startsWith('load.'))).to.deep.equal(['load.begin'])
    expect(leader.machine.weightLoads.find(toServerName('a'))).to.equal('open')
    await leader.run(12_000)
    leader.nameWeights(3)
    await leader.run(1_000)
    expect(leader.machine.weightLoads.find(toServerName('a'))).to.equal('ended')
  })
})
