import type { BackendServerId } from '@spoolgate/core'
import { createManualTimerService } from '@spoolgate/core'
import { formatCacheScope, formatSharedOwner } from '@spoolgate/routing'
import { expect } from 'chai'
import { createEnginePartition } from '../direct/enginePartition.js'
import { rankServers } from '../direct/serverRanking.js'
import { createServerSpeeds } from '../speeds/serverSpeeds.js'
import { buildView, createEngineServer, createRankingContext, GROUP } from './rankingFixtures.js'

function createPrompt(tokens: number, shared = 'shared') {
  const parts = [
    { id: shared, tokens: tokens - 10 },
    { id: 'own', tokens: 10 },
  ]
  return { model: 'm', parts, promptTokens: tokens, maxTokens: 10 }
}

describe('ranking by server speeds', () => {
  const servers = ['a', 'b'].map(createEngineServer)
  const [a, b] = servers

  /** Creates a ranking in which the first server takes `ratio` times as long as the second. */
  const createRanking = (ratio: number, hasSpeeds = true) => {
    const timers = createManualTimerService()
    const serverSpeeds = createServerSpeeds()
    for (let at = 0; at < 20_000; at += 100) {
      const sample = { group: GROUP.name, ownTokens: 4_000, aheadTokens: 0, at }
      serverSpeeds.recordPrefill({ ...sample, server: a.id, prefillMs: 80 * ratio })
      serverSpeeds.recordPrefill({ ...sample, server: b.id, prefillMs: 80 })
    }
    timers.advance(20_000)
    const context = createRankingContext(timers, 1)
    return (prompt: ReturnType<typeof createPrompt>, targetMs?: number, loads = {}) =>
      rankServers(context, {
        view: buildView(servers, loads),
        group: GROUP,
        prompt,
        formatScope: () => formatCacheScope(formatSharedOwner(1), 1),
        excluded: new Set(),
        hall: 'h',
        now: timers.now(),
        targetMs,
        serverSpeeds: hasSpeeds ? serverSpeeds : undefined,
      })
  }
  const findPreferredShare = (rank: ReturnType<typeof createRanking>, id: BackendServerId) => {
    const prompts = Array.from({ length: 400 }, (_, i) => createPrompt(3_000, `shared${i}`))
    const preferred = prompts.filter((prompt) =>
      rank(prompt).some(({ server, isPreferred }) => isPreferred && server.id === id),
    )
    return preferred.length / prompts.length
  }

  it('expects a later start at a slow engine, in proportion to the work ahead', () => {
    const ranked = createRanking(3)(createPrompt(4_000), 0, {
      [a.id]: { calls: 1, promptTokens: 4_000 },
      [b.id]: { calls: 1, promptTokens: 4_000 },
    })
    const expected = new Map(ranked.map(({ server, expectedMs }) => [server.id, expectedMs]))
    expect(expected.get(a.id)).to.be.within(400, 600)
    expect(expected.get(b.id)).to.be.within(140, 200)
  })

  it('sends a slow engine the requests that start there well within their target', () => {
    const prompt = createPrompt(1_000)
    const costOf = (targetMs: number) =>
      createRanking(3)(prompt, targetMs).find(({ server }) => server.id === a.id)?.cost ?? NaN
    expect(costOf(1_000)).to.be.below(costOf(100) - 15)
  })

  it('prefers engines for new prompt parts in proportion to their speeds', () => {
    expect(findPreferredShare(createRanking(3), a.id)).to.be.within(0.15, 0.35)
  })

  it('prefers the same engines as without speeds where all are alike', () => {
    const [withSpeeds, without] = [createRanking(1), createRanking(1, false)]
    for (let i = 0; i < 100; i += 1) {
      const prompt = createPrompt(3_000, `shared${i}`)
      const find = (rank: typeof without) =>
        rank(prompt).find((other) => other.isPreferred)?.server.id
      expect(find(withSpeeds)).to.equal(find(without))
    }
  })

  it('gives long prompts engines by capacity, and by number where all are alike', () => {
    const partition = createEnginePartition(createManualTimerService())
    const ids = Array.from({ length: 10 }, (_, i) => createEngineServer(`e${i}`).id)
    for (let i = 0; i < 10; i += 1) {
      partition.recordWork('g', 'long', 30)
      partition.recordWork('g', 'short', 70)
    }
    const counted = partition.listLongPromptEngines('g', ids)
    expect(counted).to.have.lengthOf(3)
    expect(partition.listLongPromptEngines('g', ids, () => 1.6)).to.deep.equal(counted)
    const slow = partition.listLongPromptEngines('g', ids, (id) => (counted?.has(id) ? 0.5 : 1))
    expect(slow?.size).to.be.above(3)
  })
})
