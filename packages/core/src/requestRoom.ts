/** Room for requests in the heap: each request in flight counts with a fixed size, and is declined where there is none. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { SpoolgateError } from './errors.js'
import { closeBody } from './httpBody.js'
import { openResponseHold, type ByteBudget } from './memoryBudget.js'

/** Heap that a request takes with its response and all that is kept for it, besides bodies, in bytes. */
export const REQUEST_HEAP_BYTES = 12 * 1024
/** Seconds after which a request that found no room may be sent again. */
const RETRY_AFTER_S = 0.5

/** Which part of the budget a request may use. */
export const ROOM_RATIOS = {
  /** Messages of the fleet and readiness, for which the rest is kept free. */
  fleet: 1,
  /** Requests in front of all others on their connection. */
  first: 0.75,
  /** Requests that wait behind others: callers that do not wait for responses leave the rest to those that do. */
  behind: 0.5,
} as const

/** Place of a request among those that need room. */
export type RoomPriority = keyof typeof ROOM_RATIOS

/** Holds room for a request until its response is closed; false if there is none. */
export function admitRequest(
  heap: ByteBudget,
  response: ServerResponse,
  priority: RoomPriority,
): boolean {
  const limitBytes = heap.limitBytes * ROOM_RATIOS[priority]
  if (heap.usedBytes() + REQUEST_HEAP_BYTES > limitBytes) return false
  return openResponseHold(heap, response).resize(REQUEST_HEAP_BYTES)
}

/** Creates the error of a request for which there is no room; it has not run. */
function createDeclineError(): SpoolgateError {
  const remedy = 'this process has too many requests in flight; try again'
  return new SpoolgateError('noRoom', remedy, { retryAfterSeconds: RETRY_AFTER_S })
}

/** Discards the body of a request that is declined and sends its answer. */
export function declineRequest(
  request: IncomingMessage,
  response: ServerResponse,
  sendDecline = ({ status }: SpoolgateError) => {
    response.writeHead(status, { 'retry-after': '1', 'content-length': '0' }).end()
  },
): void {
  closeBody(request)
  sendDecline(createDeclineError())
}
