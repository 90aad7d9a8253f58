import type { FleetConfigInput } from '@spoolgate/config'
import { toBackendServerId, toIncarnation, toRequestId, toTeamId } from '@spoolgate/core'
import { expect } from 'chai'
import fc from 'fast-check'
import { createClaimState, type OpenClaim } from '../state/claimState.js'
import { createConfigState } from '../state/configState.js'
import {
  applyFleetPatch,
  buildFleetPatch,
  hashFleet,
  toCanonicalForm,
} from '../state/fleetPatch.js'
import { createOrderState, MAX_CONCURRENT_WEIGHT_LOADS } from '../state/orderState.js'

const itemIds = fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd', 'e'), { maxLength: 5 })
const fleets: fc.Arbitrary<FleetConfigInput> = fc
  .record({ teams: itemIds, models: itemIds, weights: fc.constantFrom('1', '2') })
  .map(({ teams, models, weights }) =>
    toCanonicalForm({
      teams: teams.map((id) => ({ id, parameters: { share: Number(weights) } })),
      models: models.map((id) => ({ id, weightsVersion: weights })),
    }),
  )

describe('configuration patches', () => {
  it('transform any configuration into any other', () => {
    fc.assert(
      fc.property(fleets, fleets, (before, after) => {
        const patched = applyFleetPatch(before, buildFleetPatch(before, after))
        expect(hashFleet(patched)).to.equal(hashFleet(after))
      }),
      { seed: 11 },
    )
  })
})

describe('the configuration state', () => {
  const submit = (changeId: string, base: number, share = 1) => ({
    kind: 'config.submit' as const,
    changeId,
    base,
    operator: 'o',
    source: { teams: [{ id: 't', parameters: { share } }] },
    at: 0,
  })

  it('returns the first result to a resent change, also after restoring a snapshot', () => {
    const config = createConfigState()
    const first = config.submit(submit('one', 0), 5)
    const restored = createConfigState()
    restored.load(JSON.parse(JSON.stringify(config.save())))
    expect(restored.submit(submit('one', 0), 9)).to.deep.equal(first)
    expect(restored.version()).to.equal(5)
    expect(restored.submit(submit('one', 5, 2), 10).kind).to.equal('changeIdReused')
  })

  it('accepts one of two changes with the same base and reports the differing items to the other', () => {
    const config = createConfigState()
    config.submit(submit('one', 0, 1), 5)
    const second = config.submit(submit('two', 0, 2), 6)
    expect(second).to.deep.include({ kind: 'conflict', version: 5, differs: ['teams/t'] })
    expect(config.version()).to.equal(5)
  })

  it('builds patches for a node with a stored version and the full configuration for other nodes', () => {
    const config = createConfigState()
    config.submit(submit('one', 0, 1), 5)
    config.submit(submit('two', 5, 2), 8)
    expect(config.buildUpdate(8)).to.equal(undefined)
    expect(config.buildUpdate(5)).to.include({ kind: 'patches', version: 8 })
    expect(config.buildUpdate(-1)).to.include({ kind: 'whole', version: 8 })
  })
})

describe('claims', () => {
  const open = (request: string, bodyHash = 'h'): OpenClaim => ({
    kind: 'claim.open',
    team: toTeamId('t'),
    key: 'k',
    bodyHash,
    request: toRequestId(request),
    server: toBackendServerId('s'),
    incarnation: toIncarnation('i'),
    at: 1,
  })
  const settle = { claim: 't/k', number: 1, at: 2 }
  const answer = { status: 200, contentType: 'text/plain', body: 'ok', isBase64: false }

  it('grants one dispatch, repeats the grant to the same request and reports it as running to others', () => {
    const claims = createClaimState()
    expect(claims.open(open('r1')).kind).to.equal('granted')
    expect(claims.open(open('r1')).kind).to.equal('granted')
    expect(claims.open(open('r2'))).to.deep.include({ kind: 'running' })
    expect(claims.open(open('r2', 'other')).kind).to.equal('conflict')
  })

  it('grants another dispatch only after the first was released', () => {
    const claims = createClaimState()
    claims.open(open('r1'))
    claims.release({ kind: 'claim.release', ...settle })
    const second = claims.open(open('r2'))
    expect(second.kind === 'granted' && second.dispatch.number).to.equal(2)
    expect(claims.finish({ kind: 'claim.finish', ...settle, answer }).isSettled).to.equal(false)
  })

  it('never leaves the unknown phase, and stores a finished response until it expires', () => {
    const claims = createClaimState()
    claims.open(open('r1'))
    claims.lose({ kind: 'claim.lose', ...settle })
    expect(claims.release({ kind: 'claim.release', ...settle }).isSettled).to.equal(false)
    expect(claims.open(open('r2')).kind).to.equal('unknown')

    const kept = createClaimState()
    kept.open(open('r1'))
    kept.finish({ kind: 'claim.finish', ...settle, answer })
    expect(kept.open(open('r2'))).to.deep.equal({ kind: 'finished', answer })
    expect(kept.expire({ kind: 'claim.expire', before: 2, at: 3 }).removed).to.equal(0)
    expect(kept.expire({ kind: 'claim.expire', before: 3, at: 3 }).removed).to.equal(1)
  })
})

describe('orders', () => {
  const issue = (server: string) => ({
    kind: 'order.issue' as const,
    server: toBackendServerId(server),
    action: 'loadWeights' as const,
    value: 'w2',
    at: 0,
  })

  it('limits the number of backend servers that load weights concurrently', () => {
    const orders = createOrderState()
    for (let index = 0; index < MAX_CONCURRENT_WEIGHT_LOADS; index += 1) {
      expect(orders.issue(issue(`s${index}`), index + 1).kind).to.equal('issued')
    }
    expect(orders.issue(issue('late'), 9).kind).to.equal('noSlot')
    orders.finish({
      kind: 'order.finish',
      server: toBackendServerId('s0'),
      fencing: 1,
      outcome: 'done',
      at: 0,
    })
    expect(orders.issue(issue('late'), 10).kind).to.equal('issued')
    expect(orders.findHighestFencing(toBackendServerId('late'))).to.equal(10)
  })
})
