import { createManualTimerService, toTeamId } from '@spoolgate/core'
import type { TeamQuota } from '@spoolgate/routing'
import { expect } from 'chai'
import { createQuotaBuckets } from '../registry/quotaBuckets.js'
import {
  findContactTimeoutMs,
  formatQuotaKey,
  type CreditUse,
  type QuotaReport,
} from '../registry/quotaProtocol.js'

const QUOTA: TeamQuota = { unit: 'tokens', perSecond: 1_000, burst: 1_000, uncountedTokens: 1 }
const TOLERANCE = { ratio: 0.1, slack: 0, windowMs: 8_000 }
/** Maximum level at the start of a term: the fraction of the tolerance that a new leader assumes to be unused. */
const MAX_INITIAL_LEVEL = 0.8 * 0.1 * 9_000

const KEY = formatQuotaKey(toTeamId('t'), 'tokens')

function createLeader(quotas: Record<string, TeamQuota | undefined> = { [KEY]: QUOTA }) {
  const timers = createManualTimerService()
  const buckets = createQuotaBuckets({
    timers,
    findQuota: (key) => quotas[key],
    tolerance: TOLERANCE,
  })
  buckets.reset(1)
  let sequence = 0
  const buildReport = (use: Partial<CreditUse> = {}, overrides: Partial<QuotaReport> = {}) => {
    sequence += 1
    const none = { key: KEY, seen: 0, held: 0, returned: 0, prefetch: 0, waiting: [] }
    return { router: 'r1', life: 'a', sequence, term: 1, uses: [{ ...none, ...use }], ...overrides }
  }
  const findLevel = () => buckets.list()[0]?.level
  return { timers, buckets, buildReport, findLevel, quotas }
}

describe('quota buckets', () => {
  it('start a new term with only a fraction of the tolerance', () => {
    const { buckets, buildReport, findLevel } = createLeader()
    buckets.applyReport(buildReport())
    expect(findLevel()).to.be.at.most(MAX_INITIAL_LEVEL)
  })

  it('do not grant twice for a duplicated or reordered report', () => {
    const { buckets, buildReport } = createLeader()
    const report = buildReport({ waiting: [50] })
    const [{ granted }] = buckets.applyReport(report).grants
    buckets.applyReport(buildReport())
    buckets.applyReport(report)
    expect(granted).to.equal(50)
    expect(buckets.list()[0].grantedByRouter).to.deep.equal({ r1: 50 })
  })

  it('reserve an equal share of the rate for silent routers', () => {
    const { timers, buckets, buildReport, findLevel } = createLeader()
    const use = { held: -5_000 }
    buckets.applyReport(buildReport({}, { router: 'r2', life: 'b' }))
    buckets.applyReport(buildReport(use))
    timers.advance(findContactTimeoutMs(2) + 1)
    buckets.applyReport(buildReport({ seen: 5_000 }, { uses: [] }))
    const before = findLevel()
    timers.advance(1_000)
    buckets.applyReport(buildReport({}, { uses: [] }))
    expect(findLevel() - before).to.be.closeTo(QUOTA.perSecond / 2, 1)
  })

  it('deduct use beyond the credits before granting any more', () => {
    const { buckets, buildReport, findLevel } = createLeader()
    buckets.applyReport(buildReport({ held: -2_000 }))
    const { grants, scarce } = buckets.applyReport(
      buildReport({ waiting: [10] }, { router: 'r2', life: 'b' }),
    )
    expect(findLevel()).to.be.below(0)
    expect(grants[0].granted).to.equal(0)
    expect(grants[0].retryAfterMs).to.be.at.least(1_000)
    expect(scarce).to.deep.equal([KEY])
  })

  it('count the credits of a restarted router as used', () => {
    const { timers, buckets, buildReport, findLevel } = createLeader()
    timers.advance(2_000)
    buckets.applyReport(buildReport({ waiting: [300] }))
    const before = findLevel()
    buckets.applyReport(buildReport({}, { life: 'later' }))
    expect(findLevel()).to.equal(before)
    expect(buckets.list()[0].held).to.equal(0)
  })

  it('apply a lowered limit, and remove a withdrawn one', () => {
    const { timers, buckets, buildReport, findLevel, quotas } = createLeader()
    buckets.applyReport(buildReport())
    timers.advance(10_000)
    quotas[KEY] = { ...QUOTA, perSecond: 100, burst: 100 }
    buckets.applyReport(buildReport())
    expect(findLevel()).to.be.at.most(100 + MAX_INITIAL_LEVEL)
    quotas[KEY] = undefined
    buckets.applyReport(buildReport())
    expect(buckets.list()).to.deep.equal([])
  })

  it('count credits still held by routers when a withdrawn limit returns', () => {
    const { timers, buckets, buildReport, findLevel, quotas } = createLeader()
    timers.advance(10_000)
    buckets.applyReport(buildReport({ waiting: [700] }))
    quotas[KEY] = undefined
    buckets.applyReport(buildReport({}, { router: 'r2', life: 'b' }))
    quotas[KEY] = QUOTA
    buckets.applyReport(buildReport({}, { router: 'r2', life: 'b' }))
    expect(buckets.list()[0].held).to.equal(700)
    timers.advance(3_000)
    expect(findLevel()).to.be.at.most(QUOTA.burst - 700 + MAX_INITIAL_LEVEL)
  })
})
