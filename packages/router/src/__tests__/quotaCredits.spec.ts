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
/** Each router may overdraw by one request while a team is not scarce. */
const TOLERANCE = { ratio: 0.1, slack: ROUTERS * MAX_COST, windowMs: 8_000 }
const MAX_WINDOW_COST =
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

/** Simulates a leader and routers whose messages are lost, duplicated and delayed. */
function createSimulation() {
  const timers = createManualTimerService()
  const buckets = createQuotaBuckets({ timers, findQuota: () => QUOTA, tolerance: TOLERANCE })
  const random = createRandomSource(1)
  let term = 1
  let incarnations = 0
  buckets.reset(term)
  const createRouter = (router: number) => {
    incarnations += 1
    const incarnation = `l${incarnations}`
    return createQuotaCredits({
      router: `r${router}`,
      incarnation,
      countRouters: () => ROUTERS,
      random,
    })
  }
  const routers = Array.from({ length: ROUTERS }, (_, router) => createRouter(router))
  const admitted: { readonly at: number; readonly cost: number }[] = []
  const delayed: (() => void)[] = []
  const exchange = (router: number, fate: string, waiting: number) => {
    const credits = routers[router]
    const requestedAt = timers.promiseNow()
    const charges = waiting > 0 ? [{ team: TEAM, quota: QUOTA, cost: waiting }] : []
    const report: QuotaReport = credits.buildReport(charges, requestedAt)
    if (fate === 'reportLost') return
    if (fate === 'reportLate') {
      delayed.push(() => credits.applyGrants(buckets.applyReport(report), requestedAt))
      return
    }
    const grants: QuotaGrants = buckets.applyReport(report)
    if (fate === 'doubled') buckets.applyReport(report)
    if (fate === 'grantsLost') return
    if (fate === 'grantsLate') delayed.push(() => credits.applyGrants(grants, requestedAt))
    else credits.applyGrants(grants, requestedAt)
  }
  const handlers: { [Kind in Step['kind']]: (step: Extract<Step, { kind: Kind }>) => void } = {
    use: ({ router, cost }) => {
      const charge = { team: TEAM, quota: QUOTA, cost }
      if (routers[router].take(charge, timers.promiseNow()))
        admitted.push({ at: timers.now(), cost })
    },
    giveBack: () => {
      const last = admitted.pop()
      if (last) routers[0].refund({ team: TEAM, quota: QUOTA, cost: last.cost })
    },
    report: ({ router, fate, cost }) => exchange(router, fate, cost),
    restart: ({ router }) => {
      routers[router] = createRouter(router)
    },
    wait: ({ ms }) => {
      timers.advance(ms)
      for (const deliver of delayed.splice(0, ms % 3)) deliver()
    },
    suspend: ({ ms }) => timers.suspend(ms),
    newTerm: () => {
      if (term >= 2) return
      term += 1
      buckets.reset(term)
    },
  }
  const run = (step: Step) => (handlers[step.kind] as (step: Step) => void)(step)
  return { run, ran: admitted, buckets }
}

function findMaxWindowCost(
  admitted: readonly { readonly at: number; readonly cost: number }[],
): number {
  const sums = admitted.map(({ at }) =>
    admitted.reduce(
      (sum, other) =>
        other.at <= at && other.at > at - TOLERANCE.windowMs ? sum + other.cost : sum,
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

describe('quota credits', () => {
  it('never exceed the tolerance with lost, duplicated and delayed messages, restarts and new leaders', () => {
    fc.assert(
      fc.property(fc.array(STEP, { minLength: 50, maxLength: 600 }), (steps) => {
        const simulation = createSimulation()
        for (const step of steps) simulation.run(step)
        expect(findMaxWindowCost(simulation.ran)).to.be.at.most(MAX_WINDOW_COST)
      }),
      { seed: 52, numRuns: 300 },
    )
  })

  it('are all returned: a bucket is full again once no router uses it', () => {
    fc.assert(
      fc.property(fc.array(fc.oneof(USE, REPORT, WAIT), { maxLength: 200 }), (steps) => {
        const simulation = createSimulation()
        for (const step of steps) simulation.run(step)
        for (let round = 0; round < 200; round += 1) {
          simulation.run({ kind: 'wait', ms: 99 })
          for (let index = 0; index < ROUTERS; index += 1) {
            simulation.run({ kind: 'report', router: index, fate: 'arrives', cost: 0 })
          }
        }
        const [status] = simulation.buckets.list()
        if (status) expect(status.level + status.held).to.be.at.least(QUOTA.burst - 1)
      }),
      { seed: 52, numRuns: 100 },
    )
  })

  it('expire without contact to the leader, which grants them to other routers', () => {
    const credits = createQuotaCredits({
      router: 'r',
      incarnation: 'a',
      countRouters: () => 1_000,
      random: createRandomSource(1),
    })
    const charge = { team: TEAM, quota: QUOTA, cost: 500 }
    expect(credits.take(charge, 0)).to.equal(false)
    const key = formatQuotaKey(TEAM, QUOTA.unit)
    const grants = [{ key, granted: 900, retryAfterMs: 0 }]
    credits.applyGrants({ term: 1, sequence: 1, grants, scarce: [key] }, 0)
    expect(credits.findStatus(charge, 0).held).to.equal(900)
    expect(credits.take(charge, CREDIT_TTL_MS + 1)).to.equal(false)
  })

  it('of one unit are not valid in another, after a limit in tokens becomes one in requests', () => {
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

  it('allow only an equal share without a leader, and do not accumulate it', () => {
    const simulation = createSimulation()
    for (let step = 0; step < 200; step += 1) simulation.run({ kind: 'use', router: 0, cost: 50 })
    const first = simulation.ran.length
    simulation.run({ kind: 'wait', ms: 60_000 })
    for (let step = 0; step < 200; step += 1) simulation.run({ kind: 'use', router: 0, cost: 50 })
    const share = QUOTA.perSecond / ROUTERS
    expect((simulation.ran.length - first) * 50).to.be.at.most(share + 50)
  })
})
