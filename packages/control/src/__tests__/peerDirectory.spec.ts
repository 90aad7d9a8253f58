import { createManualTimerService } from '@spoolgate/core'
import { expect } from 'chai'
import { createPeerDirectory } from '../registry/peerDirectory.js'

const ROUTER_LIFE_MS = 3_000
const STEP_MS = 10

/** Routers that poll a new leader one after the other; counts the lists that each of them gets. */
function runPolls(routers: number, durationMs: number) {
  const timers = createManualTimerService()
  const directory = createPeerDirectory({ timers, routerLifeMs: ROUTER_LIFE_MS })
  const revisions = new Set<number>()
  for (let step = 0; step * STEP_MS < durationMs; step += 1) {
    directory.record(`http://10.0.0.${step % routers}:7341`, step % routers < 2)
    revisions.add(directory.revision())
    timers.advance(STEP_MS)
  }
  return { ...directory.buildUpdate(), revisions: revisions.size }
}

describe('the list of routers at a new leader', () => {
  it('holds those of a small fleet soon after their polls, so that they find each other', () => {
    const { urls, durableUrls } = runPolls(6, 150)
    expect(urls).to.have.length(6)
    expect(durableUrls).to.have.length(2)
  })

  it('changes once a second in a large fleet', () => {
    const { revisions } = runPolls(410, 20_000)
    expect(revisions).to.be.at.most(30)
  })
})
