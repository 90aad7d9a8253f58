/** Reading of the frames of an attempt, with a check that none is missing, repeated or late. */
import type { IncomingMessage } from 'node:http'
import { readTextStream, type Invariants } from '@spoolgate/core'
import { FRAME_EVENTS, type BodyFrame, type EndFrame, type HeadFrame } from '@spoolgate/routing'
import { createParser, type EventSourceMessage } from 'eventsource-parser'

/** Takes the parts of an answer as they arrive. */
export interface ResponseSink {
  onHead(head: HeadFrame): void
  onData(data: string): void
  onBody(body: BodyFrame): void
  /** Passes on what came in one piece; returns a promise when the caller must catch up first. */
  flush(): Promise<void> | undefined
}

/** Progress of one attempt over all its connections. */
export interface FrameCursor {
  /** Number of the last frame that was taken. */
  sequence: number
  /** Last frame, once it has arrived. */
  end: EndFrame | undefined
}

/** Creates the progress of an attempt that has not begun. */
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
  // Frames that are already known come again when a connection is resumed.
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

/** Reads frames until the connection ends; `cursor.end` says whether the answer did. */
export async function readFrames(
  message: IncomingMessage,
  cursor: FrameCursor,
  sink: ResponseSink,
  invariants: Invariants,
): Promise<void> {
  const parser = createParser({
    onEvent: (event) => handleFrame(event, cursor, sink, invariants),
  })
  await readTextStream(message, (text) => {
    parser.feed(text)
    return sink.flush()
  })
}
