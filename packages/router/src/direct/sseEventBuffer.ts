/** Splits a stream of server-sent events at event boundaries, so that incomplete events are never forwarded. */

/** Buffers bytes and returns complete events. */
export interface SseEventBuffer {
  /** Adds bytes; returns the buffered bytes up to the end of the last complete event. */
  add(chunk: Buffer): Buffer
  /** ID of the last complete event that was returned; undefined before the first. */
  lastEventId(): string | undefined
  /** Whether the buffer holds the start of an incomplete event. */
  hasPartialEvent(): boolean
}

const EMPTY = Buffer.alloc(0)
const EVENT_ID = /^id: ?(.*)$/gm

/** Returns the offset after the last complete event; 0 if there is none. */
function findLastEventEnd(data: Buffer): number {
  const lastLf = data.lastIndexOf('\n\n')
  const lastCrLf = data.lastIndexOf('\r\n\r\n')
  return Math.max(lastLf === -1 ? 0 : lastLf + 2, lastCrLf === -1 ? 0 : lastCrLf + 4)
}

/** Creates an empty buffer for the start of a stream. */
export function createSseEventBuffer(): SseEventBuffer {
  let pending: Buffer = EMPTY
  let lastEventId: string | undefined
  return {
    add: (chunk) => {
      const data = pending.length === 0 ? chunk : Buffer.concat([pending, chunk])
      const end = findLastEventEnd(data)
      pending = data.subarray(end)
      if (end === 0) return EMPTY
      const completeEvents = data.subarray(0, end)
      for (const match of completeEvents.toString('latin1').matchAll(EVENT_ID))
        lastEventId = match[1].trim()
      return completeEvents
    },
    lastEventId: () => lastEventId,
    hasPartialEvent: () => pending.length > 0,
  }
}
