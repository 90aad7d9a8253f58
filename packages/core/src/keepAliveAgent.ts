/**
 * Connections kept open to other processes' HTTP servers. A connection is closed well before the
 * other side would, and at once when bytes arrive on it while no answer is due: they would otherwise
 * be taken for the answer to the next request. A request that was refused is sent again on another connection: a second
 * copy of the refusal, which names the same request, would pass for the answer.
 */
import { Agent, type ClientRequest, type RequestOptions } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Socket } from 'node:net'
import { removeOldest } from './removeOldest.js'

/** Options of {@link createKeepAliveAgent}. */
export interface KeepAliveAgentOptions {
  /** Longest time for which an idle connection is kept, in ms. */
  readonly idleMs: number
  /** How long before the other side's own limit an idle connection is closed, in ms. */
  readonly marginMs: number
}

/** Options of a request that may be sent more than once. */
export interface RepeatedRequestOptions extends RequestOptions {
  /** Names the request in all its sends. */
  readonly requestId?: string
}

const MS_PER_S = 1_000
/** Refused requests that are remembered for each connection. */
const MAX_REFUSED = 32
const KEEP_ALIVE_HINT = /timeout=(\d+)/

function parseHintMs(header: string | string[] | undefined): number {
  const text = Array.isArray(header) ? header[0] : header
  const seconds = KEEP_ALIVE_HINT.exec(text ?? '')?.[1]
  return seconds === undefined ? Infinity : Number(seconds) * MS_PER_S
}

/** What Node keeps on a socket that served a request. */
type ServedSocket = Socket & { _httpMessage?: ClientRequest & { res?: { headers: object } } }

/** The method of an agent by which Node's client asks for a connection. */
interface ConnectionSource {
  addRequest(request: ClientRequest, options: RequestOptions): void
}

const { addRequest } = Agent.prototype as unknown as ConnectionSource

class GuardedAgent extends Agent implements KeepAliveAgent, ConnectionSource {
  private readonly refused = new WeakMap<Socket, Set<string>>()

  constructor(private readonly guard: KeepAliveAgentOptions) {
    super({ keepAlive: true, maxSockets: Infinity, maxFreeSockets: Infinity, scheduling: 'lifo' })
  }

  override keepSocketAlive(stream: Duplex): boolean {
    super.keepSocketAlive(stream)
    const socket = stream as ServedSocket
    const headers = (socket._httpMessage?.res?.headers ?? {}) as Record<string, string>
    const hintMs = parseHintMs(headers['keep-alive'])
    const idleMs = Math.min(this.guard.idleMs, hintMs - this.guard.marginMs)
    if (idleMs <= 0 || socket.readableLength > 0) return false
    socket.on('data', closeOnData)
    socket.setTimeout(idleMs)
    return true
  }

  closeIdle(address: string): void {
    const [host, port] = address.split(':')
    const idle = this.freeSockets[this.getName({ host, port: Number(port) })] ?? []
    for (const socket of [...idle]) socket.destroy()
  }

  recordRefusal(socket: Socket, requestId: string): void {
    const ids = this.refused.get(socket) ?? new Set<string>()
    ids.delete(requestId)
    ids.add(requestId)
    removeOldest(ids, MAX_REFUSED)
    this.refused.set(socket, ids)
  }

  addRequest(request: ClientRequest, options: RepeatedRequestOptions): void {
    const { requestId } = options
    const pools = this.freeSockets as Record<string, Socket[] | undefined>
    const name = this.getName(options)
    const idle = pools[name]
    const isRefused = (socket: Socket) =>
      requestId !== undefined && this.refused.get(socket)?.has(requestId) === true
    if (!idle?.some(isRefused)) return addRequest.call(this, request, options)
    const skipped = idle.filter(isRefused)
    pools[name] = idle.filter((socket) => !isRefused(socket))
    addRequest.call(this, request, options)
    pools[name] = [...skipped, ...(pools[name] ?? [])]
  }

  override reuseSocket(stream: Duplex, request: ClientRequest): void {
    const socket = stream as Socket
    socket.removeListener('data', closeOnData)
    socket.setTimeout(0)
    super.reuseSocket(stream, request)
  }
}

function closeOnData(this: Socket): void {
  this.destroy()
}

/** An agent whose idle connections can be given up. */
export interface KeepAliveAgent extends Agent {
  /**
   * Closes the idle connections to an address: connections may fall silent without a reset while new
   * ones work, and then each of them would cost a request.
   */
  closeIdle(address: string): void
  /** Records that the answer on a connection refused a request, which is not sent on it again. */
  recordRefusal(socket: Socket, requestId: string): void
}

/** Creates an agent for Node's HTTP client. */
export function createKeepAliveAgent(options: KeepAliveAgentOptions): KeepAliveAgent {
  return new GuardedAgent(options)
}
