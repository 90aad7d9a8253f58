import { expect } from 'chai'
import { createTurnQueue } from '../turnQueue.js'

/** An event loop whose turns are run by hand. */
function createLoop() {
  let deferred: (() => void)[] = []
  const settle = () => new Promise((resolve) => setImmediate(resolve))
  return {
    defer: (run: () => void) => void deferred.push(run),
    isIdle: () => deferred.length === 0,
    turn: async () => {
      const due = deferred
      deferred = []
      for (const run of due) run()
      await settle()
    },
  }
}

describe('turns of the event loop', () => {
  it('come after the sockets were looked at, one piece of work at a time, in order', async () => {
    const loop = createLoop()
    const turns = createTurnQueue(loop.defer)
    const done: string[] = []
    for (const name of ['a', 'b', 'c']) void turns.take().then(() => done.push(name))
    const seen: string[] = []
    for (let turn = 0; turn < 4; turn += 1) {
      await loop.turn()
      seen.push(done.join(''))
    }
    expect(seen).to.deep.equal(['', 'a', 'ab', 'abc'])
  })

  it('give work that is queued in a turn the turn after the next look', async () => {
    const loop = createLoop()
    const turns = createTurnQueue(loop.defer)
    const done: string[] = []
    void turns.take().then(() => done.push('a'))
    await loop.turn()
    void turns.take().then(() => done.push('b'))
    await loop.turn()
    expect(done).to.deep.equal(['a'])
    await loop.turn()
    expect(done).to.deep.equal(['a', 'b'])
  })

  it('are asked for only while something waits', async () => {
    const loop = createLoop()
    const turns = createTurnQueue(loop.defer)
    expect(loop.isIdle()).to.equal(true)
    void turns.take()
    expect(turns.length()).to.equal(1)
    await loop.turn()
    await loop.turn()
    expect(turns.length()).to.equal(0)
    expect(loop.isIdle()).to.equal(true)
  })
})
