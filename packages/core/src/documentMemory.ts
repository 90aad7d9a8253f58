/**
 * Room in the heap for JSON documents from other processes. A parsed document takes many times the bytes of its text, so
 * its size in the heap is estimated before it is parsed, and it is held until the request that brought it is answered.
 */
import type { IncomingMessage } from 'node:http'
import { ConnectionError, SpoolgateError } from './errors.js'
import { findMessageMemory, type MemoryHold } from './memoryBudget.js'

/** Bytes in the heap for each character that begins or separates a value; those of small objects with names of their own. */
const VALUE_BYTES: Readonly<Record<string, number>> = {
  '{': 96,
  '[': 48,
  ':': 48,
  ',': 16,
  '"': 12,
}
/** Bytes for each character: in the text, and in the string that is made of it. */
const CHARACTER_BYTES = 2
/** Lowest first byte of UTF-8 characters outside Latin-1, whose strings take two bytes a character. */
const FIRST_WIDE_BYTE = 0xc4
const BYTE_VALUES = 256
/** Seconds after which a sender that found no room may try again. */
const ROOM_RETRY_AFTER_S = 0.5

const byteCosts = new Uint8Array(BYTE_VALUES).fill(CHARACTER_BYTES)
for (const [character, bytes] of Object.entries(VALUE_BYTES))
  byteCosts[character.charCodeAt(0)] += bytes

/** Estimate of the bytes of the heap that a JSON document takes with its text once it is parsed. */
export interface DocumentEstimate {
  add(text: Uint8Array): void
  bytes(): number
}

/** Creates the estimate of an empty document. */
export function createDocumentEstimate(): DocumentEstimate {
  let bytes = 0
  let characters = 0
  let isWide = false
  return {
    add: (text) => {
      characters += text.length
      for (let index = 0; index < text.length; index += 1) {
        bytes += byteCosts[text[index]]
        if (text[index] >= FIRST_WIDE_BYTE) isWide = true
      }
    },
    bytes: () => (isWide ? bytes + characters * CHARACTER_BYTES : bytes),
  }
}

/** Estimates how many bytes of the heap a whole JSON document takes with its text once it is parsed. */
export function estimateDocumentBytes(text: Uint8Array): number {
  const estimate = createDocumentEstimate()
  estimate.add(text)
  return estimate.bytes()
}

function isAnswer({ statusCode }: IncomingMessage): boolean {
  return typeof statusCode === 'number'
}

/** Creates the error of a message that is longer than it may be. */
export function createOversizeError(message: IncomingMessage, reason: string): Error {
  if (isAnswer(message))
    return new ConnectionError(`the answer is too long: ${reason}`, false, false)
  return new SpoolgateError('oversizeBody', reason)
}

/** Creates the error of a message for which there is no room at the moment. */
export function createRoomError(message: IncomingMessage): Error {
  if (isAnswer(message))
    return new ConnectionError('there is no room for the answer at the moment', false, false)
  const remedy = 'too much is being sent to this process at the moment; try again'
  return new SpoolgateError('noRoom', remedy, { retryAfterSeconds: ROOM_RETRY_AFTER_S })
}

/** Finds why the document in a body can never be held; undefined if there is no bound, or if it can. */
export function findDocumentError(
  message: IncomingMessage,
  estimate: DocumentEstimate,
): Error | undefined {
  const limit = findMessageMemory(message)?.maxDocumentBytes
  if (limit === undefined || estimate.bytes() <= limit) return undefined
  const reason = `send a document that takes less than ${Math.floor(limit)} bytes once it is parsed`
  return createOversizeError(message, reason)
}

/**
 * Holds room in the heap for the document in a body. The document of a request is held until its response is closed,
 * the caller closes the hold of an answer.
 * @throws SpoolgateError `noRoom`; ConnectionError for an answer.
 */
export async function openDocumentHold(
  message: IncomingMessage,
  estimate: DocumentEstimate,
): Promise<MemoryHold | undefined> {
  const hold = findMessageMemory(message)?.openDocument()
  if (!hold || (await hold.waitForRoom(estimate.bytes()))) return hold
  hold.close()
  throw createRoomError(message)
}

/** Closes the hold of an answer's document once what waited for it has run. */
export function closeAnswerHold(message: IncomingMessage, hold: MemoryHold | undefined): void {
  if (hold && isAnswer(message)) setImmediate(hold.close)
}
