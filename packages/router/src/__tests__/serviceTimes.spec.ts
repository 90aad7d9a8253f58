import { expect } from 'chai'
import { createServiceTimes } from '../direct/serviceTimes.js'

describe('service times', () => {
  it('start at an initial value, and follow the samples of each group', () => {
    const times = createServiceTimes()
    const start = times.findPrefillTokensPerMs('a')
    for (let turn = 0; turn < 3; turn += 1) times.recordPrefill('a', 4_000, 200)
    expect(times.findPrefillTokensPerMs('a')).to.equal(start)
    times.recordPrefill('a', 4_000, 200)
    expect(times.findPrefillTokensPerMs('a')).to.equal(20)
    expect(times.findPrefillTokensPerMs('b')).to.equal(start)
  })

  it('estimate the rate from prompts that did not queue, ignoring short ones', () => {
    const times = createServiceTimes()
    for (let turn = 0; turn < 10; turn += 1) times.recordPrefill('a', 4_000, 100)
    for (let turn = 0; turn < 10; turn += 1) times.recordPrefill('a', 4_000, 900)
    for (let turn = 0; turn < 10; turn += 1) times.recordPrefill('a', 20, 30)
    expect(times.findPrefillTokensPerMs('a')).to.equal(40)
  })

  it('follow a group that slows down', () => {
    const times = createServiceTimes()
    for (let turn = 0; turn < 50; turn += 1) times.recordPlainRequest('p', 20)
    expect(times.findPlainRequestMs('p')).to.equal(20)
    for (let turn = 0; turn < 30; turn += 1) times.recordPlainRequest('p', 90)
    expect(times.findPlainRequestMs('p')).to.equal(90)
  })
})
