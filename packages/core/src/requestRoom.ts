/** Room for requests in the heap: each request in flight counts with a fixed size, and is refused where there is none. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { closeBody } from './httpBody.js'
import { openResponseHold, type ByteBudget } from './memoryBudget.js'

/** Heap that a request takes with its response and all that is kept for it, besides bodies, in bytes. */
export const REQUEST_HEAP_BYTES = 16 * 1024
/**
 * Part of the budget for requests that wait behind others on their connection: callers that do not wait for responses
 * leave the rest to those that do.
 */
const PIPELINED_RATIO = 0.5
/** Seconds after which a request that found no room may be sent again. */
const RETRY_AFTER_S = '1'

/** Holds room for a request until its response is closed; false if there is none. */
export function admitRequest(
  heap: ByteBudget,
  response: ServerResponse,
  isPipelined: boolean,
): boolean {
  const limitBytes = heap.limitBytes * (isPipelined ? PIPELINED_RATIO : 1)
  if (heap.usedBytes() + REQUEST_HEAP_BYTES > limitBytes) return false
  return openResponseHold(heap, response).resize(REQUEST_HEAP_BYTES)
}

/** Answers a request for which there is no room; it has not run. */
export function declineRequest(request: IncomingMessage, response: ServerResponse): void {
  closeBody(request)
  response.writeHead(503, { 'retry-after': RETRY_AFTER_S, 'content-length': '0' })
  response.end()
}
