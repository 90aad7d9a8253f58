/**
 * One send of a request to one backend server. Nothing is written before the connection stands and
 * the last check has passed, so that what was never sent is known for certain.
 */
import {
  request as startRequest,
  type Agent,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http'
import type { Socket } from 'node:net'
import type { TimerService } from '@spoolgate/core'
import type { HeaderList } from './dialects.js'

/** What is sent where. */
export interface AttemptOptions {
  readonly agent: Agent
  readonly timers: TimerService
  /** IP number and port. */
  readonly address: string
  readonly method: string
  readonly target: string
  /** Builds the header at the moment of sending; undefined forbids the send. */
  readonly buildHeaders: () => HeaderList | undefined
  readonly body: Buffer
  /** Longest wait for a connection, in ms. */
  readonly connectMs: number
}

/** What became of a send up to the answer's head. */
export type AttemptResult =
  | { readonly kind: 'head'; readonly message: IncomingMessage }
  /** No byte can have reached the server. */
  | { readonly kind: 'notSent'; readonly reason: string }
  /** The last check before sending forbade it; no byte was sent. */
  | { readonly kind: 'forbidden'; readonly reason: string }
  /** The server may have run the request. */
  | { readonly kind: 'lost'; readonly reason: string }

/** A send in progress. */
export interface SendAttempt {
  readonly result: Promise<AttemptResult>
  /** Whether bytes were written. */
  wasWritten(): boolean
  /** Has the connection looked at while it is idle: where the other side no longer knows it, it is reset. */
  enableKeepAliveProbes(): void
  /** Gives the send up and closes its connection. */
  cancel(): void
}

/** Time without a byte after which a connection is looked at, in ms; the least that Linux takes. */
const KEEP_ALIVE_PROBE_DELAY_MS = 1_000

/** Starts a send. */
export function startAttempt(options: AttemptOptions): SendAttempt {
  const [host, port] = options.address.split(':')
  let isWritten = false
  let isCancelled = false
  let outgoing: ClientRequest | undefined

  const result = new Promise<AttemptResult>((resolve) => {
    const fail = (reason: string) => resolve({ kind: isWritten ? 'lost' : 'notSent', reason })
    outgoing = startRequest({
      host,
      port: Number(port),
      method: options.method,
      path: options.target,
      agent: options.agent,
      setHost: false,
    })
    const clientRequest = outgoing
    const connectTimer = options.timers.after(options.connectMs).subscribe(() => {
      fail(`no connection within ${options.connectMs} ms`)
      clientRequest.destroy()
    })
    const write = () => {
      connectTimer.unsubscribe()
      if (isCancelled) return
      const headers = options.buildHeaders()
      if (!headers) {
        resolve({ kind: 'forbidden', reason: 'too late, or control is out of reach' })
        clientRequest.destroy()
        return
      }
      isWritten = true
      for (const [name, value] of mergeRepeatedFields(headers)) clientRequest.setHeader(name, value)
      clientRequest.end(options.body)
    }
    clientRequest.on('socket', (socket: Socket) => {
      if (socket.connecting) socket.once('connect', write)
      else write()
    })
    clientRequest.on('response', (message) => resolve({ kind: 'head', message }))
    clientRequest.on('error', (cause) => {
      connectTimer.unsubscribe()
      fail(cause.message)
    })
    clientRequest.on('close', () => fail('the connection closed'))
  })
  return {
    result,
    wasWritten: () => isWritten,
    enableKeepAliveProbes: () =>
      void outgoing?.socket?.setKeepAlive(true, KEEP_ALIVE_PROBE_DELAY_MS),
    cancel: () => {
      isCancelled = true
      outgoing?.destroy()
    },
  }
}

/** Joins fields that occur more than once, as Node's client wants them. */
function mergeRepeatedFields(headers: HeaderList): Map<string, string | string[]> {
  const fields = new Map<string, string | string[]>()
  const firstSpellings = new Map<string, string>()
  for (const [name, value] of headers) {
    const key = firstSpellings.get(name.toLowerCase()) ?? name
    firstSpellings.set(name.toLowerCase(), key)
    const existing = fields.get(key)
    fields.set(key, existing === undefined ? value : [...[existing].flat(), value])
  }
  return fields
}
