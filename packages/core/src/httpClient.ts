/** HTTP client on Node's `http` and `https` for the fleet's own processes and backend servers. */
import { readFileSync } from 'node:fs'
import { Agent, request as requestPlain, type ClientRequest, type IncomingMessage } from 'node:http'
import { Agent as TlsAgent, request as requestTls } from 'node:https'
import { BODY_LIMITS, type BodyKind } from './bodyLimits.js'
import { ConnectionError, parseErrorBody, SpoolgateError } from './errors.js'
import { addAnswerMemory, type MemoryBudget } from './memoryBudget.js'
import { readJson } from './httpBody.js'
import { watchCompletion } from './responseCompletion.js'
import { findResponseProblem } from './responseStatus.js'

/** Options of {@link createHttpClient}. */
export interface HttpClientOptions {
  /**
   * Key sent to the other side.
   * @default undefined, none
   */
  readonly key?: string
  /**
   * Authority that signs the other side's certificate, a PEM file.
   * @default undefined, the machine's own authorities
   */
  readonly caFile?: string
  /**
   * Maximum number of connections to one host; further requests wait for one, within their time limits.
   * @default unlimited
   */
  readonly maxConnections?: number
  /**
   * Memory budgets in which the bodies and documents of answers count.
   * @default undefined, they are bounded one by one
   */
  readonly memory?: MemoryBudget
}

/** One request. */
export interface HttpRequest {
  readonly method: string
  /** Absolute URL. */
  readonly url: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: Buffer | string
  readonly signal?: AbortSignal
  /**
   * Longest wait for the answer's headers, in milliseconds.
   * @default none
   */
  readonly timeoutMs?: number
  /**
   * Whether to use a connection of its own instead of a kept-alive one.
   * @default false
   */
  readonly isFresh?: boolean
}

/** One request with JSON, for an answer with JSON. */
export interface JsonRequest extends Omit<HttpRequest, 'body'> {
  readonly json?: unknown
  /**
   * What the answer carries, which bounds it.
   * @default 'message'
   */
  readonly answer?: BodyKind
}

/** A client with kept-alive connections. */
export interface HttpClient {
  /**
   * Sends a request and waits for the answer's headers.
   * @throws ConnectionError when there is no answer.
   */
  send(request: HttpRequest): Promise<IncomingMessage>
  /**
   * Sends JSON and reads JSON.
   * @throws ConnectionError when there is no whole answer, SpoolgateError for an error answer.
   */
  sendJson<T>(request: JsonRequest): Promise<T>
  close(): void
}

/** Socket errors that can only occur before a connection is established. */
const CONNECT_ERRORS = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL'])

function toConnectionError(cause: NodeJS.ErrnoException, timedOut: boolean): ConnectionError {
  const neverSent = cause.code !== undefined && CONNECT_ERRORS.has(cause.code)
  return new ConnectionError(cause.message, neverSent, timedOut)
}

/** Creates a client. */
export function createHttpClient(options: HttpClientOptions = {}): HttpClient {
  const ca = options.caFile === undefined ? undefined : readFileSync(options.caFile)
  // Node closes idle connections beyond 256 per host by default, so that each burst would open them again.
  const pool = {
    keepAlive: true,
    maxSockets: options.maxConnections ?? Infinity,
    maxFreeSockets: Infinity,
    scheduling: 'lifo',
  } as const
  const plainAgent = new Agent(pool)
  const tlsAgent = new TlsAgent({ ...pool, ca })
  const authorization: Record<string, string> = {}
  if (options.key !== undefined) authorization.authorization = `Bearer ${options.key}`

  const startRequest = (request: HttpRequest): ClientRequest => {
    const headers: Record<string, string | number> = { ...authorization, ...request.headers }
    if (request.body !== undefined) headers['content-length'] = Buffer.byteLength(request.body)
    const common = { method: request.method, headers, signal: request.signal, ca }
    return request.url.startsWith('https:')
      ? requestTls(request.url, { ...common, agent: request.isFresh ? false : tlsAgent })
      : requestPlain(request.url, { ...common, agent: request.isFresh ? false : plainAgent })
  }

  const sendOnce = (request: HttpRequest): Promise<IncomingMessage> =>
    new Promise((resolve, reject) => {
      let timedOut = false
      let outgoing: ClientRequest
      try {
        outgoing = startRequest(request)
      } catch (cause) {
        // Node throws for a URL, port or header field that it cannot send.
        reject(
          new ConnectionError(cause instanceof Error ? cause.message : String(cause), true, false),
        )
        return
      }
      const timeout =
        request.timeoutMs === undefined
          ? undefined
          : setTimeout(() => {
              timedOut = true
              outgoing.destroy(new Error(`no answer within ${request.timeoutMs} ms`))
            }, request.timeoutMs)
      outgoing.on('response', (message) => {
        clearTimeout(timeout)
        watchCompletion(message)
        const problem = findResponseProblem(message)
        if (problem !== undefined) {
          message.destroy()
          reject(new ConnectionError(problem, false, false))
          return
        }
        if (options.memory) addAnswerMemory(options.memory, message)
        resolve(message)
      })
      outgoing.on('error', (cause) => {
        clearTimeout(timeout)
        reject(toConnectionError(cause, timedOut))
      })
      // Node closes the connection of a response that switches protocols without an error.
      outgoing.on('close', () => {
        clearTimeout(timeout)
        reject(new ConnectionError('the connection closed', false, timedOut))
      })
      outgoing.end(request.body)
    })

  return {
    send: sendOnce,
    sendJson: async <T>(request: JsonRequest): Promise<T> => {
      const { json, answer = 'message', ...rest } = request
      const body = json === undefined ? undefined : JSON.stringify(json)
      const headers = { 'content-type': 'application/json', ...rest.headers }
      const message = await sendOnce({ ...rest, headers, body })
      if ((message.statusCode ?? 500) >= 400) throw await readErrorAnswer(message)
      return (await readJson(message, BODY_LIMITS[answer])) as T
    },
    close: () => {
      plainAgent.destroy()
      tlsAgent.destroy()
    },
  }
}

/** Reads the typed error of an answer with an error status. */
export async function readErrorAnswer(message: IncomingMessage): Promise<SpoolgateError> {
  try {
    return parseErrorBody(await readJson(message, BODY_LIMITS.error))
  } catch {
    return new SpoolgateError(
      'backendFailed',
      `status ${message.statusCode} without a readable body`,
    )
  }
}
