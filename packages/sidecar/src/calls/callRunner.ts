/** Runs one call against the backend server and turns its answer into frames. */
import type { IncomingMessage } from 'node:http'
import {
  ConnectionError,
  closeBody,
  createEventParser,
  BODY_LIMITS,
  readBody,
  readTextStream,
  type HttpClient,
} from '@spoolgate/core'
import type { BodyFrame, HeadFrame } from '@spoolgate/routing'
import type { BackendAdapter } from '../backend/adapters.js'
import type { Call } from './call.js'

/** Options of {@link runCall}. */
export interface RunCallOptions {
  readonly call: Call
  readonly adapter: BackendAdapter
  /** Base URL of the backend server. */
  readonly url: string
  readonly body: Buffer
  readonly client: HttpClient
  /** Called at the first part of the answer. */
  readonly onFirstToken: () => void
}

/** Last event of a stream in the callers' API. */
const DONE_MARKER = '[DONE]'
const EVENT_STREAM = 'text/event-stream'

function toBodyFrame(body: Buffer): BodyFrame {
  const text = body.toString('utf8')
  return Buffer.from(text, 'utf8').equals(body) ? { text } : { base64: body.toString('base64') }
}

/** Relays an event stream from its first event on; returns whether it ended with its final marker. */
async function relayEvents(
  message: IncomingMessage,
  head: HeadFrame,
  options: RunCallOptions,
): Promise<boolean> {
  const { call, onFirstToken } = options
  let isFirst = true
  let isDone = false
  const parser = createEventParser({
    onEvent: (event) => {
      if (isFirst) {
        call.sendHead(head)
        onFirstToken()
      }
      isFirst = false
      if (event.data === DONE_MARKER) isDone = true
      call.sendData(event.data)
    },
  })
  const broken = await readTextStream(message, (text) => parser.feed(text))
  if (broken) throw broken
  return isDone
}

async function relayAnswer(message: IncomingMessage, options: RunCallOptions): Promise<void> {
  const { call, adapter } = options
  const status = message.statusCode ?? 0
  if (status >= adapter.failureStatus) {
    closeBody(message)
    call.finish({ outcome: 'failed', reason: `backend server answered ${status}` })
    return
  }
  const contentType = message.headers['content-type'] ?? 'application/octet-stream'
  const head: HeadFrame = { status, contentType }
  if (contentType.startsWith(EVENT_STREAM)) {
    const isDone = await relayEvents(message, head, options)
    if (isDone) call.finish({ outcome: 'finished' })
    else call.finish({ outcome: 'failed', reason: 'stream ended without its final marker' })
    return
  }
  const body = await readBody(message, BODY_LIMITS.call)
  options.onFirstToken()
  call.sendHead(head)
  call.sendBody(toBodyFrame(body))
  call.finish({ outcome: 'finished' })
}

/** Runs a call to its end; never rejects. */
export async function runCall(options: RunCallOptions): Promise<void> {
  const { call, client, url, body } = options
  const { header } = call
  try {
    const message = await client.send({
      method: header.method,
      url: `${url}${header.path}`,
      headers: { 'content-type': header.contentType, 'x-request-id': header.request },
      body,
      signal: call.signal,
      // A kept-alive connection may be closing at the other end, which leaves the outcome unknown;
      // an unrepeatable call therefore gets a new connection.
      isFresh: header.dispatch !== undefined,
    })
    await relayAnswer(message, options)
  } catch (cause) {
    if (call.outcome()) return
    const reason = call.signal.aborted ? 'cancelled' : String(cause)
    const notRun = cause instanceof ConnectionError && cause.neverSent
    call.finish({ outcome: 'failed', reason, notRun })
  }
}
