import { expect } from 'chai'
import type { LocalFleet } from '../index.js'
import {
  createMessages,
  createTestFleet,
  renderExpectedText,
  streamChat,
  waitUntil,
} from './fixtures.js'

const TOKENS = 4
const ENGINES = 5

describe('orders and repair', () => {
  let fleet: LocalFleet

  afterEach(() => fleet.close())

  const changeWeights = async (weightsVersion: string) => {
    const models = [{ id: 'assistant', weightsVersion }]
    const version = await fleet.submit({ ...fleet.config, models }, weightsVersion)
    await fleet.routers[0]?.config.waitForVersion(version, 10_000)
  }
  const countWith = (weights: string) =>
    fleet.engines.filter((engine) => engine.orders.weightsVersion() === weights).length

  it('loads new weights everywhere, on at most two engines at once', async () => {
    fleet = await createTestFleet({ engines: ENGINES, services: 0, repairPeriodMs: 20 })
    await changeWeights('w2')
    let most = 0
    await waitUntil(() => {
      most = Math.max(most, fleet.engines.filter((engine) => !engine.orders.isReady()).length)
      return countWith('w2') === ENGINES
    }, 'all engines run w2')
    expect(most).to.be.within(1, 2)
    const applied = fleet.engines.flatMap((engine) => engine.orders.applied)
    expect(applied).to.have.length(ENGINES)
    expect(new Set(applied.map(({ fencing }) => fencing)).size).to.equal(ENGINES)
    const messages = createMessages('repaired')
    await waitUntil(
      () => fleet.sidecars.every((sidecar) => sidecar?.backend().weightsVersion === 'w2'),
      'the sidecars see it',
    )
    const answer = await streamChat(fleet, { messages, tokens: TOKENS })
    expect(answer.text).to.equal(renderExpectedText(messages, TOKENS))
  })

  it('repairs an engine that came back with other weights, and again after a second loss', async () => {
    fleet = await createTestFleet({ engines: 2, services: 0, repairPeriodMs: 20 })
    await changeWeights('w2')
    await waitUntil(() => countWith('w2') === 2, 'both run w2')
    for (let loss = 0; loss < 2; loss += 1) {
      await fleet.engines[0].orders.apply({ fencing: 1e9, action: 'loadWeights', value: 'stale' })
      expect(countWith('w2')).to.equal(1)
      await waitUntil(() => countWith('w2') === 2, 'it was repaired')
    }
  })

  it('lets only rising fencing numbers through to an engine that ignores them', async () => {
    fleet = await createTestFleet({ engines: 1, services: 0, repairPeriodMs: 1e9 })
    const send = (fencing: number) =>
      fleet.client
        .sendJson({
          method: 'POST',
          url: `${fleet.sidecars[0]?.url}/orders`,
          headers: { authorization: `Bearer ${fleet.processKey}` },
          json: { server: 'engine-0', action: 'changeRole', value: 'x', fencing, at: 0 },
        })
        .then(
          () => 'passed',
          (cause) => cause.kind,
        )
    const issue = () =>
      fleet.client.sendJson<{ order: { fencing: number } }>({
        method: 'POST',
        url: `${fleet.controlUrls[0]}/orders`,
        json: { server: 'engine-0', action: 'changeRole', value: 'x' },
      })
    const first = (await issue()).order.fencing
    const second = (await issue()).order.fencing
    expect(second).to.be.greaterThan(first)
    // The gate has seen neither, and still learns the highest before it lets any through.
    expect(await send(first)).to.equal('conflict')
    expect(await send(second)).to.equal('passed')
    await fleet.sidecars[0]?.close(0)
    await fleet.startSidecar(0)
    expect(await send(first)).to.equal('conflict')
    expect(fleet.engines[0].orders.applied.map(({ fencing }) => fencing)).to.deep.equal([second])
  })
})
