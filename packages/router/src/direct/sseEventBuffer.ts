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

/** Returns the offset after the last complete event; 0 if there is none. */
function findLastEventEnd(data: Buffer): number {
  const lastLf = data.lastIndexOf('\n\n')
  const lastCrLf = data.lastIndexOf('\r\n\r\n')
  return Math.max(lastLf === -1 ? 0 : lastLf + 2, lastCrLf === -1 ? 0 : lastCrLf + 4)
}

/** Creates an empty buffer for the start of a stream. */
export function createSseEventBuffer({ isResumable }: SseEventBufferOptions): SseEventBuffer {
  let pending: Buffer = EMPTY
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
  return {
    add: (chunk) => {
      if (problem !== undefined) return EMPTY
      const data = pending.length === 0 ? chunk : Buffer.concat([pending, chunk])
      const end = findLastEventEnd(data)
      pending = data.subarray(end)
      if (pending.length > MAX_EVENT_BYTES)
        problem = `an event is longer than ${MAX_EVENT_BYTES} bytes`
      if (end === 0) return EMPTY
      return data.subarray(0, readEventIds(data.subarray(0, end)))
    },
    lastEventId: () => lastEventId,
    hasPartialEvent: () => pending.length > 0,
    findProblem: () => problem,
  }
}
