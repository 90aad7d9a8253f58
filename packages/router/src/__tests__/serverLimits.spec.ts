import type { LimitsUpdate } from '@spoolgate/control'
import { toBackendServerId } from '@spoolgate/core'
import { expect } from 'chai'
import fc from 'fast-check'
import { createServerLimits } from '../limits/serverLimits.js'

const S1 = toBackendServerId('s1')
const TERM = 4
const MS_PER_S = 1_000
/** Minimum rate to a limited server, in requests per second. */
const MIN_RATE = 0.5

function buildUpdate(perSecond: number | null, share?: number, ageMs = 0): LimitsUpdate {
  return { hasParts: true, servers: [{ server: S1, perSecond, ageMs, part: share }] }
}

/** Creates the limits of a router that observed a limit at 100 ms and was assigned a share of it. */
function createLimitsWithShare(perSecond: number, share: number) {
  const limits = createServerLimits()
  limits.recordResponse(S1, { perSecond, sentAt: 50 }, 100)
  limits.applyUpdate(buildUpdate(perSecond, share), 90, 110)
  return limits
}

describe('server limits', () => {
  it('apply at once to the router that observes one, before it has a share', () => {
    const limits = createServerLimits()
    expect(limits.judgeSend(S1, 0).kind).to.equal('open')
    limits.recordResponse(S1, { perSecond: 2, sentAt: 50 }, 100)
    expect(limits.judgeSend(S1, 100).kind).to.equal('limited')
    expect(limits.judgeSend(S1, 60_000).kind).to.equal('limited')
  })

  it('apply to a router that receives one from the leader', () => {
    const limits = createServerLimits()
    limits.applyUpdate(buildUpdate(2), 0, 10)
    expect(limits.judgeSend(S1, 20).kind).to.equal('limited')
    limits.applyUpdate(buildUpdate(null), 30, 40)
    expect(limits.judgeSend(S1, 50).kind).to.equal('open')
  })

  it('permit the assigned share of the rate and return when the next request is permitted', () => {
    const limits = createLimitsWithShare(2, 0.5)
    expect(limits.judgeSend(S1, 110)).to.deep.equal({ kind: 'limited', until: 1_110 })
    expect(limits.judgeSend(S1, 1_110).kind).to.equal('open')
    limits.recordSend(S1, 1_110)
    expect(limits.judgeSend(S1, 1_110)).to.deep.equal({ kind: 'limited', until: 2_110 })
  })

  it('are not lifted by the response to a request sent before they were observed', () => {
    const limits = createLimitsWithShare(2, 0.5)
    limits.recordResponse(S1, { perSecond: undefined, sentAt: 99 }, 150)
    expect(limits.isLimited(S1)).to.equal(true)
    limits.recordResponse(S1, { perSecond: 50, sentAt: 99 }, 160)
    expect(limits.judgeSend(S1, 200).kind).to.equal('limited')
    limits.recordResponse(S1, { perSecond: undefined, sentAt: 200 }, 210)
    expect(limits.isLimited(S1)).to.equal(false)
  })

  it('are not lifted by an update older than the observation of this router', () => {
    const limits = createLimitsWithShare(2, 0.5)
    limits.recordAcknowledged(limits.listUnreported(TERM, 120))
    limits.applyUpdate(buildUpdate(null, undefined, 60), 150, 160)
    expect(limits.isLimited(S1)).to.equal(true)
    expect(limits.listUnreported(TERM, 170).reports).to.deep.equal([
      { server: S1, perSecond: 2, ageMs: 60 },
    ])
  })

  it('keep their shares while a new leader has assigned none', () => {
    const limits = createLimitsWithShare(2, 0.5)
    limits.applyUpdate({ hasParts: false, servers: [] }, 200, 210)
    expect(limits.judgeSend(S1, 1_200).kind).to.equal('open')
  })

  it('are reported once to each leader, and again when they change', () => {
    const limits = createLimitsWithShare(2, 0.5)
    const first = limits.listUnreported(TERM, 120)
    expect(first.reports).to.have.length(1)
    limits.recordAcknowledged(first)
    expect(limits.listUnreported(TERM, 130).reports).to.have.length(0)
    expect(limits.listUnreported(TERM + 1, 130).reports).to.have.length(1)
    limits.recordResponse(S1, { perSecond: undefined, sentAt: 140 }, 150)
    expect(limits.listUnreported(TERM, 160).reports).to.deep.equal([
      { server: S1, perSecond: null, ageMs: 10 },
    ])
  })

  it('apply to the next incarnation of a server, which may have announced them, but not to a later one', () => {
    const limits = createLimitsWithShare(2, 0.5)
    const next = toBackendServerId('s1@2')
    const later = toBackendServerId('s1@3')
    limits.carryOver(S1, next, 1_000)
    limits.carryOver(S1, later, 60_000)
    expect(limits.judgeSend(next, 1_000).kind).to.equal('limited')
    expect(limits.judgeSend(later, 60_000).kind).to.equal('open')
    expect(limits.listUnreported(TERM, 1_000).reports.map(({ server }) => server)).to.include(next)
  })

  it('are probed when no response has confirmed them recently', () => {
    const limits = createLimitsWithShare(2, 0.5)
    expect(limits.isProbeDue(S1, 1_200)).to.equal(false)
    expect(limits.isProbeDue(S1, 2_200)).to.equal(true)
    limits.recordSend(S1, 2_200)
    expect(limits.isProbeDue(S1, 2_200)).to.equal(false)
  })

  it('never permit more than the highest rate plus a burst of one second', () => {
    const observation = fc.record({
      afterMs: fc.nat({ max: 700 }),
      perSecond: fc.option(fc.double({ min: 0, max: 20, noNaN: true })),
      part: fc.option(fc.double({ min: 0, max: 1, noNaN: true })),
      latenessMs: fc.nat({ max: 3_000 }),
    })
    fc.assert(
      fc.property(fc.array(observation, { maxLength: 60 }), (observations) => {
        const limits = createLimitsWithShare(20, 1)
        let now = 110
        let sends = 0
        for (const { afterMs, perSecond, part: share, latenessMs } of observations) {
          for (let step = 0; step < afterMs; step += 7) {
            now += 7
            if (limits.judgeSend(S1, now).kind !== 'open') continue
            limits.recordSend(S1, now)
            sends += 1
          }
          // Always announces a limit, so that it is never lifted.
          const observed = { perSecond: perSecond ?? 20, sentAt: now - latenessMs }
          limits.recordResponse(S1, observed, now)
          const update = buildUpdate(20, share ?? 0, latenessMs)
          limits.applyUpdate(update, now - latenessMs, now)
        }
        const highest = Math.max(MIN_RATE, 20)
        expect(sends).to.be.at.most(highest + (highest * (now - 110)) / MS_PER_S)
      }),
      { seed: 47 },
    )
  })
})
