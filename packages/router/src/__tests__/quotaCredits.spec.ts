import {
  CREDIT_TTL_MS,
  createQuotaBuckets,
  formatQuotaKey,
  type QuotaGrants,
  type QuotaReport,
} from '@spoolgate/control'
import { createManualTimerService, createRandomSource, toTeamId } from '@spoolgate/core'
import type { TeamQuota } from '@spoolgate/routing'
import { expect } from 'chai'
import fc from 'fast-check'
import { createQuotaCredits } from '../limits/quotaCredits.js'

const TEAM = toTeamId('t')
const ROUTERS = 4
const MAX_COST = 200
const QUOTA: TeamQuota = { unit: 'tokens', perSecond: 1_000, burst: 1_000, uncountedTokens: 1 }
/** Each router may overdraw by one request while a team has room. */
const TOLERANCE = { ratio: 0.1, slack: ROUTERS * MAX_COST, windowMs: 8_000 }
const ALLOWED =
  (QUOTA.perSecond * 8 + QUOTA.burst) * (1 + TOLERANCE.ratio) + TOLERANCE.slack + MAX_COST

type Step =
  | { readonly kind: 'use'; readonly router: number; readonly cost: number }
  | { readonly kind: 'giveBack' }
  | {
      readonly kind: 'report'
      readonly router: number
      readonly fate: string
      readonly cost: number
    }
  | { readonly kind: 'restart'; readonly router: number }
  | { readonly kind: 'wait'; readonly ms: number }
  | { readonly kind: 'suspend'; readonly ms: number }
  | { readonly kind: 'newTerm' }

/** A leader and routers whose messages are lost, doubled and late. */
function createWorld() {
  const timers = createManualTimerService()
  const buckets = createQuotaBuckets({ timers, findQuota: () => QUOTA, tolerance: TOLERANCE })
  const random = createRandomSource(1)
  let term = 1
  let lives = 0
  buckets.reset(term)
  const createRouter = (router: number) => {
    lives += 1
    const life = `l${lives}`
    return createQuotaCredits({
      router: `r${router}`,
      incarnation: life,
      countRouters: () => ROUTERS,
      random,
    })
  }
  const routers = Array.from({ length: ROUTERS }, (_, router) => createRouter(router))
  const ran: { readonly at: number; readonly cost: number }[] = []
  const late: (() => void)[] = []
  const exchange = (router: number, fate: string, waiting: number) => {
    const credits = routers[router]
    const askedAt = timers.promiseNow()
    const uses = waiting > 0 ? [{ team: TEAM, quota: QUOTA, cost: waiting }] : []
    const report: QuotaReport = credits.buildReport(uses, askedAt)
    if (fate === 'reportLost') return
    if (fate === 'reportLate') {
      late.push(() => credits.applyGrants(buckets.applyReport(report), askedAt))
      return
    }
    const grants: QuotaGrants = buckets.applyReport(report)
    if (fate === 'doubled') buckets.applyReport(report)
    if (fate === 'grantsLost') return
    if (fate === 'grantsLate') late.push(() => credits.applyGrants(grants, askedAt))
    else credits.applyGrants(grants, askedAt)
  }
  const handlers: { [Kind in Step['kind']]: (step: Extract<Step, { kind: Kind }>) => void } = {
    use: ({ router, cost }) => {
      const use = { team: TEAM, quota: QUOTA, cost }
      if (routers[router].take(use, timers.promiseNow())) ran.push({ at: timers.now(), cost })
    },
    giveBack: () => {
      const last = ran.pop()
      if (last) routers[0].refund({ team: TEAM, quota: QUOTA, cost: last.cost })
    },
    report: ({ router, fate, cost }) => exchange(router, fate, cost),
    restart: ({ router }) => {
      routers[router] = createRouter(router)
    },
    wait: ({ ms }) => {
      timers.advance(ms)
      for (const deliver of late.splice(0, ms % 3)) deliver()
    },
    suspend: ({ ms }) => timers.suspend(ms),
    newTerm: () => {
      if (term >= 2) return
      term += 1
      buckets.reset(term)
    },
  }
  const run = (step: Step) => (handlers[step.kind] as (step: Step) => void)(step)
  return { run, ran, buckets }
}

function findWorstWindow(ran: readonly { readonly at: number; readonly cost: number }[]): number {
  const sums = ran.map(({ at }) =>
    ran.reduce(
      (sum, one) => (one.at <= at && one.at > at - TOLERANCE.windowMs ? sum + one.cost : sum),
      0,
    ),
  )
  return Math.max(0, ...sums)
}

