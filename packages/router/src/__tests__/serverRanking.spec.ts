import type { ServerLoads } from '@spoolgate/control'
import { createManualTimerService } from '@spoolgate/core'
import { formatCacheScope, formatSharedOwner } from '@spoolgate/routing'
import { expect } from 'chai'
import { rankServers } from '../direct/serverRanking.js'
import { buildView, createRankingContext, createEngineServer, GROUP } from './rankingFixtures.js'

const BACKOFF_MS = 3_000
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

  const createRanking = () => {
    const timers = createManualTimerService()
    const context = createRankingContext(timers, 1)
    const rank = (loads: ServerLoads, prompt?: typeof PROMPT) =>
      rankServers(context, {
        view: buildView(servers, loads),
        group: GROUP,
        prompt,
        formatScope: () => formatCacheScope(formatSharedOwner(1), 1),
        excluded: new Set(),
        hall: 'h',
        now: timers.now(),
      })
    const rankIds = (loads: ServerLoads) => rank(loads).map(({ server }) => server.id)
    return { context, rank, rankIds, timers }
  }
  const call = { calls: 1, promptTokens: 0 }

  it('puts idle servers first, or while a server sheds load, servers that are known to accept work', () => {
    const { rankIds } = createRanking()
    expect(rankIds({ [b.id]: call })).to.deep.equal([a.id, c.id, b.id])
    const shedding = { [c.id]: { ...call, backoffs: 2 } }
    expect(rankIds({ ...shedding, [b.id]: call })).to.deep.equal([b.id, a.id, c.id])
  })

  it('excludes only servers that asked this router to back off or are shutting down', () => {
    const { context, rankIds, timers } = createRanking()
    context.backpressure.recordBackoff(a.id, BACKOFF_MS, timers.now())
    context.backpressure.recordLeaving(c.id, timers.now())
    expect(rankIds({})).to.deep.equal([b.id])
    timers.advance(BACKOFF_MS)
    expect(rankIds({})).to.have.members([a.id, b.id])
  })

  it('prefers another engine for shared parts while theirs backs off, then the same one again', () => {
    const { context, rank, timers } = createRanking()
    const findPreferred = (loads: ServerLoads = {}) =>
      rank(loads, PROMPT).find(({ isPreferred }) => isPreferred)?.server.id
    const preferred = findPreferred()
    if (preferred === undefined) throw new Error('no preferred engine')
    const second = findPreferred({ [preferred]: { ...call, backoffs: 1 } })
    expect(second).to.be.a('string').and.not.equal(preferred)
    context.backpressure.recordBackoff(preferred, BACKOFF_MS, timers.now())
    expect(findPreferred()).to.equal(second)
    timers.advance(BACKOFF_MS)
    expect(findPreferred()).to.equal(preferred)
  })
})
