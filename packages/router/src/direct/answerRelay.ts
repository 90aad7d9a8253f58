/**
 * Passing a backend server's answer on to the caller. Whole answers are collected first, so that a
 * broken one can still become a repeated send or a plain failure; events of a stream go on at once.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { HeaderList } from './protocols.js'
import { createEventCutter, type EventCutter } from './eventCutter.js'

/** How reading an answer's body ended. */
export type BodyEnd = 'whole' | 'broken'

/** Watches whether an answer that ends with its connection ends in order. */
interface EndWatch {
  isWhole(): boolean
}

/**
 * Watches the end of an answer. One that has neither a length nor chunks ends with its connection,
 * and Node takes a reset for such an end: by an error that it swallows, or, where the reset comes
 * together with the last bytes, as an end without any error. Only a socket that was reset has lost
 * the address of its other side by then.
 */
function watchEnd(message: IncomingMessage): EndWatch {
  const { 'content-length': length, 'transfer-encoding': coding } = message.headers
  const isFramed = length !== undefined || coding !== undefined
  const { socket } = message
  let isReset = false
  if (!isFramed) {
    socket.prependOnceListener('end', () => {
      isReset = socket.remoteAddress === undefined
    })
  }
  return {
    isWhole: () => message.complete && (isFramed || (!isReset && socket.errored === null)),
  }
}

/** Collects a body whole; undefined when it broke off. */
export function readAnswerBody(message: IncomingMessage): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    const watch = watchEnd(message)
    message.on('data', (chunk: Buffer) => chunks.push(chunk))
    message.on('end', () => resolve(watch.isWhole() ? Buffer.concat(chunks) : undefined))
    message.on('error', () => resolve(undefined))
    message.on('close', () => resolve(undefined))
  })
}

/** Writes a head with fields that may occur more than once. */
function writeHead(response: ServerResponse, status: number, headers: HeaderList): void {
  response.writeHead(
    status,
    headers.flatMap(([name, value]) => [name, value]),
  )
}

/** Sends a collected answer. */
export function sendWholeAnswer(
  response: ServerResponse,
  status: number,
  headers: HeaderList,
  body: Buffer,
): void {
  const isLength = ([name]: readonly [string, string]) => name.toLowerCase() === 'content-length'
  const fields = headers.filter((field) => !isLength(field))
  writeHead(response, status, [...fields, ['Content-Length', String(body.length)]])
  response.end(body)
}

/** One caller's stream over all the sends that feed it. */
export interface StreamRelay {
  /** Whether the caller has seen the head. */
  hasBegun(): boolean
  /** Id of the last whole event that was passed on; undefined before the first. */
  lastId(): string | undefined
  /** Passes on the events of one answer until it ends or breaks off. */
  relay(message: IncomingMessage, headers: HeaderList): Promise<BodyEnd>
  /** Ends the stream after its last event. */
  finish(): void
}

/** Options of {@link createStreamRelay}. */
export interface StreamRelayOptions {
  readonly response: ServerResponse
  /** Whether a broken answer may be continued, so that only whole events may be passed on. */
  readonly isResumable: boolean
  /** Called at each part that is passed on. */
  readonly onPart: () => void
}

/** Creates the relay of a stream that has not begun. */
export function createStreamRelay(options: StreamRelayOptions): StreamRelay {
  const { response, isResumable, onPart } = options
  let lastId: string | undefined
  let hasBegun = false

  const pass = (message: IncomingMessage, headers: HeaderList, data: Buffer) => {
    if (data.length === 0) return
    if (!hasBegun) {
      hasBegun = true
      writeHead(response, message.statusCode ?? 200, headers)
    }
    onPart()
    if (response.write(data)) return
    message.pause()
    response.once('drain', () => message.resume())
  }
  const cut = (cutter: EventCutter, chunk: Buffer) => {
    const whole = cutter.add(chunk)
    lastId = cutter.lastId() ?? lastId
    return isResumable ? whole : chunk
  }
  return {
    hasBegun: () => hasBegun,
    lastId: () => lastId,
    relay: (message, headers) =>
      new Promise((resolve) => {
        const cutter = createEventCutter()
        const watch = watchEnd(message)
        message.on('data', (chunk: Buffer) => pass(message, headers, cut(cutter, chunk)))
        message.on('end', () => {
          const isWhole = watch.isWhole() && !cutter.hasPart()
          if (isWhole && !hasBegun) {
            hasBegun = true
            writeHead(response, message.statusCode ?? 200, headers)
          }
          resolve(isWhole ? 'whole' : 'broken')
        })
        message.on('error', () => resolve('broken'))
        message.on('close', () => resolve('broken'))
      }),
    finish: () => response.end(),
  }
}

/** Whether the caller's end of the connection is closed; the response learns of it some turns later. */
export function isCallerGone(response: ServerResponse): boolean {
  return response.destroyed || response.socket?.readableEnded === true
}
