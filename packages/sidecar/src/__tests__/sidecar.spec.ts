import {
  createInvariants,
  createManualTimerService,
  createQuietLogger,
  toAttemptNumber,
  toIncarnation,
  toPrefixHash,
  toRequestId,
  toTeamId,
} from '@spoolgate/core'
import type { CallHeader } from '@spoolgate/routing'
import { expect } from 'chai'
import { createCacheIndex } from '../backend/cacheIndex.js'
import { createCall, type Call } from '../calls/call.js'
import { createCallTable } from '../calls/callTable.js'
import { createDispatchTable } from '../calls/dispatches.js'
import { createFairQueue } from '../calls/fairQueue.js'
import { createLoadEstimate } from '../calls/loadEstimate.js'

const [a, b] = ['a', 'b'].map(toPrefixHash)
const chain = {
  scope: 's',
  levels: [
    { hash: a, tokens: 16 },
    { hash: b, tokens: 32 },
  ],
  totalTokens: 40,
}

describe('the index of an engine cache', () => {
  it('applies events in order and asks for a snapshot at a gap', () => {
    const index = createCacheIndex()
    index.reset(toIncarnation('one'))
    expect(index.apply([{ sequence: 1, kind: 'stored', hashes: [a, b] }], 0)).to.equal('applied')
    expect(index.match(chain, 0)).to.equal(32)
    expect(index.apply([{ sequence: 3, kind: 'removed', hashes: [a] }], 0)).to.equal('gap')
    index.load([a], 3, 0)
    expect(index.match(chain, 0)).to.equal(16)
  })

  it('forgets everything with a new incarnation', () => {
    const index = createCacheIndex()
    index.reset(toIncarnation('one'))
    index.recordComputed(chain, 0)
    expect(index.match(chain, 0)).to.equal(32)
    index.reset(toIncarnation('two'))
    expect(index.match(chain, 0)).to.equal(0)
    expect(index.lastSequence()).to.equal(0)
  })

  it('learns how long unused blocks last', () => {
    const index = createCacheIndex()
    index.reset(toIncarnation('one'))
    for (let turn = 0; turn < 100; turn += 1) {
      index.recordComputed(chain, turn * 1_000)
      const event = { sequence: turn + 1, kind: 'removed' as const, hashes: [a, b] }
      index.apply([event], turn * 1_000 + 200)
    }
    expect(index.lifetimeMs()).to.be.closeTo(200, 10)
  })
})

describe('the fair queue', () => {
  it('shares slots by weight, whoever floods', () => {
    const queue = createFairQueue(1)
    const started: string[] = []
    const add = (team: string, share: number) =>
      queue.add({
        team: toTeamId(team),
        priority: 5,
        share,
        cost: 100,
        run: () => started.push(team),
      })
    add('first', 1)
    for (let call = 0; call < 60; call += 1) add('flood', 1)
    for (let call = 0; call < 20; call += 1) add('small', 2)
    for (let turn = 0; turn < 30; turn += 1) queue.finish()
    const served = started.slice(1, 31).filter((team) => team === 'small').length
    expect(served).to.equal(20)
  })

  it('serves the more urgent first, and takes out what was cancelled', () => {
    const queue = createFairQueue(1)
    const started: string[] = []
    const add = (name: string, priority: number) =>
      queue.add({ team: toTeamId('t'), priority, share: 1, cost: 1, run: () => started.push(name) })
    add('running', 5)
    const remove = add('cancelled', 0)
    add('late', 9)
    add('urgent', 0)
    expect(remove()).to.equal(true)
    expect(remove()).to.equal(false)
    queue.finish()
    queue.finish()
    expect(started).to.deep.equal(['running', 'urgent', 'late'])
  })
})

describe('the estimate of load', () => {
  it('learns the speed of the engine and counts what waits', () => {
    const timers = createManualTimerService()
    const estimate = createLoadEstimate(timers)
    for (let turn = 0; turn < 100; turn += 1) {
      const call = estimate.startCall(4_000)
      timers.advance(200)
      call.recordFirstToken()
      call.recordEnd()
    }
    expect(estimate.prefillTokensPerMs()).to.be.closeTo(20, 1)
    expect(estimate.queueMs(0, 8)).to.equal(0)
    estimate.startCall(2_000)
    expect(estimate.queueMs(0, 8)).to.be.closeTo(100, 10)
  })
})

describe('dispatches', () => {
  it('are never barred once they have run, though their answers are gone', () => {
    const timers = createManualTimerService()
    const invariants = createInvariants({ logger: createQuietLogger(), fatal: true })
    const dispatches = createDispatchTable()
    const dispatch = { claim: 'team/key', number: 1, incarnation: toIncarnation('one') }
    const calls = createCallTable({
      timers,
      resumeWindowMs: 10,
      dispatchWindowMs: 1_000,
      onForget: (call) => dispatches.forget(dispatch, call.outcome() ?? { outcome: 'failed' }),
    })
    const header = {
      request: toRequestId('r'),
      attempt: toAttemptNumber(1),
      dispatch,
    } as CallHeader
    const call: Call = createCall({ header, invariants, onIdle: () => calls.watchIdle(call) })
    calls.add(call)
    dispatches.add(dispatch, call)
    expect(dispatches.bar(dispatch)).to.deep.equal({ state: 'running' })
    call.finish({ outcome: 'finished' })
    expect(dispatches.bar(dispatch)).to.deep.equal({ state: 'finished' })
    timers.advance(2_000)
    expect(calls.find(header.request, header.attempt)).to.equal(undefined)
    expect(dispatches.bar(dispatch)).to.deep.equal({ state: 'failed', notRun: false })
    expect(dispatches.isBarred(dispatch)).to.equal(true)
  })
})
