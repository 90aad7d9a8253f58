/** Where answers go: on to a caller as they come, or into memory until they are whole. */
import type { ServerResponse } from 'node:http'
import { formatErrorBody, type SpoolgateError } from '@spoolgate/core'
import type { BodyFrame, HeadFrame } from '@spoolgate/routing'
import type { ResponseSink } from './frameReader.js'
import { formatContinuedChunk, type DeliveredStream } from './continuation.js'

/** An answer held in memory. */
export interface BufferedResponse {
  readonly head: HeadFrame
  readonly body: Buffer
}

/** Sink that keeps the answer until it is whole. */
export interface BufferSink extends ResponseSink {
  /** The whole answer; undefined before a head has arrived. */
  findResponse(): BufferedResponse | undefined
}

const EVENT_STREAM = 'text/event-stream'

function decodeBody(body: BodyFrame): Buffer {
  return body.base64 === undefined
    ? Buffer.from(body.text ?? '')
    : Buffer.from(body.base64, 'base64')
}

/** Formats an event as callers read it. */
function formatEvent(data: string): string {
  return `data: ${data}\n\n`
}

/** Creates a sink in memory. */
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

/** Sends a whole answer to a caller. */
export function sendBufferedResponse(response: ServerResponse, buffered: BufferedResponse): void {
  response.writeHead(buffered.head.status, {
    'content-type': buffered.head.contentType,
    'content-length': buffered.body.length,
  })
  response.end(buffered.body)
}

/** Sink that relays a stream to a caller. */
export interface StreamSink extends ResponseSink {
  /** Payloads that the caller was sent. */
  readonly delivered: readonly string[]
  /** True once the caller has seen the head of a stream. */
  hasBegun(): boolean
  /** Starts the next attempt; from now on parts repeat the identity of what was delivered. */
  resumeFrom(delivered: DeliveredStream): void
  /** Ends the answer after its last part. */
  finish(): void
  /** Ends the answer with an explicit error event. */
  fail(error: SpoolgateError): void
}

/** Options of {@link createStreamSink}. */
export interface StreamSinkOptions {
  readonly response: ServerResponse
  /** Called when the first part of the answer is passed on. */
  readonly onFirstToken: () => void
}

/** Creates a sink that relays to a caller. Answers that are not streams are kept until whole. */
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
