/**
 * One attempt to send a request to a backend server. Nothing is written until the connection is established and the
 * final check has passed, so that the router knows for certain when nothing was sent.
 */
import {
  request as startRequest,
  type Agent,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http'
import type { Socket } from 'node:net'
import {
  sendBlocks,
  watchCompletion,
  type ConnectionGuard,
  type ReceivedBody,
  type RepeatedRequestOptions,
  type TimerService,
} from '@spoolgate/core'
import type { DirectCall, HeaderList } from './protocols.js'
import { describeHeadCut, type BrokenResponse } from './responseCut.js'

/** What all attempts of a router share. */
export interface AttemptContext {
  readonly agent: Agent
  readonly timers: TimerService
  /** Runs the listeners of the connection. */
  readonly guard: ConnectionGuard
}

/** Options of {@link startAttempt}. */
export interface AttemptOptions {
  /** IP address and port. */
  readonly address: string
  readonly call: Pick<DirectCall, 'id' | 'method' | 'target'>
  /** Returns, immediately before sending, why the request should go to another server; undefined if it should not. */
  readonly findObstacle: () => string | undefined
  /** Builds the headers immediately before sending; undefined forbids sending. */
  readonly buildHeaders: () => HeaderList | undefined
  readonly body: Pick<ReceivedBody, 'blocks'>
  /** Timeout for establishing the connection, in ms. */
  readonly connectMs: number
}

/** Result of an attempt up to the response head. */
export type AttemptResult =
  | { readonly kind: 'head'; readonly message: IncomingMessage }
  /** No byte was sent to the server. */
  | { readonly kind: 'notSent'; readonly reason: string }
  /** The final check before sending failed; no byte was sent. */
  | { readonly kind: 'forbidden'; readonly reason: string }
  /** The request was withdrawn before a byte was sent. */
  | { readonly kind: 'withheld'; readonly reason: string }
  /** The request was withdrawn from the server, which has sent nothing; it may have run. */
  | { readonly kind: 'withdrawn'; readonly reason: string }
  /** The server may have run the request. */
  | (BrokenResponse & { readonly kind: 'lost' })

/** An attempt in progress. */
export interface SendAttempt {
  readonly result: Promise<AttemptResult>
  /** Whether the request has been written to the connection. */
  wasWritten(): boolean
  /** Enables TCP keep-alive probes, so that a connection that the peer no longer knows is reset while it is idle. */
  enableKeepAliveProbes(): void
  /** Cancels the attempt and closes its connection; returns false if the response has begun. */
  withdraw(reason: string): boolean
  /** Cancels the attempt and closes its connection. */
  cancel(): void
}

/** Idle time before the first TCP keep-alive probe, in ms; the minimum on Linux. */
const KEEP_ALIVE_PROBE_DELAY_MS = 1_000

/** Starts an attempt. */
export function startAttempt(
  { agent, timers, guard }: AttemptContext,
  options: AttemptOptions,
): SendAttempt {
  const [host, port] = options.address.split(':')
  let isWritten = false
  let isCancelled = false
  let hasResponse = false
  let withdraw: (reason: string) => boolean = () => false
  let outgoing: ClientRequest | undefined

  const result = new Promise<AttemptResult>((resolve) => {
    /** Bytes that the connection had read before the request. */
    let readBefore = 0
    const resolveFailure = (reason: string) =>
      resolve({ kind: isWritten ? 'lost' : 'notSent', reason })
    const resolveError = (cause: NodeJS.ErrnoException) => {
      if (!isWritten) return resolveFailure(cause.message)
      const headBytes = (outgoing?.socket?.bytesRead ?? 0) - readBefore
      resolve({ kind: 'lost', ...describeHeadCut(cause, headBytes) })
    }
    const requestOptions: RepeatedRequestOptions = {
      host,
      port: Number(port),
      method: options.call.method,
      path: options.call.target,
      agent,
      setHost: false,
      requestId: options.call.id,
    }
    outgoing = startRequest(requestOptions)
    const clientRequest = outgoing
    const connectTimer = timers.after(options.connectMs).subscribe(() => {
      resolveFailure(`no connection within ${options.connectMs} ms`)
      clientRequest.destroy()
    })
    const write = () => {
      connectTimer.unsubscribe()
      if (isCancelled) return
      const obstacle = options.findObstacle()
      if (obstacle !== undefined) return void withdraw(obstacle)
      const headers = options.buildHeaders()
      if (!headers) {
        resolve({
          kind: 'forbidden',
          reason: 'deadline passed, caller disconnected or control unreachable',
        })
        clientRequest.destroy()
        return
      }
      for (const [name, values] of mergeRepeatedFields(headers))
        clientRequest.setHeader(name, values.length === 1 ? values[0] : values)
      isWritten = true
      readBefore = clientRequest.socket?.bytesRead ?? 0
      sendBlocks(clientRequest, options.body)
    }
    const guardedWrite = guard.wrap('request.write', write, (reason) => {
      if (withdraw(reason)) return
      clientRequest.destroy()
    })
    clientRequest.on('socket', (socket: Socket) => {
      if (socket.connecting) socket.once('connect', guardedWrite)
      else guardedWrite()
    })
    withdraw = (reason) => {
      if (hasResponse) return false
      resolve({ kind: isWritten ? 'withdrawn' : 'withheld', reason })
      isCancelled = true
      clientRequest.destroy()
      return true
    }
    clientRequest.on('response', (message) => {
      hasResponse = true
      watchCompletion(message)
      resolve({ kind: 'head', message })
    })
    clientRequest.on('error', (cause) => {
      connectTimer.unsubscribe()
      resolveError(cause)
    })
    clientRequest.on('close', () => resolveFailure('the connection closed'))
  })
  return {
    result,
    wasWritten: () => isWritten,
    enableKeepAliveProbes: () =>
      void outgoing?.socket?.setKeepAlive(true, KEEP_ALIVE_PROBE_DELAY_MS),
    withdraw: (reason) => withdraw(reason),
    cancel: () => {
      isCancelled = true
      outgoing?.destroy()
    },
  }
}

/** Merges repeated header fields, whose values Node's HTTP client expects in an array. */
function mergeRepeatedFields(headers: HeaderList): Iterable<readonly [string, string[]]> {
  const fields = new Map<string, readonly [name: string, values: string[]]>()
  for (const [name, value] of headers) {
    const key = name.toLowerCase()
    const known = fields.get(key)
    if (known) known[1].push(value)
    else fields.set(key, [name, [value]])
  }
  return fields.values()
}
