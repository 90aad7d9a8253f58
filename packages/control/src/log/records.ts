/**
 * Record format of the log file: a header with length and checksums, followed by JSON. Each record is one
 * group commit and is synced before the next is written, so only the last record of a file can be torn.
 */
import { SpoolgateError } from '@spoolgate/core'
import crc32 from 'crc-32'

/** Length, checksum of the length, checksum of the payload; 4 bytes each, big-endian. */
const HEADER_BYTES = 12
const LENGTH_BYTES = 4

/** Data on the disk that was synced and has changed since; reading on would lose what was acknowledged. */
export class DamagedDataError extends SpoolgateError {
  constructor(message: string) {
    super('internal', message)
  }
}

/** Result of scanning a record file. */
export interface ScannedRecords {
  readonly payloads: readonly unknown[]
  /** Number of bytes up to the end of the last complete record. */
  readonly length: number
  /** Number of bytes of a torn last record, to be truncated. */
  readonly tornBytes: number
}

/** Encodes one record; the payload must be JSON. */
export function encodeRecord(payload: unknown): Buffer {
  const body = Buffer.from(JSON.stringify(payload))
  const header = Buffer.alloc(HEADER_BYTES)
  header.writeUInt32BE(body.length, 0)
  header.writeInt32BE(crc32.buf(header.subarray(0, LENGTH_BYTES)), LENGTH_BYTES)
  header.writeInt32BE(crc32.buf(body), 2 * LENGTH_BYTES)
  return Buffer.concat([header, body])
}

/** Decodes the record at `offset`; undefined if it is incomplete or damaged. */
function decodeRecord(data: Buffer, offset: number): { body: Buffer; end: number } | undefined {
  if (offset + HEADER_BYTES > data.length) return undefined
  const header = data.subarray(offset, offset + HEADER_BYTES)
  const lengthChecksum = crc32.buf(header.subarray(0, LENGTH_BYTES))
  if (header.readInt32BE(LENGTH_BYTES) !== lengthChecksum) return undefined
  const end = offset + HEADER_BYTES + header.readUInt32BE(0)
  if (end > data.length) return undefined
  const body = data.subarray(offset + HEADER_BYTES, end)
  if (header.readInt32BE(2 * LENGTH_BYTES) !== crc32.buf(body)) return undefined
  return { body, end }
}

function findRecordAfter(data: Buffer, offset: number): number | undefined {
  for (let start = offset; start + HEADER_BYTES <= data.length; start += 1) {
    const record = decodeRecord(data, start)
    if (record && record.body.length > 0) return start
  }
  return undefined
}

/**
 * Scans a file of records.
 * @throws DamagedDataError when a damaged record is followed by a complete one: it was synced,
 * so truncating it would lose acknowledged data.
 */
export function parseRecords(data: Buffer, file: string): ScannedRecords {
  const payloads: unknown[] = []
  let offset = 0
  while (offset < data.length) {
    const record = decodeRecord(data, offset)
    if (!record) break
    payloads.push(JSON.parse(record.body.toString('utf8')))
    offset = record.end
  }
  const nextRecord = offset < data.length ? findRecordAfter(data, offset + 1) : undefined
  if (nextRecord !== undefined) {
    throw new DamagedDataError(
      `${file}: damaged at byte ${offset} with complete records from byte ${nextRecord}; ` +
        'move the data folder away and let this member rejoin the group to copy the log from the others',
    )
  }
  return { payloads, length: offset, tornBytes: data.length - offset }
}
