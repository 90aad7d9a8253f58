/** Reading of HTTP bodies with bounds on size, time and memory. */
import type { IncomingMessage } from 'node:http'
import { ConnectionError, SpoolgateError } from './errors.js'
import { findMessageHold, type MemoryHold } from './memoryBudget.js'
import { CUT_REASONS, watchCompletion, type CutReason } from './responseCompletion.js'

/** Bounds on a body that is read whole. */
export interface BodyLimits {
  /** Largest body in bytes. */
  readonly maxBytes: number
  /** Longest time from the first byte to the last, in milliseconds. */
  readonly timeoutMs: number
}

/** Bounds between processes of the fleet. */
export const INTERNAL_BODY_LIMITS: BodyLimits = { maxBytes: 64 * 1024 * 1024, timeoutMs: 30_000 }

/** Bounds on draining an unneeded body; beyond them its connection is closed. */
const MAX_DISCARDED_BYTES = 256 * 1024
const DISCARD_MS = 1_000
/** Seconds after which a sender that found no room may try again. */
const ROOM_RETRY_AFTER_S = 0.5

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
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    const hold = findMessageHold(message)
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
    const failRoom = () => {
      const remedy = 'too much is being sent to this process at the moment; try again'
      fail(new SpoolgateError('noRoom', remedy, { retryAfterSeconds: ROOM_RETRY_AFTER_S }))
    }
    /** Holds the sender back until there is room. */
    const waitForRoom = async (held: MemoryHold) => {
      message.pause()
      const isHeld = await held.waitForRoom(size)
      if (isSettled) held.resize(0)
      else if (isHeld) message.resume()
      else failRoom()
    }
    const timeout = setTimeout(failLate, limits.timeoutMs)
    hold?.setEviction(failLate)
    message.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size > limits.maxBytes) {
        fail(new SpoolgateError('oversizeBody', `send at most ${limits.maxBytes} bytes`))
        return
      }
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

/** Reads and parses a JSON body. */
export async function readJson(message: IncomingMessage, limits: BodyLimits): Promise<unknown> {
  return parseJsonBody(await readBody(message, limits))
}
