import { expect } from 'chai'
import fc from 'fast-check'
import { createBootClock, LEAST_SUSPENSION_MS } from '../bootClock.js'
import { createManualTimerService, createTimerService } from '../timers.js'

/** Step of the clock since boot on common machines, in ms. */
const COARSE_MS = 10

describe('time that a suspended machine does not count', () => {
  it('is added once somebody looks, and no timer falls due by it', () => {
    const timers = createManualTimerService()
    const noticed: number[] = []
    timers.suspensions.subscribe((ms) => noticed.push(ms))
    let isDue = false
    timers.after(100).subscribe(() => (isDue = true))
    timers.advance(50)
    timers.suspend(4_000)
    expect(timers.now()).to.equal(50)
    expect(timers.bootNow()).to.equal(4_050)
    expect([timers.now(), isDue]).to.deep.equal([4_050, false])
    timers.advance(50)
    expect([timers.now(), isDue]).to.deep.equal([4_100, true])
    expect(noticed).to.deep.equal([4_000])
  })

  it('is counted to the last look within what the clock since boot tells, and never runs back', () => {
    const move = fc.record({
      ms: fc.nat({ max: 500 }),
      isAsleep: fc.boolean(),
      looks: fc.boolean(),
    })
    fc.assert(
      fc.property(fc.array(move, { maxLength: 60 }), (moves) => {
        let steady = 1_000
        let all = 7_003
        const clock = createBootClock({
          steadyNow: () => steady,
          sinceBoot: () => Math.floor(all / COARSE_MS) * COARSE_MS,
          onSuspended: () => {},
        })
        const startedAt = all
        const from = clock.now()
        let last = from
        for (const { ms, isAsleep, looks } of moves) {
          all += ms
          if (!isAsleep) steady += ms
          const now = looks ? clock.bootNow() : clock.now()
          expect(now).to.be.at.least(last)
          last = now
          const missing = all - startedAt - (now - from)
          expect(missing).to.be.at.least(-2 * COARSE_MS)
          if (looks) expect(missing).to.be.below(LEAST_SUSPENSION_MS + 2 * COARSE_MS)
        }
      }),
      { seed: 40 },
    )
  })

  it('goes as the steady clock does on a machine that is awake', () => {
    const timers = createTimerService()
    const noticed: number[] = []
    timers.suspensions.subscribe((ms) => noticed.push(ms))
    const before = performance.now()
    for (let look = 0; look < 1_000; look += 1) timers.bootNow()
    expect(timers.now() - before).to.be.at.most(performance.now() - before)
    expect(noticed).to.deep.equal([])
  })
})
