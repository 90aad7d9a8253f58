/** Bounded record of the software versions that began streams, by the request that received the first event. */
import { createHash } from 'node:crypto'
import {
  removeOldest,
  toStreamKey,
  type SoftwareVersion,
  type StreamKey,
  type TeamId,
  type TimerService,
} from '@spoolgate/core'

/** What a router knows of the beginning of a stream. */
export interface StreamRecord {
  readonly key: StreamKey
  /** Group of the server that sent the first event. */
  readonly group: string
  /** Undefined if requests with the same id began streams at several versions. */
  readonly version: SoftwareVersion | undefined
  /** Time for which the caller may still resume the stream, in ms. */
  readonly ttlMs: number
}

/** See {@link createStreamRecords}. */
export interface StreamRecords {
  /**
   * Adds a record; one with another version makes the version of its key undefined.
   * @param isUnsent whether other routers have yet to receive it
   */
  add(record: StreamRecord, isUnsent?: boolean): void
  /** Lists the records of some groups that are unsent, which they no longer are. */
  takeUnsent(isDue: (group: string) => boolean): readonly StreamRecord[]
  /** Finds a record, with the time that is left to it. */
  find(key: StreamKey): StreamRecord | undefined
  /** Lists the records whose time has not passed, the oldest first. */
  list(): readonly StreamRecord[]
  count(): number
  close(): void
}

/** Maximum number of records: 330 streams a second that may be resumed for a minute; 5 MB. */
export const MAX_STREAM_RECORDS = 20_000
/** Maximum of a router that keeps those of many others on its disk; 10 MB. */
export const MAX_DURABLE_RECORDS = 40_000
const REMOVAL_PERIOD_MS = 10_000
/** Base64 characters of 6 bits each: 120 bits. */
const KEY_CHARACTERS = 20
/** Twice as fast as SHA-256 on processors without SHA instructions. */
const HASH = 'blake2b512'

interface StoredRecord extends Omit<StreamRecord, 'ttlMs'> {
  readonly expiresAt: number
  isUnsent: boolean
}

/** Hashes the request that began a stream; a caller of another team cannot refer to it. */
export function hashStreamKey(team: TeamId | undefined, requestId: string): StreamKey {
  const hash = createHash(HASH).update(JSON.stringify([team ?? null, requestId]))
  return toStreamKey(hash.digest('base64url').slice(0, KEY_CHARACTERS))
}

/** Creates an empty record. */
export function createStreamRecords(
  timers: TimerService,
  maxRecords = MAX_STREAM_RECORDS,
): StreamRecords {
  const records = new Map<StreamKey, StoredRecord>()

  const toRecord = ({ key, group, version, expiresAt }: StoredRecord): StreamRecord => ({
    key,
    group,
    version,
    ttlMs: Math.round(expiresAt - timers.now()),
  })
  const removeExpired = () => {
    const now = timers.now()
    for (const [key, { expiresAt }] of records) if (expiresAt <= now) records.delete(key)
  }
  const removal = timers.every(REMOVAL_PERIOD_MS).subscribe(removeExpired)
  return {
    add: ({ key, group, version, ttlMs }, isUnsent = false) => {
      const expiresAt = timers.now() + ttlMs
      const known = records.get(key)
      const isConflict = known !== undefined && known.version !== version
      records.delete(key)
      records.set(key, {
        key,
        group,
        version: isConflict ? undefined : version,
        expiresAt: Math.max(expiresAt, known?.expiresAt ?? expiresAt),
        isUnsent,
      })
      removeOldest(records, maxRecords)
    },
    find: (key) => {
      const stored = records.get(key)
      return stored && stored.expiresAt > timers.now() ? toRecord(stored) : undefined
    },
    takeUnsent: (isDue) => {
      removeExpired()
      const taken = [...records.values()].filter(({ group, isUnsent }) => isUnsent && isDue(group))
      for (const stored of taken) stored.isUnsent = false
      return taken.map(toRecord)
    },
    list: () => {
      removeExpired()
      return [...records.values()].map(toRecord)
    },
    count: () => records.size,
    close: () => removal.unsubscribe(),
  }
}
