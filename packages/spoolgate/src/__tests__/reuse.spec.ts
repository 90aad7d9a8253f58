import { expect } from 'chai'
import type { LocalFleet } from '../index.js'
import { createMessages, createTestFleet, streamChat, waitUntil } from './fixtures.js'

const TOKENS = 4
/** Repair would load the new weights by itself. */
const NEVER_MS = 1e9

describe('reuse of cached blocks', () => {
  let fleet: LocalFleet

  beforeEach(async () => {
    fleet = await createTestFleet({ engines: 1, repairPeriodMs: NEVER_MS })
  })
  afterEach(() => fleet.close())

  const countCached = () => fleet.engines[0].totals().cachedTokens

  it('reuses the prefix of the same team', async () => {
    const messages = createMessages('same')
    await streamChat(fleet, { messages, tokens: TOKENS })
    expect(countCached()).to.equal(0)
    await streamChat(fleet, { messages, tokens: TOKENS })
    expect(countCached()).to.be.greaterThan(100)
  })

  it('never reuses what another team computed', async () => {
    const messages = createMessages('foreign')
    await streamChat(fleet, { messages, tokens: TOKENS, team: 'team-0' })
    await streamChat(fleet, { messages, tokens: TOKENS, team: 'team-1' })
    expect(countCached()).to.equal(0)
  })

  it('forgets the cache of an engine that came back, and says so in its next claim', async () => {
    const messages = createMessages('reborn')
    await streamChat(fleet, { messages, tokens: TOKENS })
    const before = fleet.engines[0].incarnation()
    await fleet.engines[0].crash()
    await fleet.engines[0].restart()
    await waitUntil(
      () => fleet.sidecars[0]?.backend().incarnation === fleet.engines[0].incarnation(),
      'the sidecar sees the new incarnation',
    )
    expect(fleet.engines[0].incarnation()).not.to.equal(before)
    const answer = await streamChat(fleet, { messages, tokens: TOKENS })
    expect(answer.hasEnded).to.equal(true)
    const explained = await fetch(`${fleet.routerUrls[0]}/explain/${answer.request}`, {
      headers: { authorization: `Bearer ${fleet.processKey}` },
    })
    const { steps } = (await explained.json()) as {
      steps: { attempt?: { matchedTokens?: number } }[]
    }
    const claimed = steps.find((step) => step.attempt?.matchedTokens !== undefined)
    expect(claimed?.attempt?.matchedTokens).to.equal(0)
  })

  it('refuses to serve from weights that the configuration no longer names', async () => {
    const messages = createMessages('weights')
    await streamChat(fleet, { messages, tokens: TOKENS })
    const models = [{ id: 'assistant', weightsVersion: 'w2' }]
    const version = await fleet.submit({ ...fleet.config, models }, 'weights')
    await fleet.routers[0]?.config.waitForVersion(version, 10_000)
    const answer = await streamChat(fleet, { messages, tokens: TOKENS })
    expect(answer.status).to.equal(503)
    const started = fleet.engines[0].started.size

    await fleet.engines[0].orders.apply({ fencing: 1, action: 'loadWeights', value: 'w2' })
    await waitUntil(() => fleet.sidecars[0]?.backend().weightsVersion === 'w2', 'w2 is loaded')
    const again = await streamChat(fleet, { messages, tokens: TOKENS })
    expect(again.status).to.equal(200)
    expect(fleet.engines[0].started.size).to.equal(started + 1)
    expect(countCached()).to.equal(0)
  })
})
