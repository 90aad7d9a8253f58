import { expect } from 'chai'
import fc from 'fast-check'
import { createPromiseClock, LEAST_MISSED_MS } from '../promiseClock.js'
import { createManualTimerService, createTimerService } from '../timers.js'

describe('time as others may have counted it', () => {
  it('has what a suspended machine slept through, and no timer falls due by it', () => {
    const timers = createManualTimerService()
    const missed: number[] = []
    timers.missed.subscribe((ms) => missed.push(ms))
    let isDue = false
    timers.after(100).subscribe(() => (isDue = true))
    timers.advance(50)
    timers.suspend(4_000)
    expect([timers.now(), timers.promiseNow(), timers.promiseNow()]).to.eql([50, 4_050, 4_050])
    expect(isDue).to.equal(false)
    timers.advance(50)
    expect([timers.now(), timers.promiseNow(), isDue]).to.eql([100, 4_100, true])
    expect(missed).to.deep.equal([4_000])
  })

  it('is never behind what passed, though the time of day is set, and never runs back', () => {
    const move = fc.record({
      ms: fc.nat({ max: 500 }),
      kind: fc.constantFrom('awake', 'asleep', 'setAhead', 'setBack'),
    })
    fc.assert(
      fc.property(fc.array(move, { maxLength: 60 }), (moves) => {
        const timers = createManualTimerService()
        let passed = 0
        let unnoticed = 0
        let last = timers.promiseNow()
        for (const { ms, kind } of moves) {
          if (kind === 'awake') timers.advance(ms)
          if (kind === 'asleep') timers.suspend(ms)
          if (kind === 'setAhead') timers.setWall(ms)
          if (kind === 'setBack') timers.setWall(-ms)
          if (kind === 'awake' || kind === 'asleep') passed += ms
          if (kind === 'asleep' && ms < LEAST_MISSED_MS) unnoticed += ms
          const now = timers.promiseNow()
          expect(now).to.be.at.least(last)
          expect(now).to.be.at.least(passed - unnoticed)
          last = now
        }
      }),
      { seed: 40 },
    )
  })

  it('goes as the steady clock does on a machine that is awake', () => {
    const timers = createTimerService()
    for (let look = 0; look < 1_000; look += 1) {
      const before = timers.now()
      expect(timers.promiseNow()).to.be.at.least(before)
    }
  })

  it('counts a small gain that is none only as it adds up in one look', () => {
    let steady = 0
    let wall = 0
    const missed: number[] = []
    const promiseNow = createPromiseClock({
      steadyNow: () => steady,
      wallNow: () => wall,
      onMissed: (ms) => missed.push(ms),
    })
    for (let look = 0; look < 100; look += 1) {
      steady += 10
      wall += 10.2
      promiseNow()
    }
    expect([promiseNow(), missed]).to.deep.equal([1_000, []])
  })
})
