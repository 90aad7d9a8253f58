/** Reading of HTTP bodies with bounds on size, time and memory. */
import type { IncomingMessage } from 'node:http'
import type { BodyLimits } from './bodyLimits.js'
import { ConnectionError, SpoolgateError } from './errors.js'
import {
  closeAnswerHold,
  createDocumentEstimate,
  createOversizeError,
  createRoomError,
  findDocumentError,
  openDocumentHold,
} from './documentMemory.js'
import { findMessageMemory, type MemoryHold } from './memoryBudget.js'
import { CUT_REASONS, watchCompletion, type CutReason } from './responseCompletion.js'

/** Bounds on draining an unneeded body; beyond them its connection is closed. */
const MAX_DISCARDED_BYTES = 256 * 1024
const DISCARD_MS = 1_000

const abandonments = new WeakMap<IncomingMessage, () => void>()

/**
 * Sets what ends the connection of a message whose body is too long to be discarded.
 * @default the message is destroyed, and its connection with it
 */
export function installBodyEnd(message: IncomingMessage, abandon: () => void): void {
  abandonments.set(message, abandon)
}

/** Drains an unneeded body, so that its connection can be reused; ends the connection if the rest is long. */
export function closeBody(message: IncomingMessage): void {
  if (message.aborted || (message.complete && message.readableLength === 0))
    return void message.resume()
  const abandon = abandonments.get(message) ?? (() => void message.destroy())
  let size = 0
  const timeout = setTimeout(abandon, DISCARD_MS)
  message.on('data', (chunk: Buffer) => {
    size += chunk.length
    if (size > MAX_DISCARDED_BYTES) abandon()
  })
  message.on('error', () => {})
  for (const end of ['end', 'close'] as const) message.once(end, () => clearTimeout(timeout))
  message.resume()
}

/** Creates the error of a message that broke off: the sender of a request may repeat it, a response is lost. */
function createCutError({ statusCode }: IncomingMessage, cut: CutReason): Error {
  if (typeof statusCode === 'number') return new ConnectionError(CUT_REASONS[cut], false, false)
  return new SpoolgateError('malformedBody', 'the body was cut; send it again')
}

/**
 * Reads a body whole. It counts in the hold of its message, if there is one.
 * @throws SpoolgateError `oversizeBody`, `bodyTimeout`, `noRoom`, or `malformedBody` when the sender of a request left;
 *   ConnectionError when a response broke off.
 */
export function readBody(message: IncomingMessage, limits: BodyLimits): Promise<Buffer> {
  return readChunks(message, limits, () => undefined)
}

/** Reads a body whole, unless a piece of it shows that it cannot be used. */
function readChunks(
  message: IncomingMessage,
  limits: BodyLimits,
  findProblem: (chunk: Buffer) => Error | undefined,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    const hold = findMessageMemory(message)?.body
    const watch = watchCompletion(message)
    let size = 0
    let isSettled = false
    const settle = () => {
      isSettled = true
      clearTimeout(timeout)
      hold?.setEviction(undefined)
      message.removeAllListeners('data')
    }
    const fail = (error: Error) => {
      if (isSettled) return
      settle()
      chunks.length = 0
      hold?.resize(0)
      closeBody(message)
      reject(error)
    }
    const failLate = () =>
      fail(new SpoolgateError('bodyTimeout', `send the body within ${limits.timeoutMs} ms`))
    const failSize = () =>
      fail(createOversizeError(message, `send at most ${limits.maxBytes} bytes`))
    /** Holds the sender back until there is room. */
    const waitForRoom = async (held: MemoryHold) => {
      message.pause()
      const isHeld = await held.waitForRoom(size)
      if (isSettled) held.resize(0)
      else if (isHeld) message.resume()
      else fail(createRoomError(message))
    }
    const timeout = setTimeout(failLate, limits.timeoutMs)
    hold?.setEviction(failLate)
    message.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size > limits.maxBytes) return failSize()
      const problem = findProblem(chunk)
      if (problem) return fail(problem)
      chunks.push(chunk)
      if (hold && !hold.resize(size)) void waitForRoom(hold)
    })
    const failCut = () => fail(createCutError(message, watch.findCut() ?? 'ended'))
    message.on('end', () => {
      if (isSettled) return
      if (watch.findCut() !== undefined) return failCut()
      settle()
      resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks))
    })
    for (const event of ['error', 'aborted', 'close'] as const) message.on(event, failCut)
    if (message.aborted) failCut()
    else if (Number(message.headers['content-length'] ?? 0) > limits.maxBytes) failSize()
  })
}

/**
 * Parses a JSON body.
 * @throws SpoolgateError `malformedBody`.
 */
export function parseJsonBody(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'))
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause)
    throw new SpoolgateError('malformedBody', `send a body of valid JSON: ${reason}`)
  }
}

/** The text of a document, for which there is room in the heap. */
export interface HeldDocument {
  readonly body: Buffer
  /** Held until the response is closed, unless it is closed before; undefined where nothing is counted. */
  readonly hold: MemoryHold | undefined
}

/**
 * Reads a body that holds a JSON document and waits for room for what it takes of the heap once it is parsed.
 * @throws as {@link readBody} and {@link openDocumentHold}; `oversizeBody` as soon as the document can never be held
 */
export async function readDocument(
  message: IncomingMessage,
  limits: BodyLimits,
): Promise<HeldDocument> {
  const estimate = createDocumentEstimate()
  const body = await readChunks(message, limits, (chunk) => {
    estimate.add(chunk)
    return findDocumentError(message, estimate)
  })
  return { body, hold: await openDocumentHold(message, estimate) }
}

/** Reads and parses a JSON body; see {@link readDocument} and {@link parseJsonBody}. */
export async function readJson(message: IncomingMessage, limits: BodyLimits): Promise<unknown> {
  const { body, hold } = await readDocument(message, limits)
  try {
    return parseJsonBody(body)
  } finally {
    closeAnswerHold(message, hold)
  }
}
