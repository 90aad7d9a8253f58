/** Cutting a stream of server-sent events into whole events, so that a broken one is never passed on. */

/** Collects bytes and hands out what is whole. */
export interface SseEventBuffer {
  /** Adds bytes; returns those up to the end of the last whole event. */
  add(chunk: Buffer): Buffer
  /** Id of the last whole event that was handed out; undefined before the first. */
  lastEventId(): string | undefined
  /** Whether an event was begun and not ended. */
  hasPartialEvent(): boolean
}

const EMPTY = Buffer.alloc(0)
const EVENT_ID = /^id: ?(.*)$/gm

/** Finds the end of the last whole event. */
function findLastEventEnd(data: Buffer): number {
  const lastLf = data.lastIndexOf('\n\n')
  const lastCrLf = data.lastIndexOf('\r\n\r\n')
  return Math.max(lastLf === -1 ? 0 : lastLf + 2, lastCrLf === -1 ? 0 : lastCrLf + 4)
}

/** Creates a cutter at the beginning of a stream. */
export function createSseEventBuffer(): SseEventBuffer {
  let pending: Buffer = EMPTY
  let lastEventId: string | undefined
  return {
    add: (chunk) => {
      const data = pending.length === 0 ? chunk : Buffer.concat([pending, chunk])
      const end = findLastEventEnd(data)
      pending = data.subarray(end)
      if (end === 0) return EMPTY
      const whole = data.subarray(0, end)
      for (const match of whole.toString('latin1').matchAll(EVENT_ID)) lastEventId = match[1].trim()
      return whole
    },
    lastEventId: () => lastEventId,
    hasPartialEvent: () => pending.length > 0,
  }
}
