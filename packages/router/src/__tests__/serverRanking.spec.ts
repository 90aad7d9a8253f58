import type { ServerLoads } from '@spoolgate/control'
import { createManualTimerService } from '@spoolgate/core'
import { formatCacheScope } from '@spoolgate/routing'
import { expect } from 'chai'
import { rankServers } from '../direct/serverRanking.js'
import { buildView, createRankingContext, createEngineServer, GROUP } from './rankingFixtures.js'

const REST_MS = 3_000
const PROMPT = {
  model: 'm',
  parts: [
    { id: 'shared', tokens: 3_000 },
    { id: 'own', tokens: 100 },
  ],
  promptTokens: 3_100,
  maxTokens: 10,
}

describe('server ranking', () => {
  const servers = ['a', 'b', 'c'].map(createEngineServer)
  const [a, b, c] = servers

  const createChoice = () => {
    const timers = createManualTimerService()
    const parts = createRankingContext(timers, 1)
    const rank = (loads: ServerLoads, prompt?: typeof PROMPT) =>
      rankServers(parts, {
        view: buildView(servers, loads),
        group: GROUP,
        prompt,
        formatScope: () => formatCacheScope(undefined, 1),
        excluded: new Set(),
        hall: 'h',
        now: timers.now(),
      })
    const rankIds = (loads: ServerLoads) => rank(loads).map(({ server }) => server.id)
    return { parts, rank, rankIds, timers }
  }
  const call = { calls: 1, promptTokens: 0 }

  it('puts idle servers first, or while a server sheds load, servers that are known to accept work', () => {
    const { rankIds } = createChoice()
    expect(rankIds({ [b.id]: call })).to.deep.equal([a.id, c.id, b.id])
    const shedding = { [c.id]: { ...call, backoffs: 2 } }
    expect(rankIds({ ...shedding, [b.id]: call })).to.deep.equal([b.id, a.id, c.id])
  })

  it('excludes only servers that asked this router to back off or are shutting down', () => {
    const { parts, rankIds, timers } = createChoice()
    parts.backpressure.recordBackoff(a.id, REST_MS, timers.now())
    parts.backpressure.recordLeaving(c.id, timers.now())
    expect(rankIds({})).to.deep.equal([b.id])
    timers.advance(REST_MS)
    expect(rankIds({})).to.have.members([a.id, b.id])
  })

  it('prefers another engine for shared parts while theirs requests backoff from any router, then the same again', () => {
    const { parts, rank, timers } = createChoice()
    const findHome = (loads: ServerLoads = {}) =>
      rank(loads, PROMPT).find(({ isPreferred }) => isPreferred)?.server.id
    const home = findHome()
    if (home === undefined) throw new Error('no preferred engine')
    const second = findHome({ [home]: { ...call, backoffs: 1 } })
    expect(second).to.be.a('string').and.not.equal(home)
    parts.backpressure.recordBackoff(home, REST_MS, timers.now())
    expect(findHome()).to.equal(second)
    timers.advance(REST_MS)
    expect(findHome()).to.equal(home)
  })
})
