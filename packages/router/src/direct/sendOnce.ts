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
import type { HeaderList } from './protocols.js'

/** What is sent where. */
export interface SendOptions {
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
export type SendResult =
  | { readonly kind: 'head'; readonly message: IncomingMessage }
  /** No byte can have reached the server. */
  | { readonly kind: 'notSent'; readonly reason: string }
  /** The last check before sending forbade it; no byte was sent. */
  | { readonly kind: 'forbidden'; readonly reason: string }
  /** The server may have run the request. */
  | { readonly kind: 'lost'; readonly reason: string }

/** A send in progress. */
export interface Send {
  readonly result: Promise<SendResult>
  /** Whether bytes were written. */
  wasWritten(): boolean
  /** Has the connection looked at while it is idle: where the other side no longer knows it, it is reset. */
  startProbing(): void
  /** Gives the send up and closes its connection. */
  cancel(): void
}

/** Time without a byte after which a connection is looked at, in ms; the least that Linux takes. */
const PROBE_AFTER_MS = 1_000

/** Starts a send. */
export function startSend(options: SendOptions): Send {
  const [host, port] = options.address.split(':')
  let isWritten = false
  let isCancelled = false
  let outgoing: ClientRequest | undefined

  const result = new Promise<SendResult>((resolve) => {
    const fail = (reason: string) => resolve({ kind: isWritten ? 'lost' : 'notSent', reason })
    outgoing = startRequest({
      host,
      port: Number(port),
      method: options.method,
      path: options.target,
      agent: options.agent,
      setHost: false,
    })
    const sent = outgoing
    const connectTimer = options.timers.after(options.connectMs).subscribe(() => {
      fail(`no connection within ${options.connectMs} ms`)
      sent.destroy()
    })
    const write = () => {
      connectTimer.unsubscribe()
      if (isCancelled) return
      const headers = options.buildHeaders()
      if (!headers) {
        resolve({ kind: 'forbidden', reason: 'too late, or control is out of reach' })
        sent.destroy()
        return
      }
      isWritten = true
      for (const [name, value] of joinFields(headers)) sent.setHeader(name, value)
      sent.end(options.body)
    }
    sent.on('socket', (socket: Socket) => {
      if (socket.connecting) socket.once('connect', write)
      else write()
    })
    sent.on('response', (message) => resolve({ kind: 'head', message }))
    sent.on('error', (cause) => {
      connectTimer.unsubscribe()
      fail(cause.message)
    })
    sent.on('close', () => fail('the connection closed'))
  })
  return {
    result,
    wasWritten: () => isWritten,
    startProbing: () => void outgoing?.socket?.setKeepAlive(true, PROBE_AFTER_MS),
    cancel: () => {
      isCancelled = true
      outgoing?.destroy()
    },
  }
}

/** Joins fields that occur more than once, as Node's client wants them. */
function joinFields(headers: HeaderList): Map<string, string | string[]> {
  const fields = new Map<string, string | string[]>()
  const spelled = new Map<string, string>()
  for (const [name, value] of headers) {
    const key = spelled.get(name.toLowerCase()) ?? name
    spelled.set(name.toLowerCase(), key)
    const known = fields.get(key)
    fields.set(key, known === undefined ? value : [...[known].flat(), value])
  }
  return fields
}
