import { createQuietLogger, createTimerService } from '@spoolgate/core'
import { expect } from 'chai'
import { openControlDisk } from '../log/controlDisk.js'
import { encodeRecord } from '../log/records.js'
import type { DataFolder } from '../log/dataFolder.js'
import { createMemoryFolder, type MemoryFolder } from './memoryFolder.js'

/** Lets a folder refuse files that its disk has no room for, after what fits was written. */
function checkRoom(folder: MemoryFolder, limitBytes: number): DataFolder {
  const measureUsed = async (except: string) => {
    const names = (await folder.list()).filter((name) => name !== except)
    const files = await Promise.all(names.map((name) => folder.read(name)))
    return files.reduce((sum, file) => sum + (file?.length ?? 0), 0)
  }
  return {
    ...folder,
    write: async (name, data) => {
      const room = limitBytes - (await measureUsed(name))
      await folder.write(name, data.subarray(0, room))
      if (room < data.length) throw Object.assign(new Error('no space'), { code: 'ENOSPC' })
    },
  }
}

describe('the disk of a control instance', () => {
  it('is not kept full by a snapshot that did not fit', async () => {
    const folder = checkRoom(createMemoryFolder(), 16_384)
    const timers = createTimerService()
    const options = {
      dataFolder: folder,
      url: 'http://127.0.0.1:1',
      seeds: [],
      isFirstStart: false,
      logger: createQuietLogger(),
      timers,
    }
    let reportFailure = () => {}
    const failed = new Promise<void>((resolve) => (reportFailure = resolve))
    const { store } = await openControlDisk({ ...options, onFailure: reportFailure })
    await store.append([{ index: 1, term: 1, command: 'kept' }])
    void store.compact({ index: 1, term: 1, state: 'x'.repeat(20_000) })
    await failed
    await store.close()
    const waiting = new AbortController()
    const logger = { ...options.logger, warn: () => waiting.abort() }
    const { signal } = waiting
    const again = await openControlDisk({ ...options, logger, signal, onFailure: () => {} })
    expect(again.store.listEntries(1, 1)[0].command).to.equal('kept')
    await again.store.close()
  })

  it('is not taken back after a failure while the next changes would fail again', async () => {
    const waiting = new AbortController()
    const logger = { ...createQuietLogger(), warn: () => waiting.abort() }
    const open = (isAfterFailure: boolean) =>
      openControlDisk({
        dataFolder: checkRoom(createMemoryFolder(), 64 * 1024),
        url: 'http://127.0.0.1:1',
        seeds: [],
        isFirstStart: false,
        isAfterFailure,
        logger,
        timers: createTimerService(),
        signal: waiting.signal,
        onFailure: () => {},
      })
    await (await open(false)).store.close()
    const cause: unknown = await open(true).catch((thrown: unknown) => thrown)
    expect(cause).to.equal(waiting.signal.reason)
  })

  it('keeps one copy of what was damaged, however often it is', async () => {
    const folder = createMemoryFolder()
    const damaged = Buffer.concat([encodeRecord([]), encodeRecord([])])
    damaged[12] ^= 1
    for (const index of [64, 128, 192]) {
      await folder.write(`snapshot-${index}`, encodeRecord({}))
      await folder.write('log', damaged)
      const { store } = await openControlDisk({
        dataFolder: folder,
        url: 'http://127.0.0.1:1',
        seeds: [],
        isFirstStart: false,
        logger: createQuietLogger(),
        timers: createTimerService(),
        onFailure: () => {},
      })
      await store.close()
    }
    const aside = (await folder.list()).filter((name) => name.startsWith('damaged-'))
    expect(aside).to.have.members(['damaged-log', 'damaged-identity', 'damaged-snapshot-192'])
  })
})
