/**
 * Relays the response of a backend server to the caller. A response that is not a stream is buffered first, so that a
 * truncated one can still be retried or turned into an error response. Events of a stream are forwarded as they arrive.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { pipeline } from 'node:stream/promises'
import type { RegisteredServer } from '@spoolgate/control'
import {
  createBodyBuffer,
  isBodiless,
  isFramed,
  sendBlocks,
  watchCompletion,
  type ConnectionGuard,
  type MemoryBudget,
  type MemoryHold,
  type ReceivedBody,
  type RejectedInputs,
} from '@spoolgate/core'
import type { HeaderList } from './protocols.js'
import { describeBodyCut, type BrokenResponse } from './responseCut.js'
import { createSseEventBuffer, type SseEventBuffer } from './sseEventBuffer.js'

/** A body that was read whole, or why it was not. */
export type ResponseBody =
  | { readonly kind: 'whole'; readonly body: ReceivedBody }
  | (BrokenResponse & { readonly kind: 'broken' })

/** Where a body counts, and how long it may become. */
export interface BodyMemory {
  readonly hold: MemoryHold
  readonly maxBytes: number
}

/** Reads the whole body, unless it is truncated, too long or finds no room; then its connection is closed. */
export function readResponseBody(
  message: IncomingMessage,
  { hold, maxBytes }: BodyMemory,
): Promise<ResponseBody> {
  return new Promise((resolve) => {
    const received = createBodyBuffer()
    const watch = watchCompletion(message)
    const failBroken = (broken: BrokenResponse) => {
      received.take()
      hold.resize(0)
      message.destroy()
      resolve({ kind: 'broken', ...broken })
    }
    const fail = (reason: string) => failBroken({ reason })
    const waitForRoom = async () => {
      message.pause()
      if (await hold.waitForRoom(received.heldBytes())) message.resume()
      else fail('there is no room for the response at the moment')
    }
    message.on('data', (chunk: Buffer) => {
      if (received.size() + chunk.length > maxBytes)
        return fail(`the response is longer than ${maxBytes} bytes`)
      received.append(chunk)
      const bytes = received.heldBytes()
      if (bytes !== hold.bytes() && !hold.resize(bytes)) void waitForRoom()
    })
    const failCut = () => failBroken(describeBodyCut(watch))
    message.on('end', () => {
      if (watch.findCut() === undefined) resolve({ kind: 'whole', body: received.take() })
      else failCut()
    })
    for (const event of ['error', 'close'] as const) message.on(event, failCut)
  })
}

/**
 * Relays a body of a known length that is too long to be held. A body that breaks off closes the caller's connection.
 * @returns why it broke off; undefined for one that was relayed whole
 */
export async function relayLongBody(
  message: IncomingMessage,
  headers: HeaderList,
  response: ServerResponse,
): Promise<BrokenResponse | undefined> {
  const length: [string, string] = ['Content-Length', String(message.headers['content-length'])]
  writeHead(response, message.statusCode ?? 200, [...headers, length])
  try {
    await pipeline(message, response)
    return undefined
  } catch {
    const watch = watchCompletion(message)
    const { cut } = describeBodyCut(watch)
    // A whole message broke off at the caller.
    return { reason: LONG_CUT, cut: watch.findCut() && cut }
  }
}

const LONG_CUT = 'a long response broke off while it was relayed'

/** Writes the status line and headers; a header field may occur more than once. */
function writeHead(response: ServerResponse, status: number, headers: HeaderList): void {
  response.writeHead(
    status,
    headers.flatMap(([name, value]) => [name, value]),
  )
}

/** Sends a buffered response with the length of its body; one that has none by its kind keeps the length that it states. */
export function sendBufferedResponse(
  response: ServerResponse,
  message: IncomingMessage,
  headers: HeaderList,
  body: ReceivedBody,
): void {
  const isLength = ([name]: readonly [string, string]) => name.toLowerCase() === 'content-length'
  const fields = headers.filter((field) => !isLength(field))
  const length = isBodiless(message) ? message.headers['content-length'] : String(body.length)
  if (length !== undefined) fields.push(['Content-Length', length])
  writeHead(response, message.statusCode ?? 200, fields)
  sendBlocks(response, body)
}

/**
 * Closes the connection of a response that cannot be completed. Callers of HTTP/1.0 take the end of the connection for
 * that of the response unless it is reset.
 */
export function closeBrokenResponse(response: ServerResponse): void {
  const { socket, req } = response
  if (req.httpVersion === '1.0' && socket && !socket.writableEnded) socket.resetAndDestroy()
  else response.destroy()
}

