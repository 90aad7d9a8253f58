/**
 * One call with the frames of its answer. Frames are kept until the call is forgotten, so that a
 * router whose connection broke, or another one, can read on from any sequence number.
 */
import type { ServerResponse } from 'node:http'
import type { Invariants } from '@spoolgate/core'
import {
  formatFrame,
  FRAME_EVENTS,
  type BodyFrame,
  type CallHeader,
  type EndFrame,
  type HeadFrame,
} from '@spoolgate/routing'

/** A call in progress or finished. */
export interface Call {
  readonly header: CallHeader
  /** Aborted when the call is cancelled. */
  readonly signal: AbortSignal
  /** How it ended; undefined while it runs. */
  outcome(): EndFrame | undefined
  sendHead(head: HeadFrame): void
  sendData(data: string): void
  sendBody(body: BodyFrame): void
  /** Adds the last frame; nothing may follow. */
  finish(end: EndFrame): void
  cancel(): void
  /** Streams all frames after `sequence` to a reader, and then each new one. */
  attach(response: ServerResponse, sequence: number): void
  readers(): number
}

/** Options of {@link createCall}. */
export interface CallOptions {
  readonly header: CallHeader
  readonly invariants: Invariants
  /** Called whenever the last reader has left or the call has ended. */
  readonly onIdle: () => void
}

/** Creates a call without frames. */
export function createCall(options: CallOptions): Call {
  const frames: string[] = []
  const readers = new Set<ServerResponse>()
  const cancelling = new AbortController()
  let outcome: EndFrame | undefined

  const addFrame = (event: string | undefined, data: string) => {
    options.invariants.assert('finalMarkerLast', outcome === undefined, () => ({
      request: options.header.request,
    }))
    if (outcome) return
    const frame = formatFrame(frames.length + 1, event, data)
    frames.push(frame)
    for (const reader of readers) reader.write(frame)
  }
  const removeReader = (reader: ServerResponse) => {
    if (readers.delete(reader) && readers.size === 0) options.onIdle()
  }

  return {
    header: options.header,
    signal: cancelling.signal,
    outcome: () => outcome,
    sendHead: (head) => addFrame(FRAME_EVENTS.head, JSON.stringify(head)),
    sendData: (data) => addFrame(undefined, data),
    sendBody: (body) => addFrame(FRAME_EVENTS.body, JSON.stringify(body)),
    finish: (end) => {
      addFrame(FRAME_EVENTS.end, JSON.stringify(end))
      outcome = end
      for (const reader of readers) reader.end()
      readers.clear()
      options.onIdle()
    },
    cancel: () => cancelling.abort(),
    attach: (response, sequence) => {
      const missed = frames.slice(sequence).join('')
      if (missed !== '') response.write(missed)
      if (outcome) {
        response.end()
        return
      }
      readers.add(response)
      response.once('close', () => removeReader(response))
    },
    readers: () => readers.size,
  }
}
