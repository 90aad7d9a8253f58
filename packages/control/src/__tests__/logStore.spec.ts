import { createQuietLogger, createRandomSource } from '@spoolgate/core'
import { expect } from 'chai'
import { encodeRecord, parseRecords } from '../log/records.js'
import { openLogStore, type LogStore } from '../log/logStore.js'
import { createMemoryFolder, type MemoryFolder } from './memoryFolder.js'

const SEEDS = 1_000
const ENTRIES = 12

describe('records of the log file', () => {
  const records = [{ a: 1 }, { b: 'two' }, { c: [3] }].map(encodeRecord)
  const file = Buffer.concat(records)

  it('decodes encoded records', () => {
    const scanned = parseRecords(file, 'log')
    expect(scanned).to.deep.equal({
      payloads: [{ a: 1 }, { b: 'two' }, { c: [3] }],
      length: file.length,
      tornBytes: 0,
    })
  })

  it('truncates a torn last record of any length', () => {
    const whole = records[0].length + records[1].length
    for (let length = whole; length < file.length; length += 1) {
      const scanned = parseRecords(file.subarray(0, length), 'log')
      expect(scanned.payloads).to.have.length(2)
      expect(scanned.tornBytes).to.equal(length - whole)
    }
  })

  it('rejects a file that is damaged in the middle, with the remedy in the error', () => {
    for (let offset = 0; offset < records[0].length; offset += 1) {
      const damaged = Buffer.from(file)
      damaged[offset] ^= 0x40
      expect(() => parseRecords(damaged, 'log')).to.throw(/damaged.*rejoin the group/)
    }
  })
})

describe('log store after crashes', () => {
  const logger = createQuietLogger()
  const open = (folder: MemoryFolder) => openLogStore({ folder, logger, onFailure: () => {} })

  /** Writes entries, vote states and snapshots; returns what was acknowledged before the crash. */
  const writeUntilCrash = async (store: LogStore, from: number) => {
    const acknowledged = { index: from, term: store.voteState().term }
    for (let index = from + 1; index <= from + ENTRIES; index += 1) {
      const written = store.append([{ index, term: 1, command: `entry ${index}` }])
      void written.then(() => {
        acknowledged.index = Math.max(acknowledged.index, index)
      })
      if (index % 4 === 0) {
        const term = store.voteState().term + 1
        const ballot = { term, votedFor: 'a', mayVote: true }
        void store.saveVoteState(ballot).then(() => {
          acknowledged.term = Math.max(acknowledged.term, term)
        })
      }
      if (index % 5 === 0) {
        // After a crash the promise never settles, so the race ends the wait.
        const turn = new Promise((resolve) => setImmediate(resolve))
        await Promise.race([store.compact({ index: index - 2, term: 1, state: index }), turn])
      }
      await new Promise((resolve) => setImmediate(resolve))
    }
    return acknowledged
  }
  const checkContent = (store: LogStore, from: number, to: number) => {
    for (const entry of store.listEntries(from + 1, to - from)) {
      expect(entry.command).to.equal(`entry ${entry.index}`)
    }
  }

  it('does not acknowledge a snapshot that could not be stored', async () => {
    const folder = createMemoryFolder()
    let reportFailure = () => {}
    const failed = new Promise<void>((resolve) => (reportFailure = resolve))
    const store = await openLogStore({ folder, logger, onFailure: reportFailure })
    folder.crashAt(folder.operations() + 1)
    let stored = 0
    const compact = () => void store.compact({ index: 5, term: 1, state: 5 }).then(() => stored++)
    compact()
    await failed
    compact()
    await new Promise((resolve) => setImmediate(resolve))
    expect(stored).to.equal(0)
  })

  it('holds only what survives a crash when it is opened again after a failed sync', async () => {
    const folder = createMemoryFolder()
    let reportFailure = () => {}
    const failed = new Promise<void>((resolve) => (reportFailure = resolve))
    const store = await openLogStore({ folder, logger, onFailure: reportFailure })
    const entries = [1, 2].map((index) => ({ index, term: 1, command: `entry ${index}` }))
    await store.append([entries[0]])
    folder.failSyncs(true)
    void store.append([entries[1]])
    await failed
    await store.close()
    folder.failSyncs(false)
    const options = { folder, logger, onFailure: () => {}, isAfterFailure: true }
    const again = await openLogStore(options)
    const durable = again.durableIndex()
    await again.close()
    const restarted = await open(folder.restart(createRandomSource(1)))
    expect(restarted.lastIndex()).to.equal(durable)
    expect(restarted.listEntries(1, durable)).to.deep.equal(entries.slice(0, durable))
  })

  it(`keeps acknowledged writes over ${SEEDS} crashes at random operations`, async () => {
    let crashes = 0
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const random = createRandomSource(seed)
      const folder = createMemoryFolder()
      const store = await open(folder)
      folder.crashAt(folder.operations() + 1 + random.nextInt(60))
      const acknowledged = await writeUntilCrash(store, 0)
      folder.crashAt(folder.operations() + 1)
      await folder.list().catch(() => (crashes += 1))
      const again = await open(folder.restart(random))
      expect(again.lastIndex(), `seed ${seed}`).to.be.at.least(acknowledged.index)
      expect(again.voteState().term, `seed ${seed}`).to.be.at.least(acknowledged.term)
      expect(again.durableIndex()).to.equal(again.lastIndex())
      checkContent(again, again.baseIndex(), again.lastIndex())
      // The reopened store accepts writes.
      await again.append([
        { index: again.lastIndex() + 1, term: 9, command: `entry ${again.lastIndex() + 1}` },
      ])
      await again.close()
    }
    expect(crashes).to.equal(SEEDS)
  })
})
