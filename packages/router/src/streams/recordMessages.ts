/** Messages in which routers exchange the records of their streams. */
import { SpoolgateError, toSoftwareVersion, toStreamKey, type StreamKey } from '@spoolgate/core'
import * as z from 'zod'
import type { StreamRecord } from './streamRecords.js'

/** Path at which a router takes the records of others. */
export const RECORDS_PATH = '/streams/records'
/** Path at which a router answers which records it has. */
export const LOOKUP_PATH = '/streams/lookup'

/** Status of the answer to a message with records, which has no body. */
export const TAKEN_STATUS = 204

/** A record as a flat tuple, since there are many: key, group, version or null, and remaining time in ms. */
export type RecordEntry = readonly [
  key: string,
  group: string,
  version: string | null,
  ttlMs: number,
]

/** Maximum records in one message; at 70 bytes each, 18 KB. */
export const MAX_RECORDS_PER_MESSAGE = 256
/** Maximum time for which a record is kept, in ms; a stream that lasts longer is not resumed elsewhere after it. */
export const MAX_RECORD_TTL_MS = 3_600_000

const entrySchema = z.tuple([
  z.string(),
  z.string(),
  z.string().nullable(),
  z.number().min(0).max(MAX_RECORD_TTL_MS),
])

/** Body of a message with records, and of the answer to a lookup. */
export const recordsSchema = z.object({
  records: z.array(entrySchema).max(MAX_RECORDS_PER_MESSAGE),
})
/** Body of a lookup. */
export const lookupSchema = z.object({ keys: z.array(z.string()).max(MAX_RECORDS_PER_MESSAGE) })

/** Encodes a record. */
export function encodeRecord({ key, group, version, ttlMs }: StreamRecord): RecordEntry {
  return [key, group, version ?? null, ttlMs]
}

/** Decodes a record. */
export function decodeRecord([key, group, version, ttlMs]: RecordEntry): StreamRecord {
  return {
    key: toStreamKey(key),
    group,
    version: version === null ? undefined : toSoftwareVersion(version),
    ttlMs,
  }
}

function checkMessage<Schema extends z.ZodType>(schema: Schema, body: unknown): z.output<Schema> {
  const checked = schema.safeParse(body)
  if (checked.success) return checked.data
  const [issue] = checked.error.issues
  throw new SpoolgateError('invalidRequest', `${issue.path.join('.')}: ${issue.message}`)
}

/** Decodes the keys of a lookup. */
export function decodeLookup(body: unknown): readonly StreamKey[] {
  return checkMessage(lookupSchema, body).keys.map(toStreamKey)
}

/** Decodes the records of a message. */
export function decodeRecords(body: unknown): readonly StreamRecord[] {
  return checkMessage(recordsSchema, body).records.map(decodeRecord)
}
