import type { FeedClient, FleetView } from '@spoolgate/control'
import {
  createManualTimerService,
  createMetrics,
  createQuietLogger,
  toSoftwareVersion,
} from '@spoolgate/core'
import { expect } from 'chai'
import { NEVER } from 'rxjs'
import type { CallPlan } from '../direct/callTypes.js'
import { openStreamSetup } from '../streams/streamSetup.js'

const STEP_MS = 10
const SETTLED_MS = 10_000
const VERSIONS = { g: [toSoftwareVersion('v1'), toSoftwareVersion('v2')] }

describe('a router that has just started and knows no other one', () => {
  it('does not refuse a stream at once, since all routers may have been lost with it', async () => {
    const timers = createManualTimerService()
    const common = { timers, logger: createQuietLogger(), metrics: createMetrics('router') }
    const peers = { host: '127.0.0.1', port: 0 }
    const setup = await openStreamSetup({ peers, folder: undefined, ...common })
    const streams = setup.start({
      current: () => ({ softwareVersions: VERSIONS }) as unknown as FleetView,
      viewAgeMs: () => 0,
      listPeers: () => [],
      listDurablePeers: () => [],
      isPeerListComplete: () => true,
      changes: NEVER,
    } as unknown as FeedClient)
    /** Measures how long an unknown stream is looked for before it is refused, in ms. */
    const measureRefusal = async () => {
      const startedAt = timers.now()
      let isRefused = false
      const plan = {
        call: { id: 'y', resumes: 'x', lastEventId: '3' },
        route: { repeatability: 'resumable', targets: [] },
        group: { name: 'g' },
        arrivedAt: startedAt,
        deadline: startedAt + 60_000,
      } as unknown as CallPlan
      streams.resolvePin(plan, () => {}).catch(() => (isRefused = true))
      while (!isRefused) {
        await new Promise((resolve) => setImmediate(resolve))
        if (!isRefused) timers.advance(STEP_MS)
      }
      return timers.now() - startedAt
    }
    expect(await measureRefusal()).to.be.at.least(1_000)
    timers.advance(SETTLED_MS)
    expect(await measureRefusal()).to.be.at.most(2 * STEP_MS)
    const closed = setup.close()
    for (let turn = 0; turn < 100; turn += 1) {
      timers.advance(STEP_MS)
      await new Promise((resolve) => setImmediate(resolve))
    }
    await closed
  })
})
