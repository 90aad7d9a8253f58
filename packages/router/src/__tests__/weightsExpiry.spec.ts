import type { FleetView, ServerLoads } from '@spoolgate/control'
import { createManualTimerService } from '@spoolgate/core'
import { formatCacheScope, formatSharedOwner } from '@spoolgate/routing'
import { expect } from 'chai'
import { LOADING_MS, rankServers } from '../direct/serverRanking.js'
import { createNoServer } from '../direct/serverSelection.js'
import { createServerStats } from '../direct/serverStats.js'
import { createWeightsExpiry } from '../direct/weightsExpiry.js'
import { buildView, createRankingContext, createEngineServer, GROUP } from './rankingFixtures.js'

const MAX_AGE_MS = 10_000
const PROMPT = { model: 'm', parts: [{ id: 'own', tokens: 100 }], promptTokens: 100, maxTokens: 10 }
const TOKENS_PER_MS = 50

/** View in which version 2 became the target at time 0. */
function buildOutdatedView(names: readonly string[], loads: ServerLoads): FleetView {
  const versionTimes = { m: [{ version: 2, at: 0 }] }
  return { ...buildView(names.map(createEngineServer), loads), weights: { m: 2 }, versionTimes }
}

describe('the maximum age of weights', () => {
  it('keeps requests from engines where they would begin after it', () => {
    const timers = createManualTimerService()
    const context = createRankingContext(timers, 1, MAX_AGE_MS)
    const queued = { calls: 1, promptTokens: 3_000 * TOKENS_PER_MS }
    const { id: idle } = createEngineServer('idle')
    const { id: busy } = createEngineServer('busy')
    const listUsable = () =>
      rankServers(context, {
        view: buildOutdatedView(['idle', 'busy'], { [busy]: queued }),
        group: GROUP,
        prompt: PROMPT,
        formatScope: () => formatCacheScope(formatSharedOwner(1), 1),
        excluded: new Set(),
        hall: 'h',
        now: timers.now(),
      })
        .filter(({ cost }) => cost < LOADING_MS)
        .map(({ server }) => server.id)
    timers.advance(2_000)
    expect(listUsable()).to.have.members([idle, busy])
    timers.advance(4_900)
    expect(listUsable()).to.deep.equal([idle])
    timers.advance(200)
    expect(listUsable()).to.deep.equal([])
  })

  it('has callers return after a load only when all engines have to load first', () => {
    const timers = createManualTimerService()
    const view = buildOutdatedView(['a', 'b'], {})
    const feed = { current: () => view }
    const context = { ...createRankingContext(timers, 1, MAX_AGE_MS), timers, feed }
    const plan = { view, group: GROUP }
    const history = { pinnedVersion: undefined }
    const findRetryAfter = () =>
      createNoServer(context as never, plan as never, history, () => undefined).retryAfterSeconds
    timers.advance(6_000)
    expect(findRetryAfter()).to.equal(0.15)
    timers.advance(2_000)
    expect(findRetryAfter()).to.be.within(1, 1.25)
  })

  it('withdraws each waiting request once, before it is reached, also at an engine that left, unless it has newer weights', () => {
    const timers = createManualTimerService()
    const view = buildOutdatedView(['old', 'updated'], {})
    const serverStats = createServerStats(timers)
    const findView = () => view
    const expiry = createWeightsExpiry({ maxAgeMs: MAX_AGE_MS, findView, serverStats, timers })
    const withdrawn: string[] = []
    const watch = (name: string) =>
      expiry.watch({
        server: createEngineServer(name).id,
        model: 'm',
        version: 1,
        onExpired: () => withdrawn.push(name),
      })
    for (const name of ['old', 'updated', 'old', 'gone']) watch(name)
    watch('old').unsubscribe()
    timers.advance(9_000)
    expect(withdrawn).to.deep.equal([])
    serverStats.recordVersion(createEngineServer('updated').id, 'm', 2, 0)
    // An answer for another model says nothing about this one.
    serverStats.recordVersion(createEngineServer('old').id, 'other', 9, 0)
    timers.advance(999)
    expect(withdrawn).to.deep.equal(['old', 'old', 'gone'])
    timers.advance(5_000)
    expect(withdrawn).to.have.length(3)
  })
})
