import { createManualTimerService } from '@spoolgate/core'
import { expect } from 'chai'
import { createWeightsHistory, findSupersededAt } from '../registry/weightsHistory.js'

describe('the history of weights versions', () => {
  it('counts the age of old weights from the first newer version, not from the newest', () => {
    const timers = createManualTimerService()
    const history = createWeightsHistory(timers)
    for (const version of [1, 2, 3]) {
      history.record({ m: version }, timers.now())
      timers.advance(1_000)
    }
    const find = (version: number) => findSupersededAt(history.times(), 'm', version)
    expect([1, 2, 3].map(find)).to.deep.equal([1_000, 2_000, undefined])
    expect(findSupersededAt(history.times(), 'other', 1)).to.equal(undefined)
  })

  it('never makes old weights seem younger when an instance learns of a version late or again', () => {
    const timers = createManualTimerService()
    const leader = createWeightsHistory(timers)
    leader.record({ m: 1 }, 0)
    timers.advance(5_000)
    leader.record({ m: 2 }, timers.now())
    leader.record({ m: 2 }, timers.now() + 100)
    timers.advance(4_000)
    const late = createWeightsHistory(timers)
    late.record({ m: 2 }, timers.now())
    expect(findSupersededAt(late.times(), 'm', 1)).to.equal(9_000)
    expect(late.recordAges(leader.listAges(), timers.now())).to.equal(true)
    expect(findSupersededAt(late.times(), 'm', 1)).to.equal(5_000)
    timers.advance(1_000)
    // A new leader that learned of the version late states a lower age.
    expect(late.recordAges({ m: [[2, 10]] }, timers.now())).to.equal(false)
    expect(findSupersededAt(late.times(), 'm', 1)).to.equal(5_000)
  })

  it('keeps the newest of the versions that are older than any limit', () => {
    const timers = createManualTimerService()
    const history = createWeightsHistory(timers)
    history.record({ m: 1 }, timers.now())
    history.record({ m: 2 }, timers.now())
    timers.advance(1_000_000)
    history.record({ m: 3 }, timers.now())
    expect(history.times()).to.deep.equal({
      m: [
        { version: 2, at: 0 },
        { version: 3, at: 1_000_000 },
      ],
    })
  })

  // The times of all models were copied for each of them: 4,000 models held an instance up for 2 s.
  it('records the ages of any number of models from another instance', () => {
    const history = createWeightsHistory(createManualTimerService())
    const models = Array.from({ length: 30_000 }, (_, index) => `m${index}`)
    const ages = Object.fromEntries(models.map((model) => [model, [[1, 5] as const]]))
    expect(history.recordAges(ages, 100)).to.equal(true)
    expect(history.recordAges(ages, 100)).to.equal(false)
    const times = history.times()
    expect(Object.keys(times)).to.deep.equal(models)
    expect(times.m7).to.deep.equal([{ version: 1, at: 95 }])
  })
})