/** A stream has at least one event; one that only its connection ends shows the loss of all of them in no other way. */
const EMPTY_STREAM: BrokenResponse = {
  reason: 'the response stream ended with its connection before its first event',
  cut: { part: 'body', end: 'ended' },
}

/** The response stream of one caller, across all attempts that supply its events. */
export interface StreamRelay {
  /** Whether the response head has been sent to the caller. */
  hasBegun(): boolean
  /** ID of the last complete event that was forwarded; undefined before the first. */
  lastEventId(): string | undefined
  /**
   * Forwards the events of one backend response, which `server` sent, until it ends or breaks off. Resolves to why it
   * broke off; undefined for a whole one.
   */
  relay(
    message: IncomingMessage,
    headers: HeaderList,
    server: RegisteredServer,
  ): Promise<BrokenResponse | undefined>
  /** Ends the response to the caller. */
  finish(): void
}

/** What all relays of a router share. */
export interface RelayContext {
  /** Runs the listeners of the responses. */
  readonly guard: ConnectionGuard
  readonly rejectedInputs: Pick<RejectedInputs, 'record'>
  /** Where parts of events count, and what a slow caller has not read. */
  readonly memory: Pick<MemoryBudget, 'open'>
}

/** Options of {@link createStreamRelay}. */
export interface StreamRelayOptions {
  readonly response: ServerResponse
  /** Whether another attempt may resume a broken stream; if so, only complete events are forwarded. */
  readonly isResumable: boolean
  /** Called with the sender of each chunk before it is forwarded. */
  readonly onChunk: (server: RegisteredServer) => void
}

/** Creates a relay whose response has not started. */
export function createStreamRelay(
  { guard, rejectedInputs, memory }: RelayContext,
  { response, isResumable, onChunk }: StreamRelayOptions,
): StreamRelay {
  let lastId: string | undefined
  let hasBegun = false

  /** Sends the head of the first response that gives events. */
  const startResponse = (message: IncomingMessage, headers: HeaderList) => {
    if (hasBegun) return
    writeHead(response, message.statusCode ?? 200, headers)
    hasBegun = true
  }
  const forward = (
    message: IncomingMessage,
    headers: HeaderList,
    server: RegisteredServer,
    hold: MemoryHold,
    data: Buffer,
  ) => {
    if (data.length === 0) return
    onChunk(server)
    startResponse(message, headers)
    if (response.write(data)) return
    message.pause()
    hold.setEviction(() => closeBrokenResponse(response))
    response.once('drain', () => {
      hold.setEviction(undefined)
      message.resume()
    })
  }
  const takeForwardable = (eventBuffer: SseEventBuffer, chunk: Buffer) => {
    const completeEvents = eventBuffer.add(chunk)
    lastId = eventBuffer.lastEventId() ?? lastId
    return isResumable ? completeEvents : chunk
  }
  return {
    hasBegun: () => hasBegun,
    lastEventId: () => lastId,
    relay: (message, headers, server) =>
      new Promise((resolve) => {
        const eventBuffer = createSseEventBuffer({ isResumable })
        const watch = watchCompletion(message)
        const hold = memory.open()
        const settle = (broken?: BrokenResponse) => {
          hold.close()
          resolve(broken)
        }
        const settleCut = () => settle(describeBodyCut(watch))
        const abandon = (reason: string) => {
          message.destroy()
          settle({ reason })
        }
        let isEmpty = true
        const handleData = (chunk: Buffer) => {
          isEmpty = false
          forward(message, headers, server, hold, takeForwardable(eventBuffer, chunk))
          const problem = eventBuffer.findProblem()
          if (problem !== undefined) {
            rejectedInputs.record({ source: 'streamEvent', from: server.id, reason: problem })
            return abandon(problem)
          }
          const heldBytes = eventBuffer.partialBytes() + response.writableLength
          if (heldBytes !== hold.bytes() && !hold.resize(heldBytes))
            abandon('there is no room for a part of an event at the moment')
        }
        const handleEnd = () => {
          if (watch.findCut() !== undefined || eventBuffer.hasPartialEvent()) return settleCut()
          if (isEmpty && !isFramed(message)) return settle(EMPTY_STREAM)
          startResponse(message, headers)
          settle()
        }
        const start = () => {
          message.on('data', guard.wrap('response.data', handleData, abandon))
          message.on('end', guard.wrap('response.end', handleEnd, abandon))
        }
        for (const event of ['error', 'close'] as const) message.on(event, settleCut)
        // Without a byte sent, a stream that breaks off behind another response of its connection can be retried or refused.
        if (response.socket === null) response.once('socket', start)
        else start()
      }),
    finish: () => response.end(),
  }
}
