import { createManualTimerService } from '@spoolgate/core'
import { expect } from 'chai'
import { createRateLimitAllocator } from '../registry/rateLimitAllocator.js'

const ROUTERS = Array.from({ length: 12 }, (_, index) => `r${index}`)
const SETTLED_MS = 2_000

function createAllocator(routers: readonly string[] = ROUTERS) {
  const timers = createManualTimerService()
  const known = { routers: [...routers], servers: new Set(['s1', 's2']) }
  const allocator = createRateLimitAllocator({
    timers,
    listRouters: () => known.routers,
    isRegistered: (server) => known.servers.has(server),
  })
  const report = (perSecond: number | null, ageMs = 0) =>
    allocator.record([{ server: 's1', perSecond, ageMs }])
  /** Maps routers to their shares of the first server, without routers that have none. */
  const listParts = () => {
    const all = known.routers.map((router) => [router, allocator.buildUpdate(router)] as const)
    return new Map(
      all.flatMap(([router, { servers }]) => {
        const part = servers.find(({ server }) => server === 's1')?.part
        return part === undefined ? [] : [[router, part] as const]
      }),
    )
  }
  return { timers, known, allocator, report, listParts }
}

describe('rate limit allocator', () => {
  for (const perSecond of [0, 0.2, 1.7, 4, 2_000]) {
    it(`assigns exactly the whole rate of ${perSecond} per second`, () => {
      const { timers, report, listParts } = createAllocator()
      timers.advance(SETTLED_MS)
      report(perSecond)
      const parts = [...listParts().values()]
      expect(parts.reduce((sum, part) => sum + part, 0)).to.be.closeTo(1, 1e-9)
      expect(parts.length).to.equal(Math.min(12, Math.max(1, Math.ceil(perSecond / 0.75))))
    })
  }

  it('assigns no shares until routers have polled a new leader', () => {
    const { timers, allocator, report } = createAllocator()
    report(2)
    expect(allocator.buildUpdate('r1').hasParts).to.equal(false)
    const before = allocator.revision()
    timers.advance(SETTLED_MS)
    expect(allocator.revision()).to.be.above(before)
    expect(allocator.buildUpdate('r1').hasParts).to.equal(true)
  })

  it('reassigns only the shares of routers that leave', () => {
    const { timers, known, report, listParts } = createAllocator()
    timers.advance(SETTLED_MS)
    report(3)
    const before = listParts()
    const [gone] = before.keys()
    known.routers = known.routers.filter((router) => router !== gone)
    timers.advance(1_000)
    const after = listParts()
    expect(after.size).to.equal(before.size)
    expect([...before.keys()].filter((router) => after.has(router))).to.have.length(before.size - 1)
  })

  it('reassigns an unused rate to other routers', () => {
    const { timers, report, listParts } = createAllocator()
    timers.advance(SETTLED_MS)
    report(0.5)
    const chosen = new Set(listParts().keys())
    for (let round = 0; round < 10; round += 1) {
      timers.advance(7_000)
      for (const router of listParts().keys()) chosen.add(router)
    }
    expect(chosen.size).to.be.above(4)
  })

  it('keeps the shares of routers that use them', () => {
    const { timers, report, listParts } = createAllocator()
    timers.advance(SETTLED_MS)
    report(0.5)
    const before = [...listParts().keys()]
    for (let round = 0; round < 10; round += 1) {
      timers.advance(3_000)
      report(0.5)
    }
    expect([...listParts().keys()]).to.deep.equal(before)
  })

  it('applies the newest report, regardless of the order of arrival', () => {
    const { timers, allocator, report } = createAllocator()
    timers.advance(SETTLED_MS)
    report(null, 100)
    report(2, 500)
    expect(allocator.buildUpdate('r1').servers).to.deep.equal([
      { server: 's1', perSecond: null, ageMs: 100 },
    ])
    report(3, 50)
    expect(allocator.buildUpdate('r1').servers[0]).to.include({ perSecond: 3, ageMs: 50 })
  })

  it('removes limits of servers that left, and limits withdrawn more than 60 s ago', () => {
    const { timers, known, allocator, report } = createAllocator()
    timers.advance(SETTLED_MS)
    report(2)
    known.servers.delete('s1')
    timers.advance(1_000)
    expect(allocator.buildUpdate('r1').servers).to.have.length(0)
    known.servers.add('s1')
    report(null)
    timers.advance(59_000)
    expect(allocator.buildUpdate('r1').servers).to.have.length(1)
    timers.advance(2_000)
    expect(allocator.buildUpdate('r1').servers).to.have.length(0)
  })
})
