import { expect } from 'chai'
import { createTurnScheduler } from '../turnScheduler.js'

describe('the scheduler of handlers', () => {
  let deferred: (() => void)[]
  let now: number
  let started: string[]

  const create = () => {
    deferred = []
    now = 0
    started = []
    return createTurnScheduler({ now: () => now, defer: (run) => deferred.push(run) })
  }
  /** Runs what was deferred so far, as one turn of the event loop. */
  const runTurn = () => {
    for (const run of deferred.splice(0)) run()
  }
  const start = (name: string, ms = 0) => {
    return () => {
      now += ms
      started.push(name)
    }
  }

  it('starts handlers at once while nothing waits', () => {
    const scheduler = create()
    for (const name of ['a', 'b']) scheduler.run('calls', {}, start(name))
    expect(started).to.deep.equal(['a', 'b'])
    runTurn()
    expect(deferred).to.deep.equal([])
  })

  it('starts a few in a turn, however many one connection sends', () => {
    const scheduler = create()
    const [busy, other] = [{}, {}]
    for (let count = 0; count < 200; count += 1) scheduler.run('calls', busy, start('busy'))
    expect(started).to.have.length(16)
    scheduler.run('calls', other, start('other'))
    runTurn()
    expect(started).to.have.length(16)
    runTurn()
    expect(started.slice(16, 18)).to.deep.equal(['busy', 'other'])
    while (scheduler.length() > 0) runTurn()
    expect(started).to.have.length(201)
  })

  it('ends a turn whose time is used up', () => {
    const scheduler = create()
    for (const name of ['a', 'b', 'c']) scheduler.run('calls', {}, start(name, 6))
    const counts = [started.length]
    while (scheduler.length() > 0) {
      runTurn()
      counts.push(started.length)
    }
    expect(counts).to.deep.equal([1, 1, 2, 3])
  })

  it('starts handlers of each class, the most of the most urgent one', () => {
    const scheduler = create()
    scheduler.run('metrics', {}, start('first', 6))
    for (let count = 0; count < 6; count += 1)
      for (const traffic of ['metrics', 'calls', 'fleet'] as const)
        scheduler.run(traffic, {}, start(traffic))
    while (started.length < 7) runTurn()
    const counts = ['fleet', 'calls', 'metrics'].map(
      (traffic) => started.slice(1, 7).filter((name) => name === traffic).length,
    )
    expect(counts).to.deep.equal([3, 2, 1])
  })
})
