import { expect } from 'chai'
import { runBackoffSimulation } from './backoffSimulation.js'

/** Requests that a server may get from one router during a backoff; a requirement of the users. */
const MAX_SENDS_IN_BACKOFF = 2
/** Ratio of the requests that must be answered while half of the servers shed load. */
const MIN_ANSWERED_RATIO = 0.98

describe('a fleet in which some servers request backoff', () => {
  const SMALL = { servers: 6, requestsPerSecond: 65, phaseMs: 4_000, durationMs: 16_000 }
  const LARGE = [
    { routers: 70, servers: 82, requestsPerSecond: 1_300, phaseMs: 2_000, durationMs: 6_000 },
    { routers: 410, servers: 600, requestsPerSecond: 1_500, phaseMs: 700, durationMs: 1_400 },
  ]
  const HALF = { sheddingRatio: 0.5, retryAfterMs: 3_000, seed: 43 }

  for (const routers of [6, 24]) {
    it(`respects the backoffs, and answers its callers: ${routers} routers`, () => {
      const shown = runBackoffSimulation({ ...SMALL, ...HALF, routers })
      expect(shown.backoffs).to.be.above(0)
      expect(shown.mostInBackoff).to.be.at.most(MAX_SENDS_IN_BACKOFF)
      expect(shown.answered / shown.sent).to.be.at.least(MIN_ANSWERED_RATIO)
    })
  }

  for (const size of LARGE) {
    it(`respects the backoffs: ${size.routers} routers, ${size.servers} servers`, () => {
      const { backoffs, mostInBackoff } = runBackoffSimulation({ ...size, ...HALF })
      expect(backoffs).to.be.above(0)
      expect(mostInBackoff).to.be.at.most(MAX_SENDS_IN_BACKOFF)
    })
  }

  it('sends a server at most 1.5 times its even share after a backoff', () => {
    const { largestShare } = runBackoffSimulation({
      routers: 6,
      servers: 6,
      requestsPerSecond: 650,
      phaseMs: 4_000,
      durationMs: 16_000,
      sheddingRatio: 0.34,
      retryAfterMs: 3_000,
      seed: 43,
    })
    expect(largestShare).to.be.at.most(1.5)
  })

  it('respects the backoffs while all servers shed load', () => {
    const { mostInBackoff } = runBackoffSimulation({
      routers: 6,
      servers: 6,
      requestsPerSecond: 65,
      phaseMs: 2_000,
      durationMs: 8_000,
      sheddingRatio: 1,
      retryAfterMs: 1_700,
      seed: 43,
    })
    expect(mostInBackoff).to.be.at.most(MAX_SENDS_IN_BACKOFF)
  })
})
