/** Reading of HTTP bodies with a bound on size and on time. */
import type { IncomingMessage } from 'node:http'
import { SpoolgateError } from './errors.js'

/** Bounds on a body that is read whole. */
export interface BodyLimits {
  /** Largest body in bytes. */
  readonly maxBytes: number
  /** Longest time from the first byte to the last, in milliseconds. */
  readonly timeoutMs: number
}

/** Bounds between processes of the fleet. */
export const INTERNAL_BODY_LIMITS: BodyLimits = { maxBytes: 64 * 1024 * 1024, timeoutMs: 30_000 }

/**
 * Reads a body whole.
 * @throws SpoolgateError `oversizeBody`, `bodyTimeout`, or `malformedBody` when the sender left.
 */
export function readBody(message: IncomingMessage, limits: BodyLimits): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let size = 0
    const fail = (error: SpoolgateError) => {
      clearTimeout(timeout)
      message.removeAllListeners('data')
      message.resume()
      reject(error)
    }
    const timeout = setTimeout(() => {
      fail(new SpoolgateError('bodyTimeout', `send the body within ${limits.timeoutMs} ms`))
    }, limits.timeoutMs)
    message.on('data', (chunk: Buffer) => {
      size += chunk.length
      chunks.push(chunk)
      if (size <= limits.maxBytes) return
      fail(new SpoolgateError('oversizeBody', `send at most ${limits.maxBytes} bytes`))
    })
    message.on('end', () => {
      clearTimeout(timeout)
      resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks))
    })
    const failCut = () =>
      fail(new SpoolgateError('malformedBody', 'the body was cut; send it again'))
    message.on('error', failCut)
    message.on('aborted', failCut)
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
