/**
 * Guards against slow distribution of large tables. Each poll reply used to carry the full table to each router, so two
 * changes in succession saturated the leader's link: for 3.5 s no reply reached its routers, although the leader went on
 * committing small changes, and routers took a slow reply for a lost leader. 2.5 s after a change that added 1,400
 * routes, some routers still refused requests on the new routes; 2 s later most routers reported that they were not ready.
 */
import { expect } from 'chai'
import { createFeedSimulation, type FeedSimulationOptions } from './feedSimulation.js'

/** Time from acceptance within which a change of few routes must be in force on every router, in ms. */
const SMALL_MS = 300
/** Time from acceptance within which a change that adds many routes must be in force on every router, in ms. */
const LARGE_MS = 1_000
const SETTLED_MS = 6_000
/** Time between two changes in close succession, in ms. */
const BETWEEN_MS = 100

interface LargeTable extends FeedSimulationOptions {
  readonly routes: number
}

const SIZES: Readonly<Record<string, LargeTable>> = {
  '30 routers and 1,408 routes': {
    routes: 1_408,
    routers: 30,
    engines: 36,
    partsPerEngine: 20,
    controlCores: 0.432,
    controlMbps: 100,
    routerCores: 0.243,
    routerMbps: 7,
    electedAt: 500,
    listingMs: 0,
  },
  '70 routers and 5,000 routes': {
    routes: 5_000,
    routers: 70,
    engines: 82,
    partsPerEngine: 20,
    controlCores: 0.432,
    controlMbps: 100,
    routerCores: 0.243,
    routerMbps: 10,
    electedAt: 500,
    listingMs: 0,
  },
  '410 routers and 5,000 routes': {
    routes: 5_000,
    routers: 410,
    engines: 600,
    partsPerEngine: 4,
    controlCores: 1,
    controlMbps: 1_000,
    routerCores: 1,
    routerMbps: 100,
    electedAt: 500,
    listingMs: 0,
  },
}

describe('routers after a change of the routing table', () => {
  for (const [name, options] of Object.entries(SIZES)) {
    it(`${name}: apply each change in time, and do not take a slow reply for a lost leader`, async () => {
      const simulation = createFeedSimulation(options)
      await simulation.run(options.electedAt + SETTLED_MS)
      const linesBefore = simulation.logLines.length
      simulation.putTable(8, options.routes)
      await simulation.run(BETWEEN_MS)
      simulation.putTable(9, options.routes)
      await simulation.run(SETTLED_MS)
      simulation.putTable(12, options.routes)
      await simulation.run(SETTLED_MS)
      const lost = simulation.logLines
        .slice(linesBefore)
        .filter((line) => line.includes('control.lost'))
      expect(lost).to.have.length(0)
      for (const [version, most] of [[8, LARGE_MS] as const, [9, LARGE_MS], [12, SMALL_MS]]) {
        const ages = simulation.listPropagationMs(version).map((age) => age ?? Infinity)
        expect(Math.max(...ages), `last router with version ${version}`).to.be.below(most)
      }
      await simulation.close()
    }).timeout(240_000)
  }
})
