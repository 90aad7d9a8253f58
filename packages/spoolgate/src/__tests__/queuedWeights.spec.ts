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
/** A stream that does not end by itself during a test. */
const ENDLESS_TOKENS = 1e6
/** Repair would load the new weights by itself. */
const NEVER_MS = 1e9

describe('requests that wait at an engine while it loads other weights', () => {
  let fleet: LocalFleet
  let running: AbortController

  beforeEach(() => {
    running = new AbortController()
  })
  afterEach(async () => {
    running.abort()
    await fleet.close()
  })

  const countCalls = (index: number) => fleet.sidecars[index]?.hints().calls ?? 0
  /** Queues a request behind another one at the engine that caches its prompt, and loads other weights there. */
  const loadAroundQueued = async (engines: number) => {
    fleet = await createTestFleet({ engines, services: 0, slots: 1, repairPeriodMs: NEVER_MS })
    const messages = createMessages('queued')
    await streamChat(fleet, { messages, tokens: TOKENS })
    const endless = { messages, tokens: ENDLESS_TOKENS, signal: running.signal }
    const stream = streamChat(fleet, endless).catch(() => {})
    await waitUntil(() => fleet.engines.some((engine) => engine.load().running > 0), 'it runs')
    const answer = streamChat(fleet, { messages, tokens: TOKENS })
    await waitUntil(() => fleet.engines.some((_, index) => countCalls(index) === 2), 'it waits')
    const index = fleet.engines.findIndex((_, at) => countCalls(at) === 2)
    await fleet.engines[index].orders.apply({ fencing: 1, action: 'loadWeights', value: 'w2' })
    await waitUntil(
      () => fleet.sidecars[index]?.backend().weightsVersion === 'w2',
      'the sidecar sees the other weights',
    )
    running.abort()
    await stream
    return { messages, answer: await answer, reloaded: fleet.engines[index] }
  }

  it('are answered by another engine with the weights that they were sent for', async () => {
    const { messages, answer, reloaded } = await loadAroundQueued(2)
    expect(answer.text).to.equal(renderExpectedText(messages, TOKENS))
    expect(reloaded.started.has(answer.request ?? '')).to.equal(false)
    const counted = await fetch(`${fleet.routerUrls[0]}/explain/${answer.request}`, {
      headers: { authorization: `Bearer ${fleet.processKey}` },
    })
    const { steps } = (await counted.json()) as { steps: { attempt?: { outcome: string } }[] }
    const outcomes = steps.flatMap(({ attempt }) => (attempt ? [attempt.outcome] : []))
    expect(outcomes).to.include('declined').and.not.include('failed')
  })

  it('are refused as not run when no engine has these weights any more', async () => {
    const { answer, reloaded } = await loadAroundQueued(1)
    expect(answer.status).to.equal(503)
    expect(reloaded.started.has(answer.request ?? '')).to.equal(false)
  })

  it('are refused as not run from the start of a load, before the engine reports it', async () => {
    fleet = await createTestFleet({
      engines: 1,
      services: 0,
      repairPeriodMs: NEVER_MS,
      engine: { loadWeightsMs: 300 },
    })
    const order = { server: 'engine-0', action: 'loadWeights', value: 'w2' }
    const issued = await fleet.client.sendJson<{ order: object }>({
      method: 'POST',
      url: `${fleet.controlUrls[0]}/orders`,
      json: order,
    })
    const applied = fleet.client.sendJson({
      method: 'POST',
      url: `${fleet.sidecars[0]?.url}/orders`,
      headers: { authorization: `Bearer ${fleet.processKey}` },
      json: issued.order,
    })
    await waitUntil(() => !fleet.engines[0].orders.isReady(), 'it loads')
    const answer = await streamChat(fleet, { messages: createMessages('loading'), tokens: TOKENS })
    expect(answer.status).to.equal(503)
    await applied
  })
})
