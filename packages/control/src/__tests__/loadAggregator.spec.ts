import { createManualTimerService } from '@spoolgate/core'
import { expect } from 'chai'
import { createLoadAggregator } from '../registry/loadAggregator.js'

const ROUTER_LIFE_MS = 3_000

function createAggregator() {
  const timers = createManualTimerService()
  return { timers, aggregator: createLoadAggregator({ timers, routerLifeMs: ROUTER_LIFE_MS }) }
}

describe('load aggregator', () => {
  it('excludes the given router, and servers without load', () => {
    const { aggregator } = createAggregator()
    aggregator.record('r1', {
      e1: { calls: 2, promptTokens: 100 },
      e2: { calls: 1, promptTokens: 0 },
    })
    aggregator.record('r2', { e1: { calls: 3, promptTokens: 50 } })
    expect(aggregator.sumExcept('r1')).to.deep.equal({ e1: { calls: 3, promptTokens: 50 } })
    expect(aggregator.sumExcept(undefined)).to.deep.equal({
      e1: { calls: 5, promptTokens: 150 },
      e2: { calls: 1, promptTokens: 0 },
    })
  })

  it('counts the routers asked by a server to back off', () => {
    const { aggregator } = createAggregator()
    const backingOff = { e1: { calls: 0, promptTokens: 0, backoffs: 1 } }
    aggregator.record('r1', backingOff)
    aggregator.record('r2', backingOff)
    aggregator.record('r3', { e1: { calls: 1, promptTokens: 7 } })
    expect(aggregator.sumExcept('r1')).to.deep.equal({
      e1: { calls: 1, promptTokens: 7, backoffs: 1 },
    })
    aggregator.record('r2', {})
    expect(aggregator.sumExcept('r3')).to.deep.equal(backingOff)
    aggregator.record('r1', {})
    expect(aggregator.sumExcept('r3')).to.deep.equal({})
  })

  it('replaces the previous report of a router', () => {
    const { aggregator } = createAggregator()
    aggregator.record('r1', { e1: { calls: 2, promptTokens: 100 } })
    aggregator.record('r1', { e2: { calls: 1, promptTokens: 9 } })
    expect(aggregator.sumExcept(undefined)).to.deep.equal({ e2: { calls: 1, promptTokens: 9 } })
    expect(aggregator.countRouters()).to.equal(1)
  })

  it('removes only routers that stopped polling', () => {
    const { timers, aggregator } = createAggregator()
    aggregator.record('gone', { e1: { calls: 2, promptTokens: 100 } })
    aggregator.record('here', { e1: { calls: 1, promptTokens: 7 } })
    timers.advance(2_000)
    aggregator.record('here', { e1: { calls: 1, promptTokens: 7 } })
    timers.advance(2_000)
    expect(aggregator.countRouters()).to.equal(1)
    expect(aggregator.sumExcept(undefined)).to.deep.equal({ e1: { calls: 1, promptTokens: 7 } })
  })
})
