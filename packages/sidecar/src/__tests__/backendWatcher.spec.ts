import {
  createManualTimerService,
  createQuietLogger,
  toIncarnation,
  type HttpClient,
} from '@spoolgate/core'
import { expect } from 'chai'
import { lastValueFrom, Subject } from 'rxjs'
import { createBackendWatcher, type BackendWatcher } from '../backend/backendWatcher.js'
import { createCacheIndex } from '../backend/cacheIndex.js'

describe('a change of the backend server', () => {
  let weightsVersion: string
  let watcher: BackendWatcher

  beforeEach(async () => {
    weightsVersion = 'w1'
    const identity = () => ({ incarnation: toIncarnation('engine-1'), weightsVersion, ready: true })
    watcher = await createBackendWatcher({
      url: 'http://engine',
      isEngine: false,
      index: createCacheIndex(),
      client: { sendJson: () => Promise.resolve(identity()) } as unknown as HttpClient,
      timers: createManualTimerService(),
      logger: createQuietLogger(),
    })
  })
  afterEach(() => watcher.close())

  const startChange = () => {
    const outcome = new Subject<void>()
    const ended = watcher.runChange(() => lastValueFrom(outcome)).catch(() => {})
    const resolve = () => {
      outcome.next()
      outcome.complete()
    }
    return { resolve, reject: (cause: Error) => outcome.error(cause), ended }
  }

  it('takes it out of service until its state was read again', async () => {
    expect(watcher.state().isReady).to.equal(true)
    const change = startChange()
    await watcher.refresh()
    expect(watcher.state().isReady).to.equal(false)
    weightsVersion = 'w2'
    change.resolve()
    await change.ended
    expect(watcher.state()).to.include({ isReady: true, weightsVersion: 'w2' })
  })

  it('that failed does not keep it out of service', async () => {
    const change = startChange()
    change.reject(new Error('connection lost'))
    await change.ended
    expect(watcher.state().isReady).to.equal(true)
  })

  it('without a response does not keep it out of service once a later one has ended', async () => {
    const lost = startChange()
    const change = startChange()
    change.resolve()
    await change.ended
    expect(watcher.state().isReady).to.equal(true)
    lost.resolve()
    await lost.ended
  })

  it('keeps it out of service when an earlier one ends', async () => {
    const earlier = startChange()
    const change = startChange()
    earlier.resolve()
    await earlier.ended
    expect(watcher.state().isReady).to.equal(false)
    change.resolve()
    await change.ended
  })
})
