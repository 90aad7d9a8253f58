/**
 * Durable Raft state of a control instance in one data folder: term, vote, log entries and the last
 * snapshot. Uses group commit: writes that arrive during a sync are batched into the next one.
 */
import type { Logger } from '@spoolgate/core'
import type { AppendFile, DataFolder } from './dataFolder.js'
import { DamagedDataError, encodeRecord, parseRecords } from './records.js'

/** One entry of the replicated log. */
export interface LogEntry {
  readonly index: number
  readonly term: number
  readonly command: unknown
}

/** State of the state machine after applying the entry at `index`. */
export interface Snapshot {
  readonly index: number
  readonly term: number
  readonly state: unknown
}

/** A leader that may hold a lease, and its term. */
export interface LeaseHolder {
  readonly name: string
  readonly term: number
}

/** Term, vote and related state that must survive a restart. */
export interface VoteState {
  readonly term: number
  readonly votedFor: string | undefined
  /**
   * Last leader that this member followed or voted for, and whose lease its replies may support;
   * undefined for none. A higher term alone does not change it.
   */
  readonly leaseHolder?: LeaseHolder
  /**
   * Whether this member may vote. A member that started with an empty folder may not vote until it was
   * added as a learner: it may have lost a vote together with its disk.
   */
  readonly mayVote: boolean
  /**
   * Index of the last membership change known to be committed; undefined for none. Until a change is
   * known to be committed, an election must also be won in the group before it.
   */
  readonly settledChange?: number
}

/** Change of the log as stored in the file. */
type LogChange =
  | { readonly kind: 'base'; readonly index: number; readonly term: number }
  | { readonly kind: 'ballot'; readonly ballot: VoteState }
  | { readonly kind: 'append'; readonly entries: readonly LogEntry[] }
  | { readonly kind: 'truncate'; readonly from: number }

/** Durable log. Reads reflect a write at once, before it is on disk. */
export interface LogStore {
  voteState(): VoteState
  snapshot(): Snapshot | undefined
  /** Index of the last entry, durable or not. */
  lastIndex(): number
  lastTerm(): number
  /** Index of the last entry on disk. */
  durableIndex(): number
  /** Bytes that were added to the log file since the last snapshot. */
  addedBytes(): number
  /** Last index that the snapshot covers; entries up to it are no longer in the log. */
  baseIndex(): number
  /** Term of an entry; undefined if the log does not contain it. */
  findTerm(index: number): number | undefined
  /** Returns at most `limit` entries, starting at index `from`. */
  listEntries(from: number, limit: number): LogEntry[]
  /** Saves the vote state; resolves once it is on disk. */
  saveVoteState(voteState: VoteState): Promise<void>
  /** Appends entries; resolves once they are on disk. */
  append(entries: readonly LogEntry[]): Promise<void>
  /** Removes all entries from index `from` on. */
  truncate(from: number): Promise<void>
  /** Replaces all entries up to the index of a snapshot by the snapshot; resolves once it is on disk. */
  compact(snapshot: Snapshot): Promise<void>
  /** Resolves once a write or sync failed; what is written after that never settles. */
  readonly failed: Promise<void>
  close(): Promise<void>
}

/** Options of {@link openLogStore}. */
export interface LogStoreOptions {
  readonly folder: DataFolder
  readonly logger: Logger
  /** Called when a write or sync failed: the member must not acknowledge anything any more. */
  readonly onFailure: (cause: unknown) => void
  /**
   * Whether an earlier sync failed. The log is then rewritten and synced, because its contents may not be on the disk.
   * @default false
   */
  readonly isAfterFailure?: boolean
}

const LOG_FILE = 'log'
const LOG_TEMPORARY_FILE = 'log.new'
const SNAPSHOT_PREFIX = 'snapshot-'
const TEMPORARY_SUFFIX = '.new'

interface LoadedLog {
  voteState: VoteState
  base: { index: number; term: number }
  entries: LogEntry[]
  length: number
}

/** Result of a write that failed: what waits for it must not go on. */
function waitForever(): Promise<never> {
  return new Promise(() => {})
}

