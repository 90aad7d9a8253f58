/**
 * Records of streams on the disk of a router, so that streams can be resumed after all routers were lost at once. Nothing
 * waits for the disk: records are written in batches a moment later, and a disk that fails costs the records only.
 */
import { encodeRecord as encodeBatch, openDataFolder, parseRecords } from '@spoolgate/control'
import type { AppendFile, DataFolder } from '@spoolgate/control'
import {
  toSoftwareVersion,
  toStreamKey,
  waitFor,
  type Logger,
  type Metrics,
  type TimerService,
} from '@spoolgate/core'
import { MAX_RECORD_TTL_MS } from './recordMessages.js'
import type { StreamRecord, StreamRecords } from './streamRecords.js'

/** Options of {@link openRecordJournal}. */
export interface RecordJournalOptions {
  /** Path of the folder on the disk, or a folder implementation supplied by a test. */
  readonly folder: string | DataFolder
  /** Receives the records that an earlier process left, and provides what is kept when the file is rewritten. */
  readonly records: Pick<StreamRecords, 'add' | 'list'>
  readonly timers: TimerService
  readonly logger: Logger
  readonly metrics: Pick<Metrics, 'counter'>
}

/** See {@link openRecordJournal}. */
export interface RecordJournal {
  /** Writes a record soon. */
  add(record: StreamRecord): void
  /** Resolves once the records of an earlier process were loaded, or cannot be. */
  readonly loaded: Promise<void>
  /** Writes what is left and closes the file. */
  close(): Promise<void>
}

/** A record on the disk: key, group, version or null, and its end in ms of the time of day, which outlives a process. */
type StoredEntry = readonly [key: string, group: string, version: string | null, endsAt: number]

const JOURNAL_FILE = 'streams'
const JOURNAL_TEMPORARY_FILE = 'streams.new'
/**
 * Time for which records are gathered before they are written, in ms: a multiple of the time that the last write took, so
 * that the disk is idle for most of the time, and its bounds.
 */
const GATHER_WRITES = 4
const MIN_GATHER_MS = 5
const MAX_GATHER_MS = 100
/** Time without writes after a failure of the disk, in ms. */
const FAILURE_PAUSE_MS = 5_000
/** Size beyond which the file is rewritten without expired records, in bytes. */
const MAX_JOURNAL_BYTES = 4 * 1024 * 1024
/** Maximum records that wait for the disk. */
const MAX_PENDING = 20_000

/** Opens the journal of a folder; the disk is read in the background. */
export function openRecordJournal(options: RecordJournalOptions): RecordJournal {
  const { records, timers, logger } = options
  const written = options.metrics.counter('records_journaled', 'Stream records on disk, by outcome')
  let pending: StreamRecord[] = []
  let folder: DataFolder | undefined
  let file: AppendFile | undefined
  let fileBytes = 0
  let writing: Promise<void> | undefined
  let isClosed = false
  let gatherMs = MIN_GATHER_MS

  const toEntry = ({ key, group, version, ttlMs }: StreamRecord): StoredEntry => [
    key,
    group,
    version ?? null,
    Math.round(timers.wallNow() + ttlMs),
  ]
  const addStored = ([key, group, version, endsAt]: StoredEntry) => {
    const ttlMs = Math.min(MAX_RECORD_TTL_MS, endsAt - timers.wallNow())
    if (ttlMs <= 0) return
    const softwareVersion = version === null ? undefined : toSoftwareVersion(version)
    records.add({ key: toStreamKey(key), group, version: softwareVersion, ttlMs })
  }
  const openFolder = async () => {
    folder ??=
      typeof options.folder === 'string' ? await openDataFolder(options.folder) : options.folder
    return folder
  }
  const load = async () => {
    try {
      const data = await (await openFolder()).read(JOURNAL_FILE)
      const batches = data ? parseRecords(data, JOURNAL_FILE).payloads : []
      for (const batch of batches as StoredEntry[][]) batch.forEach(addStored)
      logger.info('streams.journalLoaded', { records: records.list().length })
    } catch (cause) {
      logger.warn('streams.journalUnreadable', {
        reason: String(cause),
        remedy:
          'check the disk; streams that began before cannot be resumed after a loss of all routers',
      })
    }
  }
  /** Replaces the file by one with the records that have not expired. */
  const rewrite = async () => {
    const opened = await openFolder()
    const previous = file
    file = undefined
    await previous?.close()
    const data = encodeBatch(records.list().map(toEntry))
    await opened.write(JOURNAL_TEMPORARY_FILE, data)
    await opened.rename(JOURNAL_TEMPORARY_FILE, JOURNAL_FILE)
    await opened.sync()
    file = await opened.openAppend(JOURNAL_FILE, data.length)
    fileBytes = data.length
  }
  const writeBatch = async (batch: readonly StreamRecord[]) => {
    if (!file || fileBytes > MAX_JOURNAL_BYTES) await rewrite()
    const data = encodeBatch(batch.map(toEntry))
    const startedAt = timers.now()
    await file?.append(data)
    await file?.sync()
    const writeMs = timers.now() - startedAt
    gatherMs = Math.min(MAX_GATHER_MS, Math.max(MIN_GATHER_MS, writeMs * GATHER_WRITES))
    fileBytes += data.length
  }
  const writePending = async () => {
    await loaded
    while (pending.length > 0) {
      if (!isClosed) await waitFor(timers, gatherMs)
      const batch = pending
      pending = []
      try {
        await writeBatch(batch)
        written.add(batch.length, { outcome: 'written' })
      } catch (cause) {
        written.add(batch.length, { outcome: 'failed' })
        await file?.close().catch(() => {})
        file = undefined
        const remedy = 'check the disk; it is tried again'
        logger.warn('streams.journalFailed', { reason: String(cause), remedy })
        if (!isClosed) await waitFor(timers, FAILURE_PAUSE_MS)
      }
    }
    writing = undefined
  }
  const loaded = load()
  return {
    loaded,
    add: (record) => {
      if (isClosed) return
      if (pending.length >= MAX_PENDING) pending.shift()
      pending.push(record)
      writing ??= writePending()
    },
    close: async () => {
      isClosed = true
      await writing
      await file?.close()
    },
  }
}
