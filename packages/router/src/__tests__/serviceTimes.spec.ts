import { expect } from 'chai'
import { createWorkTimes } from '../direct/serviceTimes.js'

describe('the times of work', () => {
  it('start somewhere, and follow what is seen of each group', () => {
    const times = createWorkTimes()
    const start = times.findTokensPerMs('a')
    for (let turn = 0; turn < 3; turn += 1) times.recordRead('a', 4_000, 200)
    expect(times.findTokensPerMs('a')).to.equal(start)
    times.recordRead('a', 4_000, 200)
    expect(times.findTokensPerMs('a')).to.equal(20)
    expect(times.findTokensPerMs('b')).to.equal(start)
  })

  it('take the rate from prompts that did not wait, and from none that say little', () => {
    const times = createWorkTimes()
    for (let turn = 0; turn < 10; turn += 1) times.recordRead('a', 4_000, 100)
    for (let turn = 0; turn < 10; turn += 1) times.recordRead('a', 4_000, 900)
    for (let turn = 0; turn < 10; turn += 1) times.recordRead('a', 20, 30)
    expect(times.findTokensPerMs('a')).to.equal(40)
  })

  it('follow a group that becomes slower', () => {
    const times = createWorkTimes()
    for (let turn = 0; turn < 50; turn += 1) times.recordPlain('p', 20)
    expect(times.findPlainMs('p')).to.equal(20)
    for (let turn = 0; turn < 30; turn += 1) times.recordPlain('p', 90)
    expect(times.findPlainMs('p')).to.equal(90)
  })
})
