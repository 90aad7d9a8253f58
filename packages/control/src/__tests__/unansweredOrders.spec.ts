import { toBackendServerId } from '@spoolgate/core'
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
})
