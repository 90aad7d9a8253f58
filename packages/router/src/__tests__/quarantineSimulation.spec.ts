/**
 * Tests the quarantine in virtual time under harmful requests that are retried at every router, beside ordinary requests
 * and one harmless body sent by many callers. Required: at most three sends of a harmful request after its third crash is
 * known, and 97 of 100 harmless requests answered a few seconds later.
 */
import { expect } from 'chai'
import {
  RESTART_MS,
  runQuarantineSimulation,
  type QuarantineSimulationOptions,
  type RequestCount,
} from './quarantineSimulation.js'

const MAX_LATE_SENDS = 3
const MIN_ANSWERED_SHARE = 0.97
/** Required recovery time once servers have restarted, in ms. */
const RECOVERY_MS = 12_000

const SMALL: QuarantineSimulationOptions = {
  routers: 6,
  servers: 6,
  harmful: 2,
  ordinaryPerSecond: 50,
  popularPerSecond: 33,
  seed: 1,
  durationMs: 24_000,
}
const SIZES: readonly QuarantineSimulationOptions[] = [
  SMALL,
  { ...SMALL, routers: 70, servers: 82, ordinaryPerSecond: 300, popularPerSecond: 100 },
  { ...SMALL, routers: 410, servers: 600, ordinaryPerSecond: 300, popularPerSecond: 100 },
]

function measureShare({ sent, answered }: RequestCount): number {
  return answered / sent
}

describe('harmful requests that are retried', () => {
  for (const size of SIZES) {
    it(`reach at most three more servers: ${size.routers} routers, ${size.servers} servers`, async () => {
      const { lateSends, ordinary, popular, harmlessQuarantined } =
        await runQuarantineSimulation(size)
      expect(Math.max(...lateSends)).to.be.at.most(MAX_LATE_SENDS)
      // Requests in flight at the end of the simulation are not counted.
      const countUnanswered = ({ sent, answered }: RequestCount) => sent - answered
      expect(measureShare(ordinary), `${countUnanswered(ordinary)} unanswered`).to.be.at.least(
        MIN_ANSWERED_SHARE,
      )
      expect(measureShare(popular), `${countUnanswered(popular)} unanswered`).to.be.at.least(
        MIN_ANSWERED_SHARE,
      )
      expect(harmlessQuarantined).to.be.at.most(size.servers)
    })
  }

  it('stay quarantined when the leader changes and all routers restart, at any time', async () => {
    for (let seed = 1; seed <= 12; seed += 1) {
      const at = 250 * seed
      const changes = { leaderChanges: [at, at + 3_000], routerRestarts: [at + 100, at + 6_000] }
      const countedFrom = at + 6_000 + RECOVERY_MS
      const durationMs = countedFrom + 10_000
      const simulation = { ...SMALL, ...changes, seed, countedFrom, durationMs }
      const { lateSends, popular } = await runQuarantineSimulation(simulation)
      expect(Math.max(...lateSends), `seed ${seed}`).to.be.at.most(MAX_LATE_SENDS)
      expect(measureShare(popular), `seed ${seed}`).to.be.at.least(MIN_ANSWERED_SHARE)
    }
  })
})

describe('repeated crashes of all servers that no request causes', () => {
  it('do not quarantine a popular request beyond the required recovery time', async () => {
    for (let seed = 1; seed <= 8; seed += 1) {
      const powerLosses = [1_000, 3_800, 6_600]
      const countedFrom = 6_600 + RESTART_MS + RECOVERY_MS
      const durationMs = countedFrom + 10_000
      const simulation = { ...SMALL, harmful: 0, powerLosses, seed, countedFrom, durationMs }
      const { popular, ordinary } = await runQuarantineSimulation(simulation)
      expect(measureShare(popular), `seed ${seed}`).to.be.at.least(MIN_ANSWERED_SHARE)
      expect(measureShare(ordinary), `seed ${seed}`).to.be.at.least(MIN_ANSWERED_SHARE)
    }
  })
})
