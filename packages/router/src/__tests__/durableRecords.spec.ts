import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { openDataFolder, type DataFolder } from '@spoolgate/control'
import {
  createManualTimerService,
  createMetrics,
  createQuietLogger,
  createTimerService,
  toSoftwareVersion,
  type HttpClient,
} from '@spoolgate/core'
import { expect } from 'chai'
import { createDurableCopies, DURABLE_COPIES, MAX_PENDING } from '../streams/durableCopies.js'
import { openRecordJournal } from '../streams/recordJournal.js'
import { MAX_RECORDS_PER_MESSAGE, TAKEN_STATUS } from '../streams/recordMessages.js'
import { createStreamRecords, hashStreamKey } from '../streams/streamRecords.js'

const VERSION = toSoftwareVersion('v1')
const ROUTERS = 410
const DURABLE_ROUTERS = 6
/** Streams that a router of a large fleet begins, per second. */
const STREAMS_PER_SECOND = 13

const buildRecord = (id: string, ttlMs = 10_000) => ({
  key: hashStreamKey(undefined, id),
  group: 'g',
  version: VERSION,
  ttlMs,
})

/** Time to live of records that are over once the clock has moved by it, in ms. */
const SHORT_MS = 1_000

describe('records of streams on a disk', () => {
  const timers = createTimerService()
  let path: string

  beforeEach(() => {
    path = mkdtempSync(join(tmpdir(), 'spoolgate-journal-'))
  })
  afterEach(() => rmSync(path, { recursive: true, force: true }))

  const open = (folder: string | DataFolder = path, clock = timers) => {
    const records = createStreamRecords(clock)
    const common = { timers: clock, logger: createQuietLogger(), metrics: createMetrics('router') }
    const journal = openRecordJournal({ folder, records, ...common })
    const add = (id: string, ttlMs?: number) => {
      records.add(buildRecord(id, ttlMs))
      journal.add(buildRecord(id, ttlMs))
    }
    const find = (id: string) => records.find(hashStreamKey(undefined, id))?.version
    const close = async () => {
      await journal.close()
      records.close()
    }
    return { add, find, close, loaded: journal.loaded }
  }

  it('are found by the next process until their time is over', async () => {
    for (const id of ['first', 'second']) {
      const journal = open()
      await journal.loaded
      journal.add(id)
      journal.add(`short ${id}`, SHORT_MS)
      await journal.close()
    }
    const journal = open(path, { ...timers, wallNow: () => timers.wallNow() + SHORT_MS })
    await journal.loaded
    const found = ['first', 'second', 'short first', 'short second'].map(journal.find)
    expect(found).to.deep.equal([VERSION, VERSION, undefined, undefined])
    await journal.close()
  })

  // A killed process takes along what it had not written yet.
  it('are written within milliseconds, unless the disk is slow', async () => {
    const opened = await openDataFolder(path)
    const manual = createManualTimerService()
    const state = { writeMs: 1, written: 0 }
    const settle = () => Promise.resolve()
    const openAppend: DataFolder['openAppend'] = () =>
      Promise.resolve({
        append: () => Promise.resolve(void (state.written += 1)),
        sync: () => Promise.resolve(manual.advance(state.writeMs)),
        close: () => Promise.resolve(),
      } as unknown as Awaited<ReturnType<DataFolder['openAppend']>>)
    const journal = openRecordJournal({
      // The real disk takes a number of turns that the clock of the test does not know.
      folder: { ...opened, write: settle, rename: settle, sync: settle, openAppend },
      records: createStreamRecords(manual),
      timers: manual,
      logger: createQuietLogger(),
      metrics: createMetrics('router'),
    })
    await journal.loaded
    /** Adds a record; returns the time after which it is written, in ms. */
    const measureWrite = async (id: string) => {
      const { written } = state
      journal.add(buildRecord(id))
      let waitedMs = 0
      for (let turn = 0; state.written === written && turn < 2_000; turn += 1) {
        await new Promise((resolve) => setImmediate(resolve))
        if (turn % 10 !== 9) continue
        manual.advance(1)
        waitedMs += 1
      }
      return waitedMs
    }
    await measureWrite('first')
    expect(await measureWrite('soon')).to.be.at.most(20)
    state.writeMs = 200
    await measureWrite('slow')
    expect(await measureWrite('later')).to.be.at.least(90)
    await journal.close()
  })

  it('do not end or delay anything when the disk refuses writes', async () => {
    const folder = await openDataFolder(path)
    const refuse = () => Promise.reject(new Error('no space left'))
    const journal = open({ ...folder, write: refuse, openAppend: refuse })
    journal.add('first')
    await journal.close()
    expect(journal.find('first')).to.equal(VERSION)
  })
})

