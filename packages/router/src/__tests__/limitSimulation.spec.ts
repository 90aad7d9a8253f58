import { expect } from 'chai'
import { runLimitSimulation, type LimitChange } from './limitSimulation.js'

/** Part of the named rate that a limited server should get where the others have no room. */
const USED_RATIO = 0.6
/** Part of the requests that are served where other servers have room. */
const SERVED_RATIO = 0.98
/** Part of its even share that a server gets 4 s after its limit is withdrawn. */
const SHARE_AFTER_RATIO = 0.5

describe('a fleet of which some servers name rate limits', () => {
  const BUSY = { servers: 6, requestsPerSecond: 400, processingMs: 600, durationMs: 12_000 }
  const QUIET = { servers: 6, requestsPerSecond: 65, durationMs: 16_000 }
  const SEED = { seed: 43 }
  const nameLimit = (servers: number, perSecond: number): LimitChange[] => [
    { atMs: 2_000, servers, perSecond },
  ]
  const withdrawLimit = (servers: number, perSecond: number): LimitChange[] => [
    ...nameLimit(servers, perSecond),
    { atMs: 8_000, servers, perSecond: undefined },
  ]

  for (const routers of [6, 24]) {
    for (const perSecond of [0.2, 1.7, 4]) {
      it(`keeps a limit of ${perSecond} and uses it: ${routers} routers`, () => {
        const changes = nameLimit(2, perSecond)
        const shown = runLimitSimulation({ ...BUSY, ...SEED, routers, changes })
        expect(shown.maxWindowRatio).to.be.at.most(1)
        expect(shown.minUsedRatio).to.be.at.least(USED_RATIO)
        expect(shown.rejected / shown.sent).to.be.at.most(1 - SERVED_RATIO)
      })
    }

    it(`keeps the limits of all servers: ${routers} routers`, () => {
      const changes = nameLimit(6, 3)
      const shown = runLimitSimulation({ ...QUIET, ...SEED, routers, changes })
      expect(shown.maxWindowRatio).to.be.at.most(1)
      expect(shown.minUsedRatio).to.be.at.least(USED_RATIO)
    })

    it(`returns to a server whose limit is withdrawn: ${routers} routers`, () => {
      for (const perSecond of [0, 0.2, 2]) {
        const changes = withdrawLimit(2, perSecond)
        const shown = runLimitSimulation({ ...QUIET, ...SEED, routers, changes })
        expect(shown.maxWindowRatio).to.be.at.most(1)
        expect(shown.minRecoveredRatio).to.be.at.least(SHARE_AFTER_RATIO)
      }
    })

    it(`keeps a limit that is lowered: ${routers} routers`, () => {
      const changes = [...nameLimit(2, 10), { atMs: 7_000, servers: 2, perSecond: 2 }]
      const shown = runLimitSimulation({ ...BUSY, ...SEED, routers, changes })
      expect(shown.maxWindowRatio).to.be.at.most(1)
      expect(shown.minUsedRatio).to.be.at.least(USED_RATIO)
    })

    it(`keeps a limit without a leader, under the next one, and beside restarts: ${routers} routers`, () => {
      const restartsAtMs = Array.from({ length: 12 }, (_, index) => 5_000 + index * 400)
      const changes = nameLimit(2, 1.7)
      const leader = { newLeaderAtMs: 7_000, electionMs: 1_500, restartsAtMs }
      const shown = runLimitSimulation({ ...BUSY, ...SEED, ...leader, routers, changes })
      expect(shown.maxWindowRatio).to.be.at.most(1)
      expect(shown.rejected / shown.sent).to.be.at.most(1 - SERVED_RATIO)
    })
  }

  it('keeps the limits of a fleet of 70 routers and 82 servers', () => {
    const changes = nameLimit(20, 1.7)
    const size = { routers: 70, servers: 82, requestsPerSecond: 1_300, durationMs: 8_000 }
    const shown = runLimitSimulation({ ...size, ...SEED, changes })
    expect(shown.maxWindowRatio).to.be.at.most(1)
    expect(shown.rejected / shown.sent).to.be.at.most(1 - SERVED_RATIO)
  })

  it('keeps the limits of 410 routers', () => {
    const changes = nameLimit(10, 1.7)
    const size = { routers: 410, servers: 40, requestsPerSecond: 1_500, durationMs: 8_000 }
    const shown = runLimitSimulation({ ...size, ...SEED, changes })
    expect(shown.maxWindowRatio).to.be.at.most(1)
  })

  it('uses a limit where all traffic is at 3 of 70 routers', () => {
    const changes = nameLimit(3, 1.7)
    const size = { routers: 70, busyRouters: 3, servers: 12, requestsPerSecond: 300 }
    const load = { durationMs: 14_000, processingMs: 600 }
    const shown = runLimitSimulation({ ...size, ...load, ...SEED, changes })
    expect(shown.maxWindowRatio).to.be.at.most(1)
    expect(shown.minUsedRatio).to.be.at.least(USED_RATIO)
  })
})
