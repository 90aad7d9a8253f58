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

  it('agree exactly as far as the prompts do', () => {
    fc.assert(
      fc.property(texts, texts, (shared, rest) => {
        const a = build([...shared, 'A'.repeat(40), ...rest])
        const b = build([...shared, 'B'.repeat(40), ...rest])
        const common = build(shared).levels
        for (const [index, level] of common.entries()) {
          expect(a.levels[index]).to.deep.equal(level)
          expect(b.levels[index]).to.deep.equal(level)
        }
        const hashes = new Set(a.levels.slice(common.length).map(({ hash }) => hash))
        for (const { hash } of b.levels.slice(common.length))
          expect(hashes.has(hash)).to.equal(false)
      }),
      { seed: 5 },
    )
  })

  it('never meet over teams, models, adapters or weights', () => {
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
  it('moves only the keys of a server that is gone', () => {
    const servers = createServers(10)
    const fewer = servers.slice(0, 9)
    const rendezvous = createRendezvousHash()
    let moved = 0
    for (let key = 0; key < 500; key += 1) {
      const [before] = rendezvous.rank(`key ${key}`, servers)
      const [after] = rendezvous.rank(`key ${key}`, fewer)
      if (before.id !== 's9') expect(after.id).to.equal(before.id)
      else moved += 1
    }
    expect(moved).to.be.within(20, 100)
  })
})

describe('the width of a subset', () => {
  it('grows step by step under load and shrinks only after a quiet while', () => {
    const widths = createSubsetWidths()
    const outer = toPrefixHash('hot')
    for (let now = 0; now < 1_000; now += 10) widths.record(outer, 500, 100, now)
    expect(widths.find(outer)).to.be.within(3, 6)
    const wide = widths.find(outer)
    widths.record(outer, 0, 100, 2_000)
    expect(widths.find(outer)).to.equal(wide)
    widths.record(outer, 0, 100, 30_000)
    expect(widths.find(outer)).to.equal(wide - 1)
  })
})

describe('ejection', () => {
  const servers = createServers(6)

  it('ejects after repeated failures, lets back in, and never passes its share', () => {
    const ejection = createOutlierEjection({ findMaxEjectedRatio: () => 0.34 })
    for (const { id } of servers) {
      ejection.record(id, 'failed', 0)
      ejection.record(id, 'failed', 0)
    }
    expect(ejection.listEjected(servers, 1).size).to.equal(2)
    expect(ejection.listEjected(servers, 5_000).size).to.equal(0)
    expect(ejection.findSlowStartPenaltyMs(servers[0].id, 1_500)).to.be.greaterThan(0)
  })

  it('forgives a single failure', () => {
    const ejection = createOutlierEjection({ findMaxEjectedRatio: () => 1 })
    ejection.record(servers[0].id, 'failed', 0)
    ejection.record(servers[0].id, 'ok', 0)
    ejection.record(servers[0].id, 'failed', 0)
    expect(ejection.listEjected(servers, 1).size).to.equal(0)
  })
})

describe('the retry budget', () => {
  it('keeps retries to a fraction of first tries in a storm', () => {
    const budget = createRetryBudget(() => 0.1)
    let retries = 0
    for (let request = 0; request < 10_000; request += 1) {
      budget.recordFirstAttempt()
      if (budget.takeRetry()) retries += 1
    }
    expect(retries).to.be.at.most(1_010)
  })
})
