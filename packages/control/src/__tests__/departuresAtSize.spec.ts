import { expect } from 'chai'
import { createFeedSimulation, type FeedSimulationOptions } from './feedSimulation.js'

/** Time from the acknowledgement within which routers stop sending to a server, in ms. */
const DRAIN_MS = 2_000
/** Time without a disturbance after which a router must know what control knows, in ms. */
const CONTACT_MS = 3_000
const DOWN_MS = 1_000
const SUSPENDED_MS = 2_600

const SIZES: Readonly<Record<string, FeedSimulationOptions>> = {
  '24 routers, 21 engines': {
    ...{ routers: 24, engines: 21, partsPerEngine: 176, electedAt: 0, listingMs: 310 },
    ...{ controlCores: 0.16, controlMbps: 100, routerCores: 0.12, routerMbps: 10 },
  },
  '410 routers, 600 engines': {
    ...{ routers: 410, engines: 600, partsPerEngine: 10, electedAt: 0, listingMs: 1_000 },
    ...{ controlCores: 1, controlMbps: 1_000, routerCores: 1, routerMbps: 100 },
  },
}

describe('departures of a fifth of the engines at once', () => {
  for (const [name, options] of Object.entries(SIZES)) {
    const start = async () => {
      const simulation = createFeedSimulation(options)
      await simulation.run(2 * CONTACT_MS)
      return simulation
    }
    const count = Math.ceil(options.engines / 5)
    const listUninformed = (times: readonly (number | undefined)[], boundMs: number) =>
      times.filter((ms) => ms === undefined || ms > boundMs)

    it(`${name}: reach every router within the bound`, async () => {
      const simulation = await start()
      simulation.departEngines(count)
      await simulation.run(DRAIN_MS)
      expect(listUninformed(simulation.departureMs, DRAIN_MS)).to.deep.equal([])
      await simulation.close()
    }).timeout(120_000)

    it(`${name}: reach every router by the time that it is in touch after a loss of the leader`, async () => {
      const simulation = await start()
      simulation.departEngines(count)
      simulation.loseLeader(DOWN_MS)
      await simulation.run(CONTACT_MS)
      expect(listUninformed(simulation.departureMs, CONTACT_MS)).to.deep.equal([])
      await simulation.close()
    }).timeout(120_000)

    it(`${name}: reach the others within the bound while a tenth of the routers is suspended`, async () => {
      const simulation = await start()
      const suspended = Math.ceil(options.routers / 10)
      simulation.suspendRouters(suspended, SUSPENDED_MS)
      simulation.departEngines(count)
      await simulation.run(SUSPENDED_MS + CONTACT_MS)
      const { departureMs } = simulation
      expect(listUninformed(departureMs.slice(suspended), DRAIN_MS)).to.deep.equal([])
      expect(listUninformed(departureMs, SUSPENDED_MS + CONTACT_MS)).to.deep.equal([])
      await simulation.close()
    }).timeout(120_000)
  }
})
