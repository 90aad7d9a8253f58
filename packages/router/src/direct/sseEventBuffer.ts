/** Splits a stream of server-sent events at event boundaries, so that incomplete events are never forwarded. */
import { findFieldBytesProblem, removeOuterBlanks } from '@spoolgate/core'

/** Buffers bytes and returns complete events. */
export interface SseEventBuffer {
  /** Adds bytes; returns the buffered bytes up to the end of the last complete event before a problem. */
  add(chunk: Buffer): Buffer
  /** ID of the last complete event that was returned, as bytes in Latin-1; undefined before the first. */
  lastEventId(): string | undefined
  /** Whether the buffer holds the start of an incomplete event. */
  hasPartialEvent(): boolean
  /** Bytes of that start. */
  partialBytes(): number
  /** Explains why nothing more of the stream can be used; undefined as long as it can. */
  findProblem(): string | undefined
}

/** Options of {@link createSseEventBuffer}. */
export interface SseEventBufferOptions {
  /** Whether the stream may be resumed after each of its events, so that a header field must carry their IDs. */
  readonly isResumable: boolean
}

const EMPTY = Buffer.alloc(0)
const EVENT_ID = /^id:([^\r\n]*)/gm
/** Maximum size of an event, in bytes; a server that never ends one must not take the memory of the process. */
const MAX_EVENT_BYTES = 4 * 1024 * 1024
/** Bytes of a boundary between events that may lie before the chunk that completes it. */
const MAX_TAIL_BYTES = 3
/** Maximum size of a page for short chunks, in bytes. */
const MAX_PAGE_BYTES = 64 * 1024
/** Length from which a chunk is kept without a copy, in bytes. */
const MIN_KEPT_BYTES = 4 * 1024

/** Returns the offset after the last complete event; 0 if there is none. */
function findLastEventEnd(data: Buffer): number {
  const lastLf = data.lastIndexOf('\n\n')
  const lastCrLf = data.lastIndexOf('\r\n\r\n')
  return Math.max(lastLf === -1 ? 0 : lastLf + 2, lastCrLf === -1 ? 0 : lastCrLf + 4)
}

/** Bytes of an event that is not complete. */
interface PartialEvent {
  append(chunk: Buffer): void
  bytes(): number
  /** Returns its last bytes, which may begin a boundary. */
  tail(): Buffer
  /** Returns its bytes followed by those of `end`, and becomes empty. */
  take(end: Buffer): Buffer
}

/**
 * Creates an empty partial event. Long chunks are kept as they are and short ones are gathered in pages, since copies of
 * long events become garbage outside the heap, which is collected late.
 */
function createPartialEvent(): PartialEvent {
  const pieces: Buffer[] = []
  let bytes = 0
  /** The last piece, if it is a page, and the bytes of it that are in use. */
  let page = EMPTY
  let pageBytes = 0

  const closePage = () => {
    if (pageBytes > 0) pieces.push(page.subarray(0, pageBytes))
    page = EMPTY
    pageBytes = 0
  }
  const appendCopy = (chunk: Buffer) => {
    if (pageBytes + chunk.length > page.length) {
      const nextBytes = Math.min(MAX_PAGE_BYTES, 2 * page.length)
      closePage()
      page = Buffer.allocUnsafe(Math.max(chunk.length, nextBytes))
    }
    chunk.copy(page, pageBytes)
    pageBytes += chunk.length
  }
  const appendReference = (chunk: Buffer) => {
    closePage()
    pieces.push(chunk)
  }
  /** Whether a chunk keeps little more memory than its own bytes. */
  const isWorthKeeping = (chunk: Buffer) =>
    chunk.length >= MIN_KEPT_BYTES && chunk.buffer.byteLength <= 2 * chunk.length
  return {
    append: (chunk) => {
      bytes += chunk.length
      if (isWorthKeeping(chunk)) appendReference(chunk)
      else appendCopy(chunk)
    },
    bytes: () => bytes,
    tail: () => {
      const ends = [...pieces.slice(-MAX_TAIL_BYTES), page.subarray(0, pageBytes)]
      const tails = ends.map((end) => end.subarray(-MAX_TAIL_BYTES))
      return Buffer.concat(tails).subarray(-MAX_TAIL_BYTES)
    },
    take: (end) => {
      if (bytes === 0) return end
      closePage()
      const whole = Buffer.concat([...pieces, end])
      pieces.length = 0
      bytes = 0
      return whole
    },
  }
}

/** Creates an empty buffer for the start of a stream. */
export function createSseEventBuffer({ isResumable }: SseEventBufferOptions): SseEventBuffer {
  const partial = createPartialEvent()
  let lastEventId: string | undefined
  let problem: string | undefined

  /** Reads the IDs of complete events; returns the length of the events before the first with an unusable ID. */
  const readEventIds = (events: Buffer): number => {
    for (const match of events.toString('latin1').matchAll(EVENT_ID)) {
      const id = removeOuterBlanks(match[1])
      const idProblem = isResumable ? findFieldBytesProblem(id) : undefined
      if (idProblem !== undefined) {
        problem = `the ID of an event ${idProblem}`
        return findLastEventEnd(events.subarray(0, match.index))
      }
      lastEventId = id
    }
    return events.length
  }
  const append = (chunk: Buffer) => {
    partial.append(chunk)
    if (partial.bytes() > MAX_EVENT_BYTES)
      problem = `an event is longer than ${MAX_EVENT_BYTES} bytes`
  }
  /** Returns the offset in a chunk after the last complete event; 0 if there is none. */
  const findEnd = (chunk: Buffer): number => {
    const end = findLastEventEnd(chunk)
    if (end > 0 || partial.bytes() === 0) return end
    const tail = partial.tail()
    const start = chunk.subarray(0, MAX_TAIL_BYTES)
    return Math.max(0, findLastEventEnd(Buffer.concat([tail, start])) - tail.length)
  }
  /** Returns the bytes up to the end of the last complete event, and keeps the rest. */
  const takeEvents = (chunk: Buffer): Buffer => {
    const end = findEnd(chunk)
    if (end === 0) {
      append(chunk)
      return EMPTY
    }
    const events = partial.take(chunk.subarray(0, end))
    if (end < chunk.length) append(chunk.subarray(end))
    return events
  }
  return {
    add: (chunk) => {
      if (problem !== undefined) return EMPTY
      const events = takeEvents(chunk)
      return events.length === 0 ? EMPTY : events.subarray(0, readEventIds(events))
    },
    lastEventId: () => lastEventId,
    hasPartialEvent: () => partial.bytes() > 0,
    partialBytes: partial.bytes,
    findProblem: () => problem,
  }
}
