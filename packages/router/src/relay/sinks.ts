/** Response sinks: one forwards a response to the caller, the other buffers it in memory. */
import type { ServerResponse } from 'node:http'
import { formatErrorBody, type SpoolgateError } from '@spoolgate/core'
import type { BodyFrame, HeadFrame } from '@spoolgate/routing'
import type { ResponseSink } from './frameReader.js'
import { formatContinuedChunk, type DeliveredStream } from './continuation.js'

/** A complete response in memory. */
export interface BufferedResponse {
  readonly head: HeadFrame
  readonly body: Buffer
}

/** Sink that buffers a response in memory. */
export interface BufferSink extends ResponseSink {
  /** Returns the buffered response; undefined before the head has arrived. */
  findResponse(): BufferedResponse | undefined
}

const EVENT_STREAM = 'text/event-stream'

function decodeBody(body: BodyFrame): Buffer {
  return body.base64 === undefined
    ? Buffer.from(body.text ?? '')
    : Buffer.from(body.base64, 'base64')
}

/** Formats a server-sent event. */
function formatEvent(data: string): string {
  return `data: ${data}\n\n`
}

/** Creates a sink that buffers in memory. */
export function createBufferSink(): BufferSink {
  const chunks: Buffer[] = []
  let head: HeadFrame | undefined
  return {
    onHead: (receivedHead) => {
      head = receivedHead
    },
    onData: (data) => void chunks.push(Buffer.from(formatEvent(data))),
    onBody: (body) => void chunks.push(decodeBody(body)),
    flush: () => undefined,
    findResponse: () => head && { head, body: Buffer.concat(chunks) },
  }
}

/** Sends a complete response to the caller. */
export function sendBufferedResponse(response: ServerResponse, buffered: BufferedResponse): void {
  response.writeHead(buffered.head.status, {
    'content-type': buffered.head.contentType,
    'content-length': buffered.body.length,
  })
  response.end(buffered.body)
}

/** Sink that relays the response of one or more attempts to the caller. */
export interface StreamSink extends ResponseSink {
  /** Event payloads passed on to the caller. */
  readonly delivered: readonly string[]
  /** Whether the head of a stream has been sent to the caller. */
  hasBegun(): boolean
  /** Prepares for the next attempt, whose chunks repeat the id of the delivered stream. */
  resumeFrom(delivered: DeliveredStream): void
  /** Ends the response to the caller. */
  finish(): void
  /** Ends the stream with an error event. */
  fail(error: SpoolgateError): void
}

/** Options of {@link createStreamSink}. */
export interface StreamSinkOptions {
  readonly response: ServerResponse
  /** Called when the first part of the response is passed on. */
  readonly onFirstToken: () => void
}

/** Creates a sink that relays to the caller. Responses other than streams are buffered until complete. */
export function createStreamSink(options: StreamSinkOptions): StreamSink {
  const { response, onFirstToken } = options
  const delivered: string[] = []
  let pending = ''
  let hasBegun = false
  let resumedFrom: DeliveredStream | undefined
  let bufferSink = createBufferSink()
  let isBuffered = false

  const writePending = () => {
    if (pending === '') return true
    const text = pending
    pending = ''
    return response.write(text)
  }
  const waitUntilDrained = () =>
    new Promise<void>((resolve) => {
      response.once('drain', resolve)
      response.once('close', resolve)
    })
  return {
    delivered,
    hasBegun: () => hasBegun,
    resumeFrom: (from) => {
      resumedFrom = from
      bufferSink = createBufferSink()
    },
    onHead: (head) => {
      isBuffered = !head.contentType.startsWith(EVENT_STREAM)
      if (isBuffered) return bufferSink.onHead(head)
      if (hasBegun) return
      hasBegun = true
      response.writeHead(head.status, {
        'content-type': EVENT_STREAM,
        'cache-control': 'no-store',
      })
    },
    onData: (data) => {
      if (delivered.length === 0) onFirstToken()
      const payload = resumedFrom ? formatContinuedChunk(data, resumedFrom) : data
      delivered.push(payload)
      pending += formatEvent(payload)
    },
    onBody: (body) => {
      onFirstToken()
      bufferSink.onBody(body)
    },
    flush: () => (writePending() || response.destroyed ? undefined : waitUntilDrained()),
    finish: () => {
      const buffered = bufferSink.findResponse()
      if (isBuffered && buffered) return sendBufferedResponse(response, buffered)
      writePending()
      response.end()
    },
    fail: (error) => {
      pending += formatEvent(JSON.stringify(formatErrorBody(error)))
      writePending()
      response.end()
    },
  }
}
