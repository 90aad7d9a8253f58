import { createQuietLogger } from '@spoolgate/core'
import { expect } from 'chai'
import { runSoak } from '../node/soak/soak.js'

const SEEDS = [1, 2]
const REQUESTS = 150

describe('a short soak', () => {
  for (const seed of SEEDS) {
    it(`finds nothing lost, doubled or untrue with seed ${seed}`, async () => {
      const result = await runSoak({
        seed,
        requests: REQUESTS,
        seconds: 0,
        logger: createQuietLogger(),
        onProgress: () => {},
      })
      expect(result.violations).to.deep.equal([])
      expect(result.requests).to.be.at.least(REQUESTS)
      expect(Object.keys(result.faults).length).to.be.greaterThan(0)
    }).timeout(120_000)
  }
})
