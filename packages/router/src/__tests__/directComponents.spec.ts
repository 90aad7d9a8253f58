import { createManualTimerService, toBackendServerId } from '@spoolgate/core'
import { hashPromptPart } from '@spoolgate/routing'
import { expect } from 'chai'
import fc from 'fast-check'
import { createSseEventBuffer } from '../direct/sseEventBuffer.js'
import { buildPlacement, createPrefixCacheIndex } from '../direct/prefixCacheIndex.js'
import { createRetryBudget } from '../direct/retryBudget.js'
import { createLivenessMonitor } from '../direct/livenessMonitor.js'
import { createServerStats } from '../direct/serverStats.js'

const S1 = toBackendServerId('s1')
const PARTS = [
  { id: 'outer', tokens: 100 },
  { id: 'inner', tokens: 50 },
  { id: 'own', tokens: 20 },
]

describe('the event cutter', () => {
  it('emits only whole events, however the bytes are chunked', () => {
    const event = fc
      .tuple(fc.nat(), fc.stringMatching(/^[a-z ]{0,12}$/))
      .map(([id, text]) => `id: ${id}\ndata: ${text}\n\n`)
    fc.assert(
      fc.property(fc.array(event), fc.array(fc.nat({ max: 30 })), (events, sizes) => {
        const text = events.join('')
        const cutter = createSseEventBuffer({ isResumable: true })
        let passed = ''
        let at = 0
        for (const size of [...sizes, text.length]) {
          passed += cutter.add(Buffer.from(text.slice(at, at + size))).toString()
          at += size
          expect(passed === '' || passed.endsWith('\n\n')).to.equal(true)
        }
        expect(passed).to.equal(text)
        expect(cutter.hasPartialEvent()).to.equal(false)
      }),
      { seed: 11 },
    )
  })

  it('buffers a partial event and reports the ID of the last whole one', () => {
    const cutter = createSseEventBuffer({ isResumable: true })
    const whole = cutter.add(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: b'))
    expect(whole.toString()).to.equal('id: 1\ndata: a\n\n')
    expect(cutter.lastEventId()).to.equal('1')
    expect(cutter.hasPartialEvent()).to.equal(true)
  })

  it('finds a boundary whose bytes come one by one, or beside long chunks', () => {
    const long = 'x'.repeat(5_000)
    for (const boundary of ['\n\n', '\r\n\r\n'])
      for (const chunks of [
        ['id: 1', ...boundary],
        [...'id', long, ...boundary],
        [boundary[0], `${boundary.slice(1)}id`],
        ['a', long, `${boundary[0]}`, `${boundary.slice(1)}${long}`],
      ]) {
        const cutter = createSseEventBuffer({ isResumable: true })
        const passed = chunks.map((chunk) => cutter.add(Buffer.from(chunk)).toString()).join('')
        const text = chunks.join('')
        expect(passed).to.equal(text.slice(0, text.lastIndexOf(boundary) + boundary.length))
        expect(cutter.partialBytes()).to.equal(text.length - passed.length)
      }
  })

  it('reads an ID without the blanks around it, whatever ends its line', () => {
    for (const [text, id] of [
      ['id:1\n\n', '1'],
      ['id: \t 1 2\t \r\n\r\n', '1 2'],
      ['id: 1\rid: 2\rdata: 3\n\n', '2'],
      ['data: id: 1\nidea: 2\n\n', undefined],
      ['id: 1\nid:\t\n\n', ''],
    ]) {
      const cutter = createSseEventBuffer({ isResumable: false })
      cutter.add(Buffer.from(text as string))
      expect(cutter.lastEventId()).to.equal(id)
    }
  })

  // Each value took the square of its length and held up all requests of the router.
  it('reads runs of blanks of any length in an ID once', () => {
    const run = (blank: string) => blank.repeat(1024 * 1024)
    for (const blanks of [run(' '), run(' \t'), run(' \r')]) {
      const cutter = createSseEventBuffer({ isResumable: false })
      cutter.add(Buffer.from(`id: 2${blanks}.\ndata: piece\n\n`))
      expect(cutter.lastEventId()).to.equal(blanks.includes('\r') ? '2' : `2${blanks}.`)
    }
  })

  it('does not copy the long chunks of an event without end', () => {
    const cutter = createSseEventBuffer({ isResumable: true })
    const chunks = Array.from({ length: 48 }, () => Buffer.alloc(64 * 1024, 'x'))
    const before = process.memoryUsage().arrayBuffers
    for (const chunk of chunks) cutter.add(chunk)
    expect(process.memoryUsage().arrayBuffers - before).to.be.below(chunks[0].length)
    expect(cutter.partialBytes()).to.equal(48 * 64 * 1024)
  })
})

describe('the retry budget', () => {
  const bounds = { ratio: 0.2, slack: 40, windowMs: 10_000 }

  it('keeps the retries of all routers within the fleet budget, whatever their load', () => {
    fc.assert(
      fc.property(fc.array(fc.nat({ max: 200 }), { minLength: 1, maxLength: 12 }), (firsts) => {
        const timers = createManualTimerService()
        const countRouters = () => firsts.length
        let repeats = 0
        for (const count of firsts) {
          const share = createRetryBudget({ timers, bounds, countRouters })
          for (let turn = 0; turn < count; turn += 1) share.recordFirstSend('g')
          while (share.takeRetry('g')) repeats += 1
        }
        const requests = firsts.reduce((sum, count) => sum + count, 0)
        expect(repeats).to.be.at.most(bounds.ratio * requests + bounds.slack)
      }),
      { seed: 5 },
    )
  })

  it('is available again once the window has passed', () => {
    const timers = createManualTimerService()
    const share = createRetryBudget({ timers, bounds, countRouters: () => 40 })
    for (let turn = 0; turn < 10; turn += 1) share.recordFirstSend('g')
    while (share.takeRetry('g'));
    timers.advance(bounds.windowMs + 1)
    for (let turn = 0; turn < 10; turn += 1) share.recordFirstSend('g')
    expect(share.takeRetry('g')).to.equal(true)
  })
})

function createMemory(cacheTokens = 10_000) {
  return createPrefixCacheIndex({ findCacheTokens: () => cacheTokens })
}

describe('the prefix cache index', () => {
  it('counts the leading parts that an engine was sent, by version and scope', () => {
    const memory = createMemory()
    memory.recordPlacement(buildPlacement(S1, 2, 'shared', PARTS))
    const others = [...PARTS.slice(0, 2), { id: 'another', tokens: 9 }]
    expect(memory.countCachedTokens(S1, 2, 'shared', others)).to.equal(150)
    expect(memory.countCachedTokens(S1, 3, 'shared', others)).to.equal(0)
    expect(memory.countCachedTokens(S1, 2, 'team', others)).to.equal(0)
  })

  it('drops the parts of older weights, and ignores late placements for them', () => {
    const memory = createMemory()
    memory.recordPlacement(buildPlacement(S1, 2, 'shared', PARTS))
    memory.recordPlacement(buildPlacement(S1, 3, 'shared', PARTS.slice(0, 1)))
    memory.recordPlacement(buildPlacement(S1, 2, 'shared', PARTS))
    expect(memory.countCachedTokens(S1, 2, 'shared', PARTS)).to.equal(0)
    expect(memory.countCachedTokens(S1, 3, 'shared', PARTS)).to.equal(100)
  })

  it('evicts the least recently used parts when an engine is full', () => {
    const memory = createMemory(100)
    memory.recordPlacement(buildPlacement(S1, 1, 'shared', [{ id: 'old', tokens: 60 }]))
    memory.recordPlacement(buildPlacement(S1, 1, 'shared', [{ id: 'new', tokens: 60 }]))
    expect(memory.countCachedTokens(S1, 1, 'shared', [{ id: 'old', tokens: 60 }])).to.equal(0)
    expect(memory.countCachedTokens(S1, 1, 'shared', [{ id: 'new', tokens: 60 }])).to.equal(60)
  })

  it('counts sent parts at once, and gives precedence to what the engine reports', () => {
    const memory = createMemory()
    memory.recordPlacement(buildPlacement(S1, 1, 'shared', PARTS))
    expect(memory.countCachedTokens(S1, 1, 'shared', PARTS)).to.equal(170)
    memory.confirmPlacement([S1, 1, hashPromptPart('shared', 'inner'), 16])
    memory.recordPlacement(buildPlacement(S1, 1, 'shared', PARTS))
    expect(memory.countCachedTokens(S1, 1, 'shared', PARTS)).to.equal(116)
  })

  it('counts a partially cached part, and nothing after it or after an evicted one', () => {
    const memory = createMemory()
    memory.confirmPlacement(buildPlacement(S1, 1, 'shared', PARTS))
    const keep = (id: string, tokens: number) =>
      memory.confirmPlacement(buildPlacement(S1, 1, 'shared', [{ id, tokens }]))
    keep('inner', 32)
    expect(memory.countCachedTokens(S1, 1, 'shared', PARTS)).to.equal(132)
    // Engines cache whole blocks: less than one block is missing here.
    keep('inner', 48)
    expect(memory.countCachedTokens(S1, 1, 'shared', PARTS)).to.equal(168)
    keep('outer', 0)
    expect(memory.countCachedTokens(S1, 1, 'shared', PARTS)).to.equal(0)
  })

  it('returns its own placements for the other routers once', () => {
    const memory = createMemory()
    memory.recordOwnPlacement(buildPlacement(S1, 1, 'shared', PARTS))
    expect(memory.takePlacements()).to.have.length(1)
    expect(memory.takePlacements()).to.have.length(0)
  })
})

describe('server statistics', () => {
  it('report no server activity for a call until there is some', () => {
    const timers = createManualTimerService()
    const board = createServerStats(timers)
    const call = board.startCall(S1, 10)
    timers.advance(1)
    expect(call.hasNoServerActivity()).to.equal(true)
    board.startCall(S1, 10).recordActivity()
    expect(call.hasNoServerActivity()).to.equal(false)
  })

  it('raise the failure rate with failures and lower it as calls succeed', () => {
    const board = createServerStats(createManualTimerService())
    for (let turn = 0; turn < 10; turn += 1) board.startCall(S1, 0).finish('failed')
    expect(board.findFailureRate(S1)).to.be.above(0.6)
    for (let turn = 0; turn < 40; turn += 1) board.startCall(S1, 0).finish('ok')
    expect(board.findFailureRate(S1)).to.be.below(0.05)
  })

  it('count calls and the prompt tokens that are not prefilled yet', () => {
    const board = createServerStats(createManualTimerService())
    const call = board.startCall(S1, 10)
    board.startCall(S1, 5)
    expect(board.findLoad(S1)).to.deep.equal({ calls: 2, promptTokens: 15 })
    call.recordFirstChunk()
    call.finish('ok')
    call.finish('ok')
    expect(board.findLoad(S1)).to.deep.equal({ calls: 1, promptTokens: 5 })
  })
})

describe('the liveness monitor', () => {
  const server = { id: S1, address: '127.0.0.1:1' }

  it('reports a server as reachable if it accepts connections, however slow it is', async () => {
    const timers = createManualTimerService()
    const probe = async () => true
    const liveness = createLivenessMonitor({ timers, probe, isRegistered: () => true })
    expect(await liveness.checkReachable(server)).to.equal(true)
    expect(liveness.isUnreachable(S1)).to.equal(false)
  })

  it('reports one that does not as unreachable until it accepts a connection again', async () => {
    const timers = createManualTimerService()
    let isUp = false
    const liveness = createLivenessMonitor({
      timers,
      probe: async () => isUp,
      isRegistered: () => true,
    })
    expect(await liveness.checkReachable(server)).to.equal(false)
    expect(liveness.isUnreachable(S1)).to.equal(true)
    timers.advance(1_000)
    await new Promise((resolve) => setImmediate(resolve))
    expect(liveness.isUnreachable(S1)).to.equal(true)
    isUp = true
    timers.advance(1_000)
    await new Promise((resolve) => setImmediate(resolve))
    expect(liveness.isUnreachable(S1)).to.equal(false)
    liveness.close()
  })
})
