import {
  createHttpClient,
  createHttpServer,
  createManualTimerService,
  createMetrics,
  createQuietLogger,
  createTimerService,
  toSoftwareVersion,
  waitFor,
} from '@spoolgate/core'
import { expect } from 'chai'
import { createRecordRoutes } from '../streams/recordExchange.js'
import { createRecordLookup, type LookupResult } from '../streams/recordLookup.js'
import { encodeRecord, LOOKUP_PATH } from '../streams/recordMessages.js'
import { createStreamRecords, hashStreamKey } from '../streams/streamRecords.js'

const OWN = 'http://10.0.0.1:7341'
const DURABLE = 'http://10.0.0.2:7341'
const MAX_WAIT_MS = 2_000
const RECORD = {
  key: hashStreamKey(undefined, 'a'),
  group: 'g',
  version: toSoftwareVersion('v1'),
  ttlMs: 10_000,
}

/** A router that looks for a record, and one with a disk that has it once it runs. */
function createPeers(options: { hasRecord: boolean }) {
  const timers = createManualTimerService()
  const state = { isListed: true, isComplete: true, isRunning: true, asked: 0, answerMs: 0 }
  const list = () => (state.isListed ? [OWN, DURABLE] : [])
  const sendJson = async <T>({ timeoutMs = Infinity }: { timeoutMs?: number }): Promise<T> => {
    state.asked += 1
    if (!state.isRunning) throw new Error('connection refused')
    if (state.answerMs > 0) await waitFor(timers, Math.min(timeoutMs, state.answerMs))
    if (state.answerMs > timeoutMs) throw new Error(`no answer within ${timeoutMs} ms`)
    return { records: options.hasRecord ? [encodeRecord(RECORD)] : [] } as T
  }
  const find = createRecordLookup({
    ownUrl: OWN,
    listPeers: list,
    listDurable: list,
    isListComplete: () => state.isComplete,
    client: { sendJson },
    timers,
    logger: createQuietLogger(),
  })
  /** Looks for the record while time passes, and calls `work` after half a second. */
  const run = async (work: () => void = () => {}) => {
    let result: LookupResult | undefined
    const startedAt = timers.now()
    void find(RECORD.key, MAX_WAIT_MS).then((found) => (result = found))
    for (let step = 0; !result; step += 1) {
      await new Promise((resolve) => setImmediate(resolve))
      if (step === 50) work()
      if (!result) timers.advance(10)
    }
    return { version: result.record?.version, ms: timers.now() - startedAt }
  }
  return { state, run }
}

describe('looking for the record of a stream', () => {
  it('finds it at a router that was lost as well and starts a moment later', async () => {
    const { state, run } = createPeers({ hasRecord: true })
    state.isRunning = false
    expect((await run(() => (state.isRunning = true))).version).to.equal(RECORD.version)
  })

  it('finds it at a router that answers late, as one of a busy machine does', async () => {
    const { state, run } = createPeers({ hasRecord: true })
    state.answerMs = 900
    expect((await run()).version).to.equal(RECORD.version)
  })

  it('finds it at a router that a new leader does not list yet', async () => {
    const { state, run } = createPeers({ hasRecord: true })
    Object.assign(state, { isListed: false, isComplete: false })
    expect((await run(() => (state.isListed = true))).version).to.equal(RECORD.version)
  })

  it('ends after two rounds once all routers are known and answered', async () => {
    const { state, run } = createPeers({ hasRecord: false })
    const { version, ms } = await run()
    expect([version, state.asked]).to.deep.equal([undefined, 2])
    expect(ms).to.be.below(MAX_WAIT_MS / 10)
  })

  it('ends at its limit where a router never answers', async () => {
    const { state, run } = createPeers({ hasRecord: true })
    state.isRunning = false
    const { version, ms } = await run()
    expect(version).to.equal(undefined)
    expect(ms).to.be.within(MAX_WAIT_MS / 2, MAX_WAIT_MS)
  })

  it('is not told that there is none while a disk is still being read', async () => {
    const timers = createTimerService()
    const records = createStreamRecords(timers)
    let finishLoading = () => {}
    const loaded = new Promise<void>((resolve) => (finishLoading = resolve))
    const server = await createHttpServer({
      host: '127.0.0.1',
      port: 0,
      routes: createRecordRoutes(records, { add: () => {}, loaded }),
      logger: createQuietLogger(),
      metrics: createMetrics('router'),
      timers,
    })
    const client = createHttpClient()
    const url = `${server.url}${LOOKUP_PATH}`
    const sent = client.sendJson({ method: 'POST', url, json: { keys: [RECORD.key] } })
    // A second request on its own connection is answered after the first one was taken up.
    await client.sendJson({ method: 'POST', url, json: { keys: 1 } }).catch(() => {})
    records.add(RECORD)
    finishLoading()
    const answer = (await sent) as { records: (readonly [string])[] }
    expect(answer.records.map(([key]) => key)).to.deep.equal([RECORD.key])
    client.close()
    records.close()
    await server.close(0)
  })
})
