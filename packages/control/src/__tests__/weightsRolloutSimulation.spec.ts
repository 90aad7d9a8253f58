import { expect } from 'chai'
import {
  ELECTION_MS,
  EXPIRE_MS,
  ORDER_LEASE_MS,
  runRolloutSimulation,
  type RolloutSimulationOptions,
  type RolloutSimulationResult,
} from './weightsRolloutSimulation.js'

/** Fraction of live engines that may be out of service for loads. */
const LOADING_RATIO = 0.3
/** Margin on an order lease, with the time for an order, in ms. */
const LEASE_MARGIN_MS = 1_000
/** Time in which all engines hold a version while all orders are answered, in ms. */
const ALL_LOADED_MS = 14_000
/** Bound on polls per second of engines that hold no place: eight per pass of 50 ms, and one more pass. */
const MAX_WATCH_POLLS = 168

const DISTURBED = { unansweredRatio: 0.9, namedAt: [0, 3_000, 7_000], durationMs: 24_000 }

describe('simulation of the weights rollout', () => {
  const check = async (options: RolloutSimulationOptions, maxOrderDelayMs: number) => {
    const result = await runRolloutSimulation(options)
    const text = `${JSON.stringify(options)} ${JSON.stringify(result)}`
    const places = Math.max(1, Math.round(options.engines * LOADING_RATIO))
    expect(result.maxOutOfService, text).to.be.at.most(places)
    expect(Math.max(...result.maxOrderDelayMs), text).to.be.at.most(maxOrderDelayMs)
    expect(result.downgrades, text).to.equal(0)
    expect(result.alternations, text).to.equal(0)
    expect(result.maxWatchPolls, text).to.be.at.most(MAX_WATCH_POLLS)
    return result
  }

  for (const [engines, seeds] of [
    [6, [1, 2, 3, 4, 5, 6]],
    [24, [1, 7]],
    [82, [1, 2]],
    [600, [1]],
  ] as const) {
    it(`orders ${engines} engines before their weights expire although most orders are unanswered`, async () => {
      for (const seed of seeds) await check({ ...DISTURBED, seed, engines }, EXPIRE_MS)
    })

    it(`orders ${engines} engines in time for a new leader, which waits for the order lease`, async () => {
      const limit = EXPIRE_MS + ELECTION_MS + ORDER_LEASE_MS + LEASE_MARGIN_MS
      for (const seed of seeds)
        await check({ ...DISTURBED, seed, engines, leaderLostAt: 4_000 }, limit)
    })
  }

  it('loads six engines in time while all orders are answered', async () => {
    const calm = { engines: 6, unansweredRatio: 0, namedAt: [0], durationMs: ALL_LOADED_MS }
    const results: RolloutSimulationResult[] = []
    for (const seed of [1, 2, 3, 4]) results.push(await check({ ...calm, seed }, EXPIRE_MS))
    for (const { allLoadedMs } of results) expect(allLoadedMs).to.be.at.most(ALL_LOADED_MS)
  })
})
