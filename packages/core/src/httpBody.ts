/** Reading of HTTP bodies with bounds on size, time and memory. */
import type { IncomingMessage } from 'node:http'
import {
  BLOCK_OBJECT_BYTES,
  createBodyBuffer,
  decodeBodyText,
  joinBody,
  type ReceivedBody,
} from './bodyBuffer.js'
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

/** Bounds on draining an unneeded body, each of whose pieces counts with its objects; beyond them its connection is closed. */
const MAX_DISCARDED_BYTES = 256 * 1024
const DISCARD_MS = 1_000

const abandonments = new WeakMap<IncomingMessage, () => void>()
const refusals = new WeakMap<IncomingMessage, Error>()

/** Sets why the rest of a body is not taken; its reader fails with this error once the body breaks off. */
export function installBodyRefusal(message: IncomingMessage, refusal: Error): void {
  refusals.set(message, refusal)
}

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
    size += chunk.length + BLOCK_OBJECT_BYTES
    if (size > MAX_DISCARDED_BYTES) abandon()
  })
  message.on('error', () => {})
  for (const end of ['end', 'close'] as const) message.once(end, () => clearTimeout(timeout))
  message.resume()
}

/** Creates the error of a message that broke off: the sender of a request may repeat it, a response is lost. */
function createCutError(message: IncomingMessage, cut: CutReason): Error {
  const refusal = refusals.get(message)
  if (refusal) return refusal
  const { statusCode } = message
  if (typeof statusCode === 'number') return new ConnectionError(CUT_REASONS[cut], false, false)
  return new SpoolgateError('malformedBody', 'the body was cut; send it again')
}

/** Reads the length that a message declares, in bytes; undefined for a body in chunks. */
function readDeclaredBytes({ headers }: IncomingMessage): number | undefined {
  const length = headers['content-length']
  return length === undefined ? undefined : Number(length)
}

/**
 * Reads a body whole. It counts in the hold of its message, if there is one, with all that its blocks take.
 * @throws SpoolgateError `oversizeBody`, `bodyTimeout`, `noRoom`, or `malformedBody` when the sender of a request left;
 *   ConnectionError when a response broke off.
 */
export function readBodyBlocks(
  message: IncomingMessage,
  limits: BodyLimits,
): Promise<ReceivedBody> {
  return readChunks(message, limits, () => undefined)
}

/** Reads a body as {@link readBodyBlocks} and joins it, for which there must be room as well. */
export async function readBody(message: IncomingMessage, limits: BodyLimits): Promise<Buffer> {
  return joinHeldBody(message, await readBodyBlocks(message, limits))
}

/**
 * Joins the body of a message once there is room for it beside its blocks.
 * @throws SpoolgateError `noRoom`; ConnectionError for an answer.
 */
export async function joinHeldBody(message: IncomingMessage, body: ReceivedBody): Promise<Buffer> {
  const hold = findMessageMemory(message)?.body
  const heldBytes = hold?.bytes() ?? 0
  // The hold of an answer is closed with it, that of a request with its response.
  if (body.blocks.length < 2 || !hold || heldBytes === 0) return joinBody(body)
  if (!(await hold.waitForRoom(heldBytes + body.length))) throw createRoomError(message)
  const joined = joinBody(body)
  hold.resize(body.length)
  return joined
}

/** Reads a body whole, unless a piece of it shows that it cannot be used. */
function readChunks(
  message: IncomingMessage,
  limits: BodyLimits,
  findProblem: (chunk: Buffer) => Error | undefined,
): Promise<ReceivedBody> {
  return new Promise((resolve, reject) => {
    const received = createBodyBuffer(readDeclaredBytes(message))
    const hold = findMessageMemory(message)?.body
    const watch = watchCompletion(message)
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
      received.take()
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
      const isHeld = await held.waitForRoom(received.heldBytes())
      if (isSettled) held.resize(0)
      else if (isHeld) message.resume()
      else fail(createRoomError(message))
    }
    const timeout = setTimeout(failLate, limits.timeoutMs)
    hold?.setEviction(failLate)
    message.on('data', (chunk: Buffer) => {
      if (received.size() + chunk.length > limits.maxBytes) return failSize()
      const problem = findProblem(chunk)
      if (problem) return fail(problem)
      received.append(chunk)
      const bytes = received.heldBytes()
      if (hold && bytes !== hold.bytes() && !hold.resize(bytes)) void waitForRoom(hold)
    })
    const failCut = () => fail(createCutError(message, watch.findCut() ?? 'ended'))
    message.on('end', () => {
      if (isSettled) return
      if (watch.findCut() !== undefined) return failCut()
      settle()
      resolve(received.take())
    })
    for (const event of ['error', 'aborted', 'close'] as const) message.on(event, failCut)
    if (message.aborted) failCut()
    else if ((readDeclaredBytes(message) ?? 0) > limits.maxBytes) failSize()
  })
}

/**
 * Parses a JSON body.
 * @throws SpoolgateError `malformedBody`.
 */
export function parseJsonBody(body: Buffer | ReceivedBody): unknown {
  try {
    return JSON.parse(Buffer.isBuffer(body) ? body.toString('utf8') : decodeBodyText(body))
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause)
    throw new SpoolgateError('malformedBody', `send a body of valid JSON: ${reason}`)
  }
}

/** The text of a document, for which there is room in the heap. */
export interface HeldDocument {
  readonly body: ReceivedBody
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