const router = fc.integer({ min: 0, max: ROUTERS - 1 })
const cost = fc.integer({ min: 1, max: MAX_COST })
const FATES = [
  'arrives',
  'arrives',
  'reportLost',
  'reportLate',
  'doubled',
  'grantsLost',
  'grantsLate',
]
const USE = fc.record({ kind: fc.constant('use' as const), router, cost })
const REPORT = fc.record({
  kind: fc.constant('report' as const),
  router,
  fate: fc.constantFrom(...FATES),
  cost: fc.constantFrom(0, 0, MAX_COST),
})
const WAIT = fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 300 }) })
const RESTART = fc.record({ kind: fc.constant('restart' as const), router })
const SUSPEND = fc.record({ kind: fc.constant('suspend' as const), ms: fc.constant(900) })
const NEW_TERM = fc.record({ kind: fc.constant('newTerm' as const) })
const GIVE_BACK = fc.record({ kind: fc.constant('giveBack' as const) })
const STEP: fc.Arbitrary<Step> = fc.oneof(
  { weight: 12, arbitrary: USE },
  { weight: 8, arbitrary: REPORT },
  { weight: 4, arbitrary: WAIT },
  { weight: 1, arbitrary: RESTART },
  { weight: 1, arbitrary: SUSPEND },
  { weight: 1, arbitrary: NEW_TERM },
  { weight: 1, arbitrary: GIVE_BACK },
)

describe('credits of the teams’ limits', () => {
  it('are never used beyond what the tolerance allows: messages lost, doubled, late, restarts, new leaders', () => {
    fc.assert(
      fc.property(fc.array(STEP, { minLength: 50, maxLength: 600 }), (steps) => {
        const world = createWorld()
        for (const step of steps) world.run(step)
        expect(findWorstWindow(world.ran)).to.be.at.most(ALLOWED)
      }),
      { seed: 52, numRuns: 300 },
    )
  })

  it('return whole: a bucket is full again once nobody uses it', () => {
    fc.assert(
      fc.property(fc.array(fc.oneof(USE, REPORT, WAIT), { maxLength: 200 }), (steps) => {
        const world = createWorld()
        for (const step of steps) world.run(step)
        for (let round = 0; round < 200; round += 1) {
          world.run({ kind: 'wait', ms: 99 })
          for (let index = 0; index < ROUTERS; index += 1) {
            world.run({ kind: 'report', router: index, fate: 'arrives', cost: 0 })
          }
        }
        const [status] = world.buckets.list()
        if (status) expect(status.level + status.held).to.be.at.least(QUOTA.burst - 1)
      }),
      { seed: 52, numRuns: 100 },
    )
  })

  it('are void after a silence for which the leader has given them to others', () => {
    const credits = createQuotaCredits({
      router: 'r',
      incarnation: 'a',
      countRouters: () => 1_000,
      random: createRandomSource(1),
    })
    const use = { team: TEAM, quota: QUOTA, cost: 500 }
    expect(credits.take(use, 0)).to.equal(false)
    const key = formatQuotaKey(TEAM, QUOTA.unit)
    const grants = [{ key, granted: 900, retryAfterMs: 0 }]
    credits.applyGrants({ term: 1, sequence: 1, grants, scarce: [key] }, 0)
    expect(credits.findStatus(use, 0).held).to.equal(900)
    expect(credits.take(use, CREDIT_TTL_MS + 1)).to.equal(false)
  })

  it('of one unit are worth nothing in another: a limit in tokens becomes one in requests', () => {
    const credits = createQuotaCredits({
      router: 'r',
      incarnation: 'a',
      countRouters: () => 1_000,
      random: createRandomSource(1),
    })
    const inTokens = { team: TEAM, quota: QUOTA, cost: 500 }
    const inRequests = { team: TEAM, quota: { ...QUOTA, unit: 'requests' as const }, cost: 1 }
    const [tokens, requests] = [formatQuotaKey(TEAM, 'tokens'), formatQuotaKey(TEAM, 'requests')]
    expect(credits.take(inTokens, 0)).to.equal(false)
    const grants = [{ key: tokens, granted: 900, retryAfterMs: 0 }]
    credits.applyGrants({ term: 1, sequence: 1, grants, scarce: [tokens, requests] }, 0)
    expect(credits.take(inRequests, 1)).to.equal(false)
    expect(credits.take(inTokens, 1)).to.equal(true)
  })

  it('refuse what a lost leader did not grant beyond an even share, and nothing is saved up', () => {
    const world = createWorld()
    for (let step = 0; step < 200; step += 1) world.run({ kind: 'use', router: 0, cost: 50 })
    const first = world.ran.length
    world.run({ kind: 'wait', ms: 60_000 })
    for (let step = 0; step < 200; step += 1) world.run({ kind: 'use', router: 0, cost: 50 })
    const share = QUOTA.perSecond / ROUTERS
    expect((world.ran.length - first) * 50).to.be.at.most(share + 50)
  })
})
