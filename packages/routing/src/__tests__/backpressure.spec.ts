import { toBackendServerId } from '@spoolgate/core'
import { expect } from 'chai'
import fc from 'fast-check'
import { createBackpressure, MAX_BACKOFF_MS, TRIAL_INTERVAL_MS } from '../backpressure.js'

const S1 = toBackendServerId('s1')
const S2 = toBackendServerId('s2')

describe('servers that want nothing for a while', () => {
  it('get a backoff for as long as they asked, and nobody else does', () => {
    const backpressure = createBackpressure()
    backpressure.recordBackoff(S1, 1_700, 100)
    expect(backpressure.judgeSend(S1, 100)).to.deep.equal({ kind: 'backingOff', until: 1_800 })
    expect(backpressure.judgeSend(S1, 1_799).kind).to.equal('backingOff')
    expect(backpressure.judgeSend(S1, 1_800).kind).to.equal('trial')
    expect(backpressure.judgeSend(S2, 100).kind).to.equal('open')
    expect(backpressure.listBackingOff(1_799)).to.deep.equal([S1])
    expect(backpressure.listBackingOff(1_800)).to.deep.equal([])
  })

  it('get one request first, and the others only when it was not rejected', () => {
    const backpressure = createBackpressure()
    backpressure.recordBackoff(S1, 1_000, 0)
    backpressure.recordSend(S1, 1_000)
    expect(backpressure.judgeSend(S1, 1_001)).to.deep.equal({
      kind: 'backingOff',
      until: 1_000 + TRIAL_INTERVAL_MS,
    })
    expect(backpressure.judgeSend(S1, 1_000 + TRIAL_INTERVAL_MS).kind).to.equal('open')
    backpressure.recordBackoff(S1, 1_000, 1_005)
    expect(backpressure.judgeSend(S1, 1_000 + TRIAL_INTERVAL_MS).kind).to.equal('backingOff')
    expect(backpressure.judgeSend(S1, 2_005).kind).to.equal('trial')
  })

  it('are believed up to a bound', () => {
    const backpressure = createBackpressure()
    backpressure.recordBackoff(S1, 86_400_000, 0)
    expect(backpressure.judgeSend(S1, MAX_BACKOFF_MS - 1).kind).to.equal('backingOff')
    expect(backpressure.judgeSend(S1, MAX_BACKOFF_MS).kind).to.equal('trial')
  })

  it('never get a request within any backoff that they asked for, whatever came before', () => {
    const fact = fc.record({
      afterMs: fc.nat({ max: 800 }),
      retryAfterMs: fc.option(fc.nat({ max: 3_000 })),
    })
    fc.assert(
      fc.property(fc.array(fact, { maxLength: 40 }), (facts) => {
        const backpressure = createBackpressure()
        let now = 0
        let restsUntil = 0
        for (const { afterMs, retryAfterMs } of facts) {
          now += afterMs
          const isSent = ['open', 'trial'].includes(backpressure.judgeSend(S1, now).kind)
          expect(isSent && now < restsUntil).to.equal(false)
          if (isSent) backpressure.recordSend(S1, now)
          if (retryAfterMs === null) continue
          backpressure.recordBackoff(S1, retryAfterMs, now)
          restsUntil = Math.max(restsUntil, now + retryAfterMs)
        }
        expect(backpressure.judgeSend(S1, now + MAX_BACKOFF_MS).kind).to.be.oneOf(['open', 'trial'])
      }),
      { seed: 43 },
    )
  })
})

describe('servers that are about to end', () => {
  it('get nothing more, whatever backoff they ask for, and are not forgotten for good', () => {
    const backpressure = createBackpressure()
    backpressure.recordLeaving(S1, 0)
    backpressure.recordBackoff(S1, 1_000, 0)
    expect(backpressure.judgeSend(S1, 5_000).kind).to.equal('leaving')
    expect(backpressure.judgeSend(S2, 5_000).kind).to.equal('open')
    expect(backpressure.judgeSend(S1, 2 * MAX_BACKOFF_MS).kind).to.equal('trial')
  })
})