function formatSnapshotName(index: number): string {
  return `${SNAPSHOT_PREFIX}${index}`
}

function applyChange(log: LoadedLog, change: LogChange): void {
  switch (change.kind) {
    case 'base':
      log.base = { index: change.index, term: change.term }
      return
    case 'ballot':
      log.voteState = change.ballot
      return
    case 'append':
      log.entries.push(...change.entries)
      return
    case 'truncate':
      log.entries = log.entries.filter((entry) => entry.index < change.from)
  }
}

async function loadLog(folder: DataFolder, logger: Logger): Promise<LoadedLog> {
  const empty = {
    voteState: { term: 0, votedFor: undefined, mayVote: false },
    base: { index: 0, term: 0 },
  }
  const log: LoadedLog = { ...empty, entries: [], length: 0 }
  const data = await folder.read(LOG_FILE)
  if (!data) return log
  const scanned = parseRecords(data, LOG_FILE)
  if (scanned.tornBytes > 0) logger.warn('log.tornTailCut', { bytes: scanned.tornBytes })
  for (const changes of scanned.payloads as LogChange[][]) {
    for (const change of changes) applyChange(log, change)
  }
  log.length = scanned.length
  return log
}

async function loadSnapshot(folder: DataFolder, index: number): Promise<Snapshot | undefined> {
  if (index === 0) return undefined
  const name = formatSnapshotName(index)
  const data = await folder.read(name)
  const record = data && parseRecords(data, name).payloads[0]
  if (record) return record as Snapshot
  throw new DamagedDataError(
    `${name} is missing or damaged; move the data folder away and let this member rejoin the group`,
  )
}

/** Lists the changes that make up a log. */
function listChanges({
  base,
  voteState,
  entries,
}: Pick<LoadedLog, 'base' | 'voteState'> & { entries: readonly LogEntry[] }): LogChange[] {
  return [
    { kind: 'base', ...base },
    { kind: 'ballot', ballot: voteState },
    { kind: 'append', entries },
  ]
}

/** Replaces the log file; resolves to its length once it is on disk. */
async function writeLog(folder: DataFolder, changes: readonly LogChange[]): Promise<number> {
  const record = encodeRecord(changes)
  await folder.write(LOG_TEMPORARY_FILE, record)
  await folder.rename(LOG_TEMPORARY_FILE, LOG_FILE)
  await folder.sync()
  return record.length
}

/** Removes files of a snapshot that was not completed: they can fill the disk, and nothing refers to them. */
export async function removeUnfinished(folder: DataFolder): Promise<void> {
  for (const name of await folder.list()) {
    const isSnapshot = name.startsWith(SNAPSHOT_PREFIX) && name.endsWith(TEMPORARY_SUFFIX)
    if (isSnapshot || name === LOG_TEMPORARY_FILE) await folder.remove(name)
  }
}

async function removeOtherSnapshots(folder: DataFolder, keptIndex: number): Promise<void> {
  for (const name of await folder.list()) {
    const isOther = name.startsWith(SNAPSHOT_PREFIX) && name !== formatSnapshotName(keptIndex)
    if (isOther) await folder.remove(name)
  }
}

