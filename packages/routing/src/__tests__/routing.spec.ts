import type { BackendServer } from '@spoolgate/config'
import { toBackendServerId, toPrefixHash, toWeightsVersion } from '@spoolgate/core'
import { expect } from 'chai'
import fc from 'fast-check'
import { createOutlierEjection } from '../ejection.js'
import { buildPrefixChain, formatCacheSalt } from '../prefixChain.js'
import { renderPrompt } from '../promptText.js'
import { createRendezvousHash } from '../rendezvous.js'
import { createRetryBudget } from '../retryBudget.js'
import { createSubsetWidths } from '../subsetWidths.js'

const SIZES = { blockTokens: 4, bytesPerToken: 4 }
const SCOPE = { owner: 'team', model: 'm', adapter: '', weightsVersion: toWeightsVersion('w1') }

function createServers(count: number): BackendServer[] {
  return Array.from({ length: count }, (_, index) => ({
    id: toBackendServerId(`s${index}`),
    kind: 'engine',
    sidecarUrl: 'http://127.0.0.1:1',
    hall: 'h',
    region: 'r',
    serves: 'm',
    leaving: false,
  }))
}

describe('prefix chains', () => {
  const texts = fc.array(fc.string({ minLength: 20, maxLength: 60 }), {
    minLength: 1,
    maxLength: 5,
  })
  const build = (contents: readonly string[], scope = SCOPE) => {
    const messages = contents.map((content) => ({ role: 'user', content }))
    return buildPrefixChain(scope, renderPrompt({ messages }), SIZES)
  }

  it('have equal hashes exactly as far as the prompts are equal', () => {
    fc.assert(
      fc.property(texts, texts, (shared, rest) => {
        const a = build([...shared, 'A'.repeat(40), ...rest])
        const b = build([...shared, 'B'.repeat(40), ...rest])
        const sharedLevels = build(shared).levels
        for (const [index, level] of sharedLevels.entries()) {
          expect(a.levels[index]).to.deep.equal(level)
          expect(b.levels[index]).to.deep.equal(level)
        }
        const hashes = new Set(a.levels.slice(sharedLevels.length).map(({ hash }) => hash))
        for (const { hash } of b.levels.slice(sharedLevels.length))
          expect(hashes.has(hash)).to.equal(false)
      }),
      { seed: 5 },
    )
  })

  it('differ between teams, models, adapters and weights versions', () => {
    const scopes = [
      SCOPE,
      { ...SCOPE, owner: 'other' },
      { ...SCOPE, model: 'other' },
      { ...SCOPE, adapter: 'other' },
      { ...SCOPE, weightsVersion: toWeightsVersion('w2') },
    ]
    const hashes = scopes.map(
      (scope) => build(['the same prompt for all of them'], scope).levels[0].hash,
    )
    expect(new Set(hashes).size).to.equal(scopes.length)
    expect(new Set(scopes.map(formatCacheSalt)).size).to.equal(scopes.length)
  })
})

describe('rendezvous hashing', () => {
  it('moves only the keys of a removed server', () => {
    const servers = createServers(10)
    const fewer = servers.slice(0, 9)
    const rendezvous = createRendezvousHash()
    let movedKeys = 0
    for (let key = 0; key < 500; key += 1) {
      const [before] = rendezvous.rank(`key ${key}`, servers)
      const [after] = rendezvous.rank(`key ${key}`, fewer)
      if (before.id !== 's9') expect(after.id).to.equal(before.id)
      else movedKeys += 1
    }
    expect(movedKeys).to.be.within(20, 100)
  })
})

describe('subset widths', () => {
  it('grow in steps under load and shrink only after a period without load', () => {
    const widths = createSubsetWidths()
    const outerHash = toPrefixHash('hot')
    for (let now = 0; now < 1_000; now += 10) widths.record(outerHash, 500, 100, now)
    expect(widths.find(outerHash)).to.be.within(3, 6)
    const widened = widths.find(outerHash)
    widths.record(outerHash, 0, 100, 2_000)
    expect(widths.find(outerHash)).to.equal(widened)
    widths.record(outerHash, 0, 100, 30_000)
    expect(widths.find(outerHash)).to.equal(widened - 1)
  })
})

describe('outlier ejection', () => {
  const servers = createServers(6)

  it('ejects after consecutive failures, readmits servers, and never exceeds the allowed share', () => {
    const ejection = createOutlierEjection({ findMaxEjectedRatio: () => 0.34 })
    for (const { id } of servers) {
      ejection.record(id, 'failed', 0)
      ejection.record(id, 'failed', 0)
    }
    expect(ejection.listEjected(servers, 1).size).to.equal(2)
    expect(ejection.listEjected(servers, 5_000).size).to.equal(0)
    expect(ejection.findSlowStartPenaltyMs(servers[0].id, 1_500)).to.be.greaterThan(0)
  })

  it('does not eject for failures that are not consecutive', () => {
    const ejection = createOutlierEjection({ findMaxEjectedRatio: () => 1 })
    ejection.record(servers[0].id, 'failed', 0)
    ejection.record(servers[0].id, 'ok', 0)
    ejection.record(servers[0].id, 'failed', 0)
    expect(ejection.listEjected(servers, 1).size).to.equal(0)
  })
})

describe('retry budget', () => {
  it('limits retries to a fraction of first attempts when all attempts fail', () => {
    const budget = createRetryBudget(() => 0.1)
    let retries = 0
    for (let request = 0; request < 10_000; request += 1) {
      budget.recordFirstAttempt()
      if (budget.takeRetry()) retries += 1
    }
    expect(retries).to.be.at.most(1_010)
  })
})
