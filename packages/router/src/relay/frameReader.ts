/** Reads the frames of an attempt and checks that they arrive once each and in order. */
import type { IncomingMessage } from 'node:http'
import {
  createEventParser,
  readTextStream,
  type EventSourceMessage,
  type Invariants,
} from '@spoolgate/core'
import { FRAME_EVENTS, type BodyFrame, type EndFrame, type HeadFrame } from '@spoolgate/routing'

/** Receives the frames of a response as they arrive. */
export interface ResponseSink {
  onHead(head: HeadFrame): void
  onData(data: string): void
  onBody(body: BodyFrame): void
  /** Writes out what one read delivered; returns a promise if the caller applies backpressure. */
  flush(): Promise<void> | undefined
}

/** Read position of one attempt across all its connections. */
export interface FrameCursor {
  /** Sequence number of the last frame handled. */
  sequence: number
  /** End frame, once it has arrived. */
  end: EndFrame | undefined
}

/** Creates the cursor of an attempt that has not received any frame. */
export function createFrameCursor(): FrameCursor {
  return { sequence: 0, end: undefined }
}

function handleFrame(
  event: EventSourceMessage,
  cursor: FrameCursor,
  sink: ResponseSink,
  invariants: Invariants,
): void {
  const sequence = Number(event.id)
  // A resumed connection may repeat frames that were already handled.
  if (sequence <= cursor.sequence) return
  invariants.assert('sequenceGapless', sequence === cursor.sequence + 1, () => ({
    expected: cursor.sequence + 1,
    found: sequence,
  }))
  cursor.sequence = sequence
  if (event.event === undefined) sink.onData(event.data)
  else if (event.event === FRAME_EVENTS.head) sink.onHead(JSON.parse(event.data) as HeadFrame)
  else if (event.event === FRAME_EVENTS.body) sink.onBody(JSON.parse(event.data) as BodyFrame)
  else if (event.event === FRAME_EVENTS.end) cursor.end = JSON.parse(event.data) as EndFrame
}

/** Reads frames until the connection ends; `cursor.end` is set if the response is complete. */
export async function readFrames(
  message: IncomingMessage,
  cursor: FrameCursor,
  sink: ResponseSink,
  invariants: Invariants,
): Promise<void> {
  const parser = createEventParser({
    onEvent: (event) => handleFrame(event, cursor, sink, invariants),
  })
  await readTextStream(message, (text) => {
    parser.feed(text)
    return sink.flush()
  })
}
