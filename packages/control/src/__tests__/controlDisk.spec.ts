import { createQuietLogger, createTimerService } from '@spoolgate/core'
import { expect } from 'chai'
import { openControlDisk } from '../log/controlDisk.js'
import { encodeRecord } from '../log/records.js'
import { createMemoryFolder } from './memoryFolder.js'

describe('the disk of a control instance', () => {
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
