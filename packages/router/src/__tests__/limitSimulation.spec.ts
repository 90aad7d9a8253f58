import { expect } from 'chai'
import { runLimitSimulation, type LimitChange } from './limitSimulation.js'

/** Minimum fraction of its announced rate that a limited server receives when the other servers are busy. */
const USED_RATIO = 0.6
/** Minimum fraction of requests served when other servers have capacity. */
const SERVED_RATIO = 0.98
/** Minimum fraction of its equal share that a server receives 4 s after its limit is withdrawn. */
const RECOVERED_RATIO = 0.5

describe('a fleet in which some servers announce rate limits', () => {
  const BUSY = { servers: 6, requestsPerSecond: 400, processingMs: 600, durationMs: 12_000 }
  const QUIET = { servers: 6, requestsPerSecond: 65, durationMs: 16_000 }
  const SEED = { seed: 43 }
  const announceLimit = (servers: number, perSecond: number): LimitChange[] => [
    { atMs: 2_000, servers, perSecond },
  ]
  const withdrawLimit = (servers: number, perSecond: number): LimitChange[] => [
    ...announceLimit(servers, perSecond),
    { atMs: 8_000, servers, perSecond: undefined },
  ]

  for (const routers of [6, 24]) {
    for (const perSecond of [0.2, 1.7, 4]) {
      it(`keeps a limit of ${perSecond} and uses it: ${routers} routers`, () => {
        const changes = announceLimit(2, perSecond)
        const result = runLimitSimulation({ ...BUSY, ...SEED, routers, changes })
        expect(result.maxWindowRatio).to.be.at.most(1)
        expect(result.minUsedRatio).to.be.at.least(USED_RATIO)
        expect(result.rejected / result.sent).to.be.at.most(1 - SERVED_RATIO)
      })
    }

    it(`keeps the limits of all servers: ${routers} routers`, () => {
      const changes = announceLimit(6, 3)
      const result = runLimitSimulation({ ...QUIET, ...SEED, routers, changes })
      expect(result.maxWindowRatio).to.be.at.most(1)
      expect(result.minUsedRatio).to.be.at.least(USED_RATIO)
    })

    it(`returns to a server whose limit is withdrawn: ${routers} routers`, () => {
      for (const perSecond of [0, 0.2, 2]) {
        const changes = withdrawLimit(2, perSecond)
        const result = runLimitSimulation({ ...QUIET, ...SEED, routers, changes })
        expect(result.maxWindowRatio).to.be.at.most(1)
        expect(result.minRecoveredRatio).to.be.at.least(RECOVERED_RATIO)
      }
    })

    it(`keeps a limit that is lowered: ${routers} routers`, () => {
      const changes = [...announceLimit(2, 10), { atMs: 7_000, servers: 2, perSecond: 2 }]
      const result = runLimitSimulation({ ...BUSY, ...SEED, routers, changes })
      expect(result.maxWindowRatio).to.be.at.most(1)
      expect(result.minUsedRatio).to.be.at.least(USED_RATIO)
    })

    it(`keeps a limit without a leader, under the next one, and during restarts: ${routers} routers`, () => {
      const restartsAtMs = Array.from({ length: 12 }, (_, index) => 5_000 + index * 400)
      const changes = announceLimit(2, 1.7)
      const leader = { newLeaderAtMs: 7_000, electionMs: 1_500, restartsAtMs }
      const result = runLimitSimulation({ ...BUSY, ...SEED, ...leader, routers, changes })
      expect(result.maxWindowRatio).to.be.at.most(1)
      expect(result.rejected / result.sent).to.be.at.most(1 - SERVED_RATIO)
    })
  }

  it('keeps the limits of a fleet of 70 routers and 82 servers', () => {
    const changes = announceLimit(20, 1.7)
    const size = { routers: 70, servers: 82, requestsPerSecond: 1_300, durationMs: 8_000 }
    const result = runLimitSimulation({ ...size, ...SEED, changes })
    expect(result.maxWindowRatio).to.be.at.most(1)
    expect(result.rejected / result.sent).to.be.at.most(1 - SERVED_RATIO)
  })

  it('keeps the limits of 410 routers', () => {
    const changes = announceLimit(10, 1.7)
    const size = { routers: 410, servers: 40, requestsPerSecond: 1_500, durationMs: 8_000 }
    const result = runLimitSimulation({ ...size, ...SEED, changes })
    expect(result.maxWindowRatio).to.be.at.most(1)
  })

  it('uses a limit when only 3 of 70 routers receive traffic', () => {
    const changes = announceLimit(3, 1.7)
    const size = { routers: 70, busyRouters: 3, servers: 12, requestsPerSecond: 300 }
    const load = { durationMs: 14_000, processingMs: 600 }
    const result = runLimitSimulation({ ...size, ...load, ...SEED, changes })
    expect(result.maxWindowRatio).to.be.at.most(1)
    expect(result.minUsedRatio).to.be.at.least(USED_RATIO)
  })
})
