import {
  createManualTimerService,
  createQuietLogger,
  createRandomSource,
  type HttpClient,
} from '@spoolgate/core'
import { expect } from 'chai'
import { createCrashReportBuffer } from '../quarantine/crashReportBuffer.js'
import { createFeedClient, type FeedClient } from '../registry/feedClient.js'
import { NO_LIMITS, NO_PARTS, NO_QUOTAS } from './routerRecordStubs.js'

describe('the first poll of a router', () => {
  it('is sent, although its report refers to the client that is being created', async () => {
    const timers = createManualTimerService()
    const polled: string[] = []
    const sendJson = ({ url }: { url: string }) => {
      polled.push(url)
      return new Promise<never>(() => {})
    }
    const client: FeedClient = createFeedClient({
      router: 'r',
      seeds: () => ['http://a'],
      client: { sendJson } as unknown as HttpClient,
      timers,
      random: createRandomSource(1),
      logger: createQuietLogger(),
      decodeTable: () => {
        throw new Error('there is no table')
      },
      listLoads: () => (client.current() ? {} : {}),
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
    // No time passes, so that only the first poll can have been sent.
    for (let turn = 0; turn < 4; turn += 1) await new Promise((resolve) => setImmediate(resolve))
    expect(polled).to.have.length(1)
    const closed = client.close()
    for (let step = 0; step < 20; step += 1) {
      timers.advance(1_000)
      await new Promise((resolve) => setImmediate(resolve))
    }
    await closed
  })
})
