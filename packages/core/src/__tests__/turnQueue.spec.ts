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
  it('come after the sockets were looked at, one by one while little waits, in order', async () => {
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

  it('take an eighth of what waits, and 16 at most', async () => {
    const loop = createLoop()
    const turns = createTurnQueue(loop.defer)
    const resumed: number[] = []
    for (let index = 0; index < 200; index += 1) void turns.take().then(() => resumed.push(index))
    const counts: number[] = []
    while (turns.length() > 0) {
      const before = resumed.length
      await loop.turn()
      counts.push(resumed.length - before)
    }
    expect(counts.slice(0, 3)).to.deep.equal([0, 16, 16])
    expect(Math.max(...counts)).to.equal(16)
    expect(counts.at(-1)).to.equal(1)
    expect(resumed).to.deep.equal([...resumed].sort((a, b) => a - b))
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
