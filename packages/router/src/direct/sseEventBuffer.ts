/** Splits a stream of server-sent events at event boundaries, so that incomplete events are never forwarded. */
import { findFieldBytesProblem } from '@spoolgate/core'

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
const EVENT_ID = /^id: ?[\t ]*(.*?)[\t ]*$/gm
/** Maximum size of an event, in bytes; a server that never ends one must not take the memory of the process. */
const MAX_EVENT_BYTES = 4 * 1024 * 1024
/** Bytes of the longest boundary between events, which may span chunks. */
const MAX_BOUNDARY_BYTES = 4

/** Returns the offset after the last complete event; 0 if there is none. */
function findLastEventEnd(data: Buffer): number {
  const lastLf = data.lastIndexOf('\n\n')
  const lastCrLf = data.lastIndexOf('\r\n\r\n')
  return Math.max(lastLf === -1 ? 0 : lastLf + 2, lastCrLf === -1 ? 0 : lastCrLf + 4)
}

/** Creates an empty buffer for the start of a stream. */
export function createSseEventBuffer({ isResumable }: SseEventBufferOptions): SseEventBuffer {
  /** Start of an incomplete event; its capacity doubles, so that each byte is copied a few times at most. */
  let pending = EMPTY
  let pendingBytes = 0
  let lastEventId: string | undefined
  let problem: string | undefined

  /** Reads the IDs of complete events; returns the length of the events before the first with an unusable ID. */
  const readEventIds = (events: Buffer): number => {
    for (const match of events.toString('latin1').matchAll(EVENT_ID)) {
      const idProblem = isResumable ? findFieldBytesProblem(match[1]) : undefined
      if (idProblem !== undefined) {
        problem = `the ID of an event ${idProblem}`
        return findLastEventEnd(events.subarray(0, match.index))
      }
      lastEventId = match[1]
    }
    return events.length
  }
  const append = (chunk: Buffer) => {
    const bytes = pendingBytes + chunk.length
    if (bytes > pending.length) {
      const grown = Buffer.allocUnsafe(Math.max(bytes, 2 * pending.length))
      pending.copy(grown, 0, 0, pendingBytes)
      pending = grown
    }
    chunk.copy(pending, pendingBytes)
    pendingBytes = bytes
    if (bytes > MAX_EVENT_BYTES) problem = `an event is longer than ${MAX_EVENT_BYTES} bytes`
  }
  /** Returns the bytes up to the end of the last complete event, and keeps the rest. */
  const takeEvents = (chunk: Buffer): Buffer => {
    let data = chunk
    let searchedFrom = 0
    if (pendingBytes > 0) {
      searchedFrom = Math.max(0, pendingBytes - MAX_BOUNDARY_BYTES + 1)
      append(chunk)
      data = pending.subarray(0, pendingBytes)
    }
    const end = findLastEventEnd(data.subarray(searchedFrom))
    if (end === 0 && data !== chunk) return EMPTY
    const eventsEnd = end === 0 ? 0 : searchedFrom + end
    const rest = data.subarray(eventsEnd)
    pending = EMPTY
    pendingBytes = 0
    if (rest.length > 0) append(rest)
    return data.subarray(0, eventsEnd)
  }
  return {
    add: (chunk) => {
      if (problem !== undefined) return EMPTY
      const events = takeEvents(chunk)
      return events.length === 0 ? EMPTY : events.subarray(0, readEventIds(events))
    },
    lastEventId: () => lastEventId,
    hasPartialEvent: () => pendingBytes > 0,
    partialBytes: () => pendingBytes,
    findProblem: () => problem,
  }
}
