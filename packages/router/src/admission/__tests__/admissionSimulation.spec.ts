import { expect } from 'chai'
import {
  runAdmissionSimulation,
  type AdmissionSimulationOptions,
  type AdmissionSimulationResult,
} from './admissionSimulation.js'

const BASE = {
  seed: 7,
  routers: 17,
  engines: 20,
  load: 2,
  method: 'parts',
  durationMs: 4_000,
} as const
/** Least part of the most urgent band on time, where that band alone fits. */
const ON_TIME_RATIO = 0.95
/** Least part of the engine time that is used, and of this for requests on time. */
const USEFUL_RATIO = 0.9
const FAIR_RATIO = 0.9

/** Results by options: several tests look at the same run. */
const results = new Map<string, AdmissionSimulationResult>()

function run(options: Partial<AdmissionSimulationOptions> = {}): AdmissionSimulationResult {
  const merged = { ...BASE, ...options }
  const key = JSON.stringify(merged)
  const result = results.get(key) ?? runAdmissionSimulation(merged)
  results.set(key, result)
  return result
}

describe('admission at many routers', () => {
  for (const routers of [17, 33]) {
    const size = { routers, engines: Math.round(routers * 1.2) }

    it(`does not delay requests at a load of 0.8: ${routers} routers`, () => {
      const { value, bands } = run({ ...size, load: 0.8 })
      expect(value).to.be.at.least(0.99)
      for (const { refused } of bands) expect(refused).to.equal(0)
    })

    for (const load of [1.2, 2]) {
      it(`does not let the most urgent band miss its target at a load of ${load}: ${routers} routers`, () => {
        expect(run({ ...size, load }).bands[0].onTime).to.be.at.least(ON_TIME_RATIO)
      })

      it(`does not leave engines idle or busy with late work at a load of ${load}: ${routers} routers`, () => {
        const { busy, usefulBusy } = run({ ...size, load })
        expect(busy).to.be.at.least(USEFUL_RATIO)
        expect(usefulBusy).to.be.at.least(USEFUL_RATIO)
      })
    }

    for (const load of [1.2, 2, 4]) {
      it(`does not serve a band less often than a lower one at a load of ${load}: ${routers} routers`, () => {
        const served = run({ ...size, load }).bands.map(({ onTime, late }) => onTime + late)
        for (const [band, ratio] of served.slice(1).entries())
          expect(served[band]).to.be.at.least(ratio)
      })

      it(`is worth more than sending at once or by reported loads at a load of ${load}: ${routers} routers`, () => {
        const { value } = run({ ...size, load })
        for (const method of ['direct', 'reported'] as const)
          expect(value).to.be.at.least(run({ ...size, load, method }).value)
      })
    }
  }

  it('does not serve a team less than 0.9 of its fair share of a band', () => {
    const ratios = run({ durationMs: 10_000 }).bands.map(({ minFairRatio }) => minFairRatio)
    const unfair = ratios.filter((ratio) => ratio < FAIR_RATIO)
    expect(unfair, `by band: ${ratios.join(', ')}`).to.deep.equal([])
  })

  const FAULTS = {
    'the leader is lost for 3 s': 'noLeader',
    'a third of the reports is lost': 'lostReports',
    'a router is killed': 'routerKilled',
    'a tenth of the engines restart': 'engineCrash',
  } as const
  for (const [title, kind] of Object.entries(FAULTS)) {
    it(`keeps engines busy and the most urgent band on time if ${title}`, () => {
      const faults = [{ kind, atMs: 2_000, durationMs: 3_000 }]
      const { bands, busy } = run({ faults, durationMs: 6_000 })
      expect(bands[0].onTime).to.be.at.least(ON_TIME_RATIO)
      expect(busy).to.be.at.least(USEFUL_RATIO)
    })
  }
})
