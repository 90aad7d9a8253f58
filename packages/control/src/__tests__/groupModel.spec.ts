import { expect } from 'chai'
import { runModel } from './groupModel.js'

/**
 * Seeds that have found a fault: 643, a voter that was taken in by a snapshot voted for nobody, so that
 * two lost disks of five left no majority.
 */
const REGRESSION_SEEDS = [643]
/** Seeds that are always run. */
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, ...REGRESSION_SEEDS]
/** Further seeds by hand, as `from-to`: GROUP_MODEL_SEEDS=100-400 npx mocha ... */
const SEED_RANGE = process.env.GROUP_MODEL_SEEDS

/** Lists the seeds of a range. */
function listSeeds(range: string): number[] {
  const [from, to] = range.split('-').map(Number)
  return Array.from({ length: to - from + 1 }, (_, index) => from + index)
}

describe('a control group through random troubles', () => {
  for (const seed of SEED_RANGE ? listSeeds(SEED_RANGE) : SEEDS) {
    it(`keeps what it acknowledged, under one leader at a time, and serves again (seed ${seed})`, async () => {
      const { actions, ...report } = await runModel(seed)
      expect(actions).not.to.be.empty
      if (SEED_RANGE) console.log(JSON.stringify({ seed, ...report }))
    })
  }
})
