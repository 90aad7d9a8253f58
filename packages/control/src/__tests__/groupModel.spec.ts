import { expect } from 'chai'
import { runModel } from './groupModel.js'

/**
 * Seeds that found a fault. 643: a voter that had joined through a snapshot never granted a vote, so that
 * two lost disks of five left no majority.
 */
const REGRESSION_SEEDS = [643]
/** Seeds of the default run. */
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, ...REGRESSION_SEEDS]
/** Range of seeds to run instead, as `from-to`: GROUP_MODEL_SEEDS=100-400 npx mocha ... */
const SEED_RANGE = process.env.GROUP_MODEL_SEEDS

function listSeeds(range: string): number[] {
  const [from, to] = range.split('-').map(Number)
  return Array.from({ length: to - from + 1 }, (_, index) => from + index)
}

describe('control group under random faults', () => {
  for (const seed of SEED_RANGE ? listSeeds(SEED_RANGE) : SEEDS) {
    it(`keeps acknowledged entries, has one lease holder at a time and recovers (seed ${seed})`, async () => {
      const { actions, ...report } = await runModel(seed)
      expect(actions).not.to.be.empty
      if (SEED_RANGE) console.log(JSON.stringify({ seed, ...report }))
    })
  }
})
