import type { RouteRule } from '@spoolgate/routing'
import { expect } from 'chai'
import { resolvePriority, resolveSendPriority } from '../direct/callPlan.js'
import {
  createUnavailableError,
  createTimeoutError,
  findRetryAfterSeconds,
} from '../direct/errorResponses.js'

describe('error responses', () => {
  it('state that the request did not run only if it cannot have run', () => {
    expect(createUnavailableError(false, 0.2)).to.include({ status: 503, notRun: true })
    expect(createUnavailableError(false, 0.2).retryAfterSeconds).to.equal(0.2)
    expect(createUnavailableError(true, 0.2)).to.include({ status: 502, notRun: false })
    expect(createTimeoutError(false)).to.include({ status: 503, notRun: true })
    expect(createTimeoutError(true)).to.include({ status: 504, notRun: false })
  })

  it('are immediate for a request that cannot be served in time, with a bounded Retry-After', () => {
    expect(findRetryAfterSeconds(500, 6_000)).to.equal(undefined)
    expect(findRetryAfterSeconds(5_900, 6_000)).to.equal(undefined)
    expect(findRetryAfterSeconds(6_200, 6_000)).to.be.within(0.15, 0.25)
    expect(findRetryAfterSeconds(500, 300)).to.be.within(0.15, 0.25)
    expect(findRetryAfterSeconds(60_000, 6_000)).to.equal(1)
    expect(findRetryAfterSeconds(Infinity, 6_000)).to.equal(1)
  })
})

describe('the priority of a request', () => {
  it('depends on the team first and the route second, and is capped', () => {
    expect(resolvePriority(undefined, 2)).to.equal(2)
    expect(resolvePriority(0, 2)).to.be.below(resolvePriority(1, 0))
    expect(resolvePriority(1, 0)).to.be.below(resolvePriority(1, 1))
    expect(resolvePriority(99, 99)).to.equal(9)
  })

  it('is the lowest if the target latency is missed anyway', () => {
    const plan = { route: { targetMs: 600 } as RouteRule, priority: 4 }
    expect(resolveSendPriority(plan, 600)).to.equal(4)
    expect(resolveSendPriority(plan, 601)).to.equal(9)
    expect(resolveSendPriority({ ...plan, route: { targetMs: 0 } as RouteRule }, 5_000)).to.equal(4)
  })
})