/** Opens the log of a data folder and truncates a torn last record. */
export async function openLogStore(options: LogStoreOptions): Promise<LogStore> {
  const { folder, logger, isAfterFailure = false } = options
  const loaded = await loadLog(folder, logger)
  if (isAfterFailure) loaded.length = await writeLog(folder, listChanges(loaded))
  let snapshot = await loadSnapshot(folder, loaded.base.index)
  let { voteState, base } = loaded
  /** Entries after the base; the entry with index i is at position i - base.index - 1. */
  let entries = loaded.entries
  let durableIndex = base.index + entries.length
  /** Bytes of the log file since it was rewritten. */
  let addedBytes = loaded.length
  let file: AppendFile = await folder.openAppend(LOG_FILE, loaded.length)
  // The name of the log is on the disk now, and with it which snapshot it needs.
  await removeOtherSnapshots(folder, base.index)
  let pending: { change: LogChange; resolve: () => void }[] = []
  let activeWrite: Promise<void> | undefined
  let failure: unknown
  let reportFailed = () => {}
  const failed = new Promise<void>((resolve) => (reportFailed = resolve))
  const recordFailure = (cause: unknown) => {
    failure = cause
    reportFailed()
    options.onFailure(cause)
  }

  const lastIndex = () => base.index + entries.length
  const findTerm = (index: number) =>
    index === base.index ? base.term : entries[index - base.index - 1]?.term

  const recordDurable = (added: readonly LogEntry[]) => {
    const last = added.at(-1)
    // An entry that was replaced during the write does not make its replacement durable.
    if (!last || findTerm(last.index) !== last.term) return
    durableIndex = Math.max(durableIndex, last.index)
  }

  const writeBatch = async () => {
    const batch = pending
    pending = []
    const record = encodeRecord(batch.map(({ change }) => change))
    addedBytes += record.length
    await file.append(record)
    await file.sync()
    for (const { change, resolve } of batch) {
      if (change.kind === 'append') recordDurable(change.entries)
      resolve()
    }
  }
  const runWriter = async () => {
    try {
      while (pending.length > 0) await writeBatch()
    } catch (cause) {
      // After a failed sync the content of the disk is unknown, so this member must stop.
      pending = []
      recordFailure(cause)
    }
    activeWrite = undefined
  }
  const enqueueWrite = (change: LogChange): Promise<void> =>
    new Promise((resolve) => {
      // After a disk failure the promise never settles; the member has stopped by then.
      if (failure) return
      pending.push({ change, resolve })
      activeWrite ??= runWriter()
    })

  const writeCompacted = async (next: Snapshot, kept: readonly LogEntry[]) => {
    const name = formatSnapshotName(next.index)
    await folder.write(`${name}${TEMPORARY_SUFFIX}`, encodeRecord(next))
    await folder.rename(`${name}${TEMPORARY_SUFFIX}`, name)
    await folder.sync()
    const base = { index: next.index, term: next.term }
    const length = await writeLog(folder, listChanges({ base, voteState, entries: kept }))
    await file.close()
    file = await folder.openAppend(LOG_FILE, length)
    addedBytes = 0
  }
  const compact = async (next: Snapshot) => {
    while (activeWrite) await activeWrite
    if (failure) return waitForever()
    if (next.index <= base.index) return
    const runCompaction = async () => {
      const isRetained = findTerm(next.index) === next.term
      const kept = isRetained ? entries.slice(next.index - base.index) : []
      try {
        await writeCompacted(next, kept)
        entries = isRetained ? entries.slice(next.index - base.index) : []
        base = { index: next.index, term: next.term }
        snapshot = next
        durableIndex = Math.min(base.index + kept.length, lastIndex())
        await removeOtherSnapshots(folder, next.index)
      } catch (cause) {
        recordFailure(cause)
      }
      activeWrite = undefined
      if (!failure && pending.length > 0) activeWrite = runWriter()
    }
    activeWrite = runCompaction()
    await activeWrite
    // A leader would count what its follower stores by the reply to a snapshot.
    if (failure) await waitForever()
  }

  return {
    voteState: () => voteState,
    snapshot: () => snapshot,
    lastIndex,
    lastTerm: () => entries.at(-1)?.term ?? base.term,
    durableIndex: () => durableIndex,
    addedBytes: () => addedBytes,
    baseIndex: () => base.index,
    findTerm,
    listEntries: (from, limit) => {
      const start = from - base.index - 1
      return entries.slice(start, start + limit)
    },
    saveVoteState: (next) => {
      voteState = next
      return enqueueWrite({ kind: 'ballot', ballot: next })
    },
    append: (added) => {
      if (added.length === 0) return Promise.resolve()
      entries.push(...added)
      return enqueueWrite({ kind: 'append', entries: added })
    },
    truncate: (from) => {
      entries.length = Math.max(0, from - base.index - 1)
      durableIndex = Math.min(durableIndex, from - 1)
      return enqueueWrite({ kind: 'truncate', from })
    },
    compact,
    failed,
    close: async () => {
      while (activeWrite) await activeWrite
      await file.close()
    },
  }
}
