import { createManualTimerService } from '@spoolgate/core'
import { expect } from 'chai'
import { createLoadAggregator } from '../registry/loadAggregator.js'

const ROUTER_LIFE_MS = 3_000

function createSum() {
  const timers = createManualTimerService()
  return { timers, sum: createLoadAggregator({ timers, routerLifeMs: ROUTER_LIFE_MS }) }
}

describe('the sum of what routers have in progress', () => {
  it('leaves out the router that asks, and servers without work', () => {
    const { sum } = createSum()
    sum.record('r1', { e1: { calls: 2, promptTokens: 100 }, e2: { calls: 1, promptTokens: 0 } })
    sum.record('r2', { e1: { calls: 3, promptTokens: 50 } })
    expect(sum.sumOthers('r1')).to.deep.equal({ e1: { calls: 3, promptTokens: 50 } })
    expect(sum.sumOthers(undefined)).to.deep.equal({
      e1: { calls: 5, promptTokens: 150 },
      e2: { calls: 1, promptTokens: 0 },
    })
  })

  it('counts the routers that a server has asked to back off', () => {
    const { sum } = createSum()
    const backingOff = { e1: { calls: 0, promptTokens: 0, backoffs: 1 } }
    sum.record('r1', backingOff)
    sum.record('r2', backingOff)
    sum.record('r3', { e1: { calls: 1, promptTokens: 7 } })
    expect(sum.sumOthers('r1')).to.deep.equal({ e1: { calls: 1, promptTokens: 7, backoffs: 1 } })
    sum.record('r2', {})
    expect(sum.sumOthers('r3')).to.deep.equal(backingOff)
    sum.record('r1', {})
    expect(sum.sumOthers('r3')).to.deep.equal({})
  })

  it('replaces what a router reported before', () => {
    const { sum } = createSum()
    sum.record('r1', { e1: { calls: 2, promptTokens: 100 } })
    sum.record('r1', { e2: { calls: 1, promptTokens: 9 } })
    expect(sum.sumOthers(undefined)).to.deep.equal({ e2: { calls: 1, promptTokens: 9 } })
    expect(sum.countRouters()).to.equal(1)
  })

  it('forgets routers that do not poll, and no others', () => {
    const { timers, sum } = createSum()
    sum.record('gone', { e1: { calls: 2, promptTokens: 100 } })
    sum.record('here', { e1: { calls: 1, promptTokens: 7 } })
    timers.advance(2_000)
    sum.record('here', { e1: { calls: 1, promptTokens: 7 } })
    timers.advance(2_000)
    expect(sum.countRouters()).to.equal(1)
    expect(sum.sumOthers(undefined)).to.deep.equal({ e1: { calls: 1, promptTokens: 7 } })
  })
})
