import {
  createLogger,
  createManualTimerService,
  createRandomSource,
  type HttpClient,
} from '@spoolgate/core'
import type { RoutingTable } from '@spoolgate/routing'
import { expect } from 'chai'
import { TABLE_PATH, type FeedReply, type FeedRequest } from '../registry/feed.js'
import { createCrashReportBuffer } from '../quarantine/crashReportBuffer.js'
import { createFeedClient } from '../registry/feedClient.js'
import { buildTableUpdate } from '../table/tableUpdate.js'
import { NO_LIMITS, NO_PARTS, NO_QUOTAS } from './routerRecordStubs.js'

const STEP_MS = 5
const POLL_MS = 100
const table = (version: number) => ({ version, document: JSON.stringify({ version }) })

/** A router that polls a leader, which sends the first table and then reports only the newest version. */
function startFollower() {
  const timers = createManualTimerService()
  const leader = { newest: 1, isFetchable: false }
  const answerPoll = ({ tableVersion }: FeedRequest): Partial<FeedReply> => ({
    term: 1,
    revision: 1,
    tableVersion: leader.newest,
    tableUpdate: tableVersion < 1 ? buildTableUpdate(undefined, table(1)) : undefined,
    routers: 1,
    loads: {},
    placements: [],
    kept: [],
    keptPosition: { after: '', left: 0 },
  })
  const wait = (ms: number) =>
    new Promise<void>((resolve) => timers.after(ms).subscribe(() => resolve()))
  const sendJson = (async ({ url, json }: { url: string; json: FeedRequest }) => {
    if (url.endsWith(TABLE_PATH)) {
      if (!leader.isFetchable) throw new Error('the table is not available yet')
      return buildTableUpdate(undefined, table(leader.newest))
    }
    await wait(POLL_MS)
    return answerPoll(json)
  }) as HttpClient['sendJson']
  const follower = createFeedClient({
    router: 'r',
    seeds: () => ['http://a'],
    client: { sendJson } as HttpClient,
    timers,
    random: createRandomSource(1),
    logger: createLogger({ write: () => {} }),
    decodeTable: (document) =>
      ({ ...JSON.parse(document), routes: [], groups: [] }) as RoutingTable,
    listLoads: () => ({}),
    takePlacements: () => [],
    onPlacements: () => {},
    blame: createCrashReportBuffer(timers),
    onSuspects: () => {},
    onTrial: () => {},
    parts: NO_PARTS,
    limits: NO_LIMITS,
    quotas: NO_QUOTAS,
    onCacheChanges: () => {},
  })
  const run = async (duration: number) => {
    for (let spent = 0; spent < duration; spent += STEP_MS) {
      timers.advance(STEP_MS)
      for (let turn = 0; turn < 4; turn += 1) await new Promise((resolve) => setImmediate(resolve))
    }
  }
  const stop = async () => {
    const closed = follower.close()
    await run(1_000)
    await closed
  }
  return { timers, leader, follower, run, stop }
}

describe('the confirmation that a router holds the newest table', () => {
  it('is not renewed while the leader reports a newer version that is not fetched yet', async () => {
    const { leader, follower, run, stop } = startFollower()
    await run(1_000)
    expect(follower.proofAgeMs()).to.be.at.most(3 * POLL_MS)
    leader.newest = 2
    await run(2_000)
    expect(follower.current()?.index.table.version).to.equal(1)
    expect(follower.proofAgeMs()).to.be.at.least(2_000 - POLL_MS)
    leader.isFetchable = true
    await run(1_000)
    expect(follower.current()?.index.table.version).to.equal(2)
    expect(follower.proofAgeMs()).to.be.at.most(3 * POLL_MS)
    await stop()
  })

  it('ages while the machine of the router is suspended', async () => {
    const { timers, follower, run, stop } = startFollower()
    await run(1_000)
    timers.suspend(20_000)
    expect(follower.proofAgeMs()).to.be.at.least(20_000)
    await run(1_000)
    expect(follower.proofAgeMs()).to.be.at.most(3 * POLL_MS)
    await stop()
  })
})