describe('copies of stream records at routers with a disk', () => {
  it('are sent within milliseconds in a small fleet', async () => {
    const timers = createManualTimerService()
    const urls = Array.from({ length: 6 }, (_, index) => `http://10.0.0.${index}:7341`)
    const sent: string[] = []
    const send = ({ url }: { url: string }): Promise<unknown> => {
      sent.push(url)
      return Promise.resolve({ statusCode: TAKEN_STATUS, resume: () => {} })
    }
    const copies = createDurableCopies({
      ownUrl: urls[5],
      listDurable: () => urls.slice(0, 2),
      listPeers: () => urls,
      client: { send } as Pick<HttpClient, 'send'>,
      timers,
      logger: createQuietLogger(),
      countMessage: () => {},
    })
    copies.add(buildRecord('a'))
    timers.advance(20)
    for (let turn = 0; turn < 20; turn += 1) await new Promise((resolve) => setImmediate(resolve))
    expect(sent).to.have.length(DURABLE_COPIES)
  })

  it('reach one that did not take them at first, as one of a busy machine does', async () => {
    const timers = createManualTimerService()
    const urls = Array.from({ length: 3 }, (_, index) => `http://10.0.0.${index}:7341`)
    const taken: string[] = []
    let failures = 3
    const send = ({ url }: { url: string }): Promise<unknown> => {
      const isLate = url.startsWith(urls[1]) && failures > 0
      if (isLate) failures -= 1
      else taken.push(new URL(url).origin)
      return isLate
        ? Promise.reject(new Error('no answer within 500 ms'))
        : Promise.resolve({ statusCode: TAKEN_STATUS, resume: () => {} })
    }
    const copies = createDurableCopies({
      ownUrl: urls[2],
      listDurable: () => urls.slice(0, 2),
      listPeers: () => urls,
      client: { send } as Pick<HttpClient, 'send'>,
      timers,
      logger: createQuietLogger(),
      countMessage: () => {},
    })
    copies.add(buildRecord('a'))
    for (let turn = 0; turn < 200; turn += 1) {
      timers.advance(10)
      await new Promise((resolve) => setImmediate(resolve))
    }
    expect(taken.sort()).to.deep.equal(urls.slice(0, DURABLE_COPIES))
    await copies.close()
  })

  it('are sent to those that a new leader lists only after the stream began', async () => {
    const timers = createManualTimerService()
    const urls = Array.from({ length: 6 }, (_, index) => `http://10.0.0.${index}:7341`)
    const state = { listed: [urls[5]], durable: [] as string[], isComplete: false }
    const reached = new Set<string>()
    const send = ({ url }: { url: string }): Promise<unknown> => {
      reached.add(new URL(url).origin)
      return Promise.resolve({ statusCode: TAKEN_STATUS, resume: () => {} })
    }
    const copies = createDurableCopies({
      ownUrl: urls[5],
      listDurable: () => state.durable,
      listPeers: () => state.listed,
      isListComplete: () => state.isComplete,
      client: { send } as Pick<HttpClient, 'send'>,
      timers,
      logger: createQuietLogger(),
      countMessage: () => {},
    })
    const run = async (ms: number) => {
      for (let spent = 0; spent < ms; spent += 10) {
        timers.advance(10)
        await new Promise((resolve) => setImmediate(resolve))
      }
    }
    copies.add(buildRecord('a'))
    await run(500)
    state.durable = urls.slice(0, 1)
    await run(500)
    state.durable = urls.slice(0, 2)
    await run(500)
    expect([...reached].sort()).to.deep.equal(urls.slice(0, DURABLE_COPIES))
    state.isComplete = true
    await run(500)
    await copies.close()
  })

  describe('while only one of them is listed', () => {
    const [ownUrl, holder, second] = ['http://10.0.0.1:1', 'http://10.0.0.2:1', 'http://10.0.0.3:1']
    const createOne = () => {
      const timers = createManualTimerService()
      const state = { durable: [holder], isComplete: false, isHeld: false }
      const waiting: (() => void)[] = []
      /** Keys of the records in all messages, by router. */
      const keys: Record<string, string[]> = { [holder]: [], [second]: [] }
      const send = async ({ url, body }: { url: string; body?: unknown }): Promise<unknown> => {
        const { records } = JSON.parse(String(body)) as { records: [key: string][] }
        keys[new URL(url).origin].push(...records.map(([key]) => key))
        if (state.isHeld) await new Promise<void>((resolve) => waiting.push(resolve))
        return { statusCode: TAKEN_STATUS, resume: () => {} }
      }
      const copies = createDurableCopies({
        ownUrl,
        listDurable: () => state.durable,
        listPeers: () => state.durable,
        isListComplete: () => state.isComplete,
        client: { send } as Pick<HttpClient, 'send'>,
        timers,
        logger: createQuietLogger(),
        countMessage: () => {},
      })
      const run = async (ms: number) => {
        for (let spent = 0; spent < ms; spent += 10) {
          timers.advance(10)
          await new Promise((resolve) => setImmediate(resolve))
        }
      }
      const add = (prefix: string, count: number) => {
        for (let number = 0; number < count; number += 1)
          copies.add(buildRecord(`${prefix}${number}`))
      }
      const release = () => {
        state.isHeld = false
        for (const resume of waiting.splice(0)) resume()
      }
      const finish = async () => {
        state.isComplete = true
        await run(10_000)
        await copies.close()
      }
      return { state, keys, run, add, release, finish }
    }

    it('are sent to it once, and newer ones do not wait behind them', async () => {
      const { state, keys, run, add, finish } = createOne()
      add('old', MAX_RECORDS_PER_MESSAGE)
      await run(1_000)
      add('new', 1)
      await run(1_000)
      expect(keys[holder]).to.have.length(MAX_RECORDS_PER_MESSAGE + 1)
      expect(new Set(keys[holder])).to.include(hashStreamKey(undefined, 'new0'))
      state.durable = [holder, second]
      await finish()
      expect(keys[second]).to.have.members(keys[holder])
      expect(keys[holder]).to.have.length(MAX_RECORDS_PER_MESSAGE + 1)
    })

    it('are bounded when a batch returns to a full list', async () => {
      const { state, keys, run, add, release, finish } = createOne()
      state.isHeld = true
      add('old', MAX_RECORDS_PER_MESSAGE)
      await run(100)
      add('new', MAX_PENDING)
      release()
      await run(50)
      state.durable = [second]
      await finish()
      expect(new Set(keys[second])).to.have.property('size', MAX_PENDING)
    })
  })

  it('reach enough of them in a large fleet, in few messages', async () => {
    const timers = createManualTimerService()
    const urls = Array.from({ length: ROUTERS }, (_, index) => `http://10.0.0.${index}:7341`)
    const durable = urls.slice(0, DURABLE_ROUTERS)
    const messages = new Map<string, number>()
    const copies = new Map<string, number>()
    const send = async ({ url, body }: { url: string; body?: unknown }): Promise<unknown> => {
      const { origin } = new URL(url)
      messages.set(origin, (messages.get(origin) ?? 0) + 1)
      const { records } = JSON.parse(String(body)) as { records: [key: string][] }
      for (const [key] of records) copies.set(key, (copies.get(key) ?? 0) + 1)
      return { statusCode: TAKEN_STATUS, resume: () => {} }
    }
    const senders = urls.map((ownUrl) =>
      createDurableCopies({
        ownUrl,
        listDurable: () => durable,
        listPeers: () => urls,
        client: { send } as Pick<HttpClient, 'send'>,
        timers,
        logger: createQuietLogger(),
        countMessage: () => {},
      }),
    )
    for (let number = 0; number < STREAMS_PER_SECOND; number += 1) {
      for (const [index, sender] of senders.entries()) sender.add(buildRecord(`${index}:${number}`))
      timers.advance(1_000 / STREAMS_PER_SECOND)
      await new Promise((resolve) => setImmediate(resolve))
    }
    timers.advance(1_000)
    for (let turn = 0; turn < 20; turn += 1) await new Promise((resolve) => setImmediate(resolve))
    timers.advance(1_000)
    for (let turn = 0; turn < 20; turn += 1) await new Promise((resolve) => setImmediate(resolve))
    expect(copies.size).to.equal(ROUTERS * STREAMS_PER_SECOND)
    expect(new Set(copies.values())).to.deep.equal(new Set([DURABLE_COPIES]))
    // A message to each holder in each second and each of 410 routers would be 410 a second.
    expect(Math.max(...messages.values())).to.be.below(ROUTERS)
  })
})
