import { toBackendServerId } from '@spoolgate/core'
import { expect } from 'chai'
import fc from 'fast-check'
import { createBackpressure, MAX_BACKOFF_MS, TRIAL_INTERVAL_MS } from '../backpressure.js'

const S1 = toBackendServerId('s1')
const S2 = toBackendServerId('s2')

describe('backoff', () => {
  it('blocks requests to the server for the requested time, and to no other server', () => {
    const backpressure = createBackpressure()
    backpressure.recordBackoff(S1, 1_700, 100)
    expect(backpressure.judgeSend(S1, 100)).to.deep.equal({ kind: 'backingOff', until: 1_800 })
    expect(backpressure.judgeSend(S1, 1_799).kind).to.equal('backingOff')
    expect(backpressure.judgeSend(S1, 1_800).kind).to.equal('trial')
    expect(backpressure.judgeSend(S2, 100).kind).to.equal('open')
    expect(backpressure.listBackingOff(1_799)).to.deep.equal([S1])
    expect(backpressure.listBackingOff(1_800)).to.deep.equal([])
  })

  it('allows one trial request first, and others only if it is not rejected', () => {
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

  it('is limited to the maximum', () => {
    const backpressure = createBackpressure()
    backpressure.recordBackoff(S1, 86_400_000, 0)
    expect(backpressure.judgeSend(S1, MAX_BACKOFF_MS - 1).kind).to.equal('backingOff')
    expect(backpressure.judgeSend(S1, MAX_BACKOFF_MS).kind).to.equal('trial')
  })

  it('never allows a request during a requested backoff, whatever came before', () => {
    const step = fc.record({
      afterMs: fc.nat({ max: 800 }),
      retryAfterMs: fc.option(fc.nat({ max: 3_000 })),
    })
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
        const backpressure = createBackpressure()
        let now = 0
        let backoffUntil = 0
        for (const { afterMs, retryAfterMs } of steps) {
          now += afterMs
          const isSent = ['open', 'trial'].includes(backpressure.judgeSend(S1, now).kind)
          expect(isSent && now < backoffUntil).to.equal(false)
          if (isSent) backpressure.recordSend(S1, now)
          if (retryAfterMs === null) continue
          backpressure.recordBackoff(S1, retryAfterMs, now)
          backoffUntil = Math.max(backoffUntil, now + retryAfterMs)
        }
        expect(backpressure.judgeSend(S1, now + MAX_BACKOFF_MS).kind).to.be.oneOf(['open', 'trial'])
      }),
      { seed: 43 },
    )
  })
})

describe('announced shutdown', () => {
  it('blocks requests whatever backoff is requested, and expires', () => {
    const backpressure = createBackpressure()
    backpressure.recordLeaving(S1, 0)
    backpressure.recordBackoff(S1, 1_000, 0)
    expect(backpressure.judgeSend(S1, 5_000).kind).to.equal('leaving')
    expect(backpressure.judgeSend(S2, 5_000).kind).to.equal('open')
    expect(backpressure.judgeSend(S1, 2 * MAX_BACKOFF_MS).kind).to.equal('trial')
  })
})
