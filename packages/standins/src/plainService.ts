/** The stand-in plain service: it counts executions by key, and is the judge of at most once. */
import {
  createHttpServer,
  createQuietLogger,
  createTimerService,
  createUniqueId,
  BODY_LIMITS,
  readBody,
  sendJson,
  waitFor,
  type HttpExchange,
  type HttpServer,
} from '@spoolgate/core'

/** Options of {@link createPlainService}. */
export interface PlainServiceOptions {
  /**
   * Port on loopback; 0 lets the machine choose.
   * @default 0
   */
  readonly port?: number
  /**
   * Time that a call takes, in ms.
   * @default 5
   */
  readonly delayMs?: number
}

/** A running plain service. */
export interface PlainService {
  readonly url: string
  readonly port: number
  /** How often each body was executed. */
  readonly executions: ReadonlyMap<string, number>
  incarnation(): string
  crash(): Promise<void>
  restart(): Promise<void>
  close(): Promise<void>
}

const HOST = '127.0.0.1'

/** Creates a plain service and waits until it listens. */
export async function createPlainService(options: PlainServiceOptions = {}): Promise<PlainService> {
  const timers = createTimerService()
  const executions = new Map<string, number>()
  let incarnation = createUniqueId('service')
  let server: HttpServer | undefined

  const serveCall = async ({ request, response, path }: HttpExchange) => {
    const body = (await readBody(request, BODY_LIMITS.call)).toString('utf8')
    executions.set(body, (executions.get(body) ?? 0) + 1)
    await waitFor(timers, options.delayMs ?? 5)
    sendJson(response, 200, { path, received: body, execution: executions.get(body) })
  }
  const listen = async (port: number) => {
    server = await createHttpServer({
      host: HOST,
      port,
      logger: createQuietLogger(),
      timers,
      routes: [
        {
          method: 'GET',
          path: '/identity',
          handler: ({ response }) => sendJson(response, 200, { incarnation }),
        },
        { method: '*', path: '/*', handler: serveCall },
      ],
    })
    return server
  }
  const { url, port } = await listen(options.port ?? 0)
  const crash = async () => {
    const stopped = server
    server = undefined
    await stopped?.close(0)
  }
  return {
    url,
    port,
    executions,
    incarnation: () => incarnation,
    crash,
    restart: async () => {
      incarnation = createUniqueId('service')
      await listen(port)
    },
    close: crash,
  }
}
