/** Cutting a stream of server-sent events into whole events, so that a broken one is never passed on. */

/** Collects bytes and hands out what is whole. */
export interface SseEventBuffer {
  /** Adds bytes; returns those up to the end of the last whole event. */
  add(chunk: Buffer): Buffer
  /** Id of the last whole event that was handed out; undefined before the first. */
  lastId(): string | undefined
  /** Whether an event was begun and not ended. */
  hasPart(): boolean
}

const EMPTY = Buffer.alloc(0)
const EVENT_ID = /^id: ?(.*)$/gm

/** Finds the end of the last whole event. */
function findLastEnd(data: Buffer): number {
  const plain = data.lastIndexOf('\n\n')
  const withReturns = data.lastIndexOf('\r\n\r\n')
  return Math.max(plain === -1 ? 0 : plain + 2, withReturns === -1 ? 0 : withReturns + 4)
}

/** Creates a cutter at the beginning of a stream. */
export function createSseEventBuffer(): SseEventBuffer {
  let rest: Buffer = EMPTY
  let lastId: string | undefined
  return {
    add: (chunk) => {
      const data = rest.length === 0 ? chunk : Buffer.concat([rest, chunk])
      const end = findLastEnd(data)
      rest = data.subarray(end)
      if (end === 0) return EMPTY
      const whole = data.subarray(0, end)
      for (const match of whole.toString('latin1').matchAll(EVENT_ID)) lastId = match[1].trim()
      return whole
    },
    lastId: () => lastId,
    hasPart: () => rest.length > 0,
  }
}
