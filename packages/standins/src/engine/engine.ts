/** The stand-in model engine: one HTTP server with a cost model, a block cache and failures. */
import {
  createHttpServer,
  createQuietLogger,
  createRandomSource,
  createTimerService,
  createUniqueId,
  BODY_LIMITS,
  readJson,
  sendJson,
  SpoolgateError,
  type HttpExchange,
  type HttpServer,
  type Route,
} from '@spoolgate/core'
import { formatToken, renderAnswer } from './answers.js'
import { ANSWER_FORMATS, formatUsageChunk, type AnswerFacts, type Usage } from './answerFormat.js'
import {
  createBatch,
  type Batch,
  type EngineCosts,
  type EngineLoad,
  type EngineTotals,
} from './batch.js'
import { createBlockCache, type BlockCache } from './blockCache.js'
import { createCacheEvents, type CacheEvents } from './cacheEvents.js'
import { parseEngineRequest, type EngineRequest } from './engineRequest.js'
import { createOrderGate, type OrderGate } from './orders.js'

/** Options of {@link createEngine}. */
export interface EngineOptions {
  readonly model: string
  /**
   * Weights loaded at the start.
   * @default 'w1'
   */
  readonly weightsVersion?: string
  /**
   * Port on loopback; 0 lets the machine choose.
   * @default 0
   */
  readonly port?: number
  /**
   * Cost model; what is left out keeps its default.
   * @default DEFAULT_ENGINE_COSTS
   */
  readonly costs?: Partial<EngineCosts>
  /**
   * Blocks that the cache holds.
   * @default 4096
   */
  readonly cacheBlocks?: number
  /** @default 16 */
  readonly blockTokens?: number
  /** @default 4 */
  readonly bytesPerToken?: number
  /**
   * Delay of cache events, in ms.
   * @default 20
   */
  readonly eventDelayMs?: number
  /**
   * Share of lost cache events, 0 to 1.
   * @default 0
   */
  readonly eventLossRatio?: number
  /**
   * Age of the load report, in ms.
   * @default 100
   */
  readonly loadLagMs?: number
  /**
   * Whether orders with an old fencing number are refused.
   * @default false
   */
  readonly fencing?: boolean
  /**
   * Time to load weights, in ms.
   * @default 50
   */
  readonly loadWeightsMs?: number
  /**
   * Seed of the event losses.
   * @default 1
   */
  readonly seed?: number
}

/** Defaults of the cost model. */
export const DEFAULT_ENGINE_COSTS: EngineCosts = {
  stepBaseMs: 6,
  stepPerSequenceMs: 0.3,
  prefillTokensPerMs: 12,
  prefillTokensPerStep: 512,
  maxBatch: 32,
}

/** A running stand-in engine. */
export interface Engine {
  readonly url: string
  readonly port: number
  /** Incarnation of the engine; new after each crash. */
  incarnation(): string
  load(): EngineLoad
  totals(): EngineTotals
  /** Requests by id with the text that was generated for them here. */
  readonly generated: ReadonlyMap<string, string>
  /** Requests that were started here, by id. */
  readonly started: ReadonlyMap<string, number>
  readonly orders: OrderGate
  /** Whether a block is cached, or being computed; for the oracle of benchmarks. */
  hasBlock(hash: EngineRequest['blocks'][number]): boolean
  /** Cuts every connection, stops listening and empties the cache. */
  crash(): Promise<void>
  /** Listens again on the same port after a crash, as a new incarnation. */
  restart(): Promise<void>
  /** Multiplies the time of every step; Infinity hangs the engine. */
  changeSlowness(factor: number): void
  changeEventLoss(ratio: number): void
  close(): Promise<void>
}

/** Header with the id under which the engine keeps what it generated. */
export const REQUEST_ID_HEADER = 'x-request-id'
const EVENTS_WAIT_MS = 10_000
const MAX_REMEMBERED = 200_000
const HOST = '127.0.0.1'

interface EngineState {
  incarnation: string
  cache: BlockCache
  events: CacheEvents
  batch: Batch
  server: HttpServer | undefined
}

/** Creates an engine and waits until it listens. */
export async function createEngine(options: EngineOptions): Promise<Engine> {
  const timers = createTimerService()
  const random = createRandomSource(options.seed ?? 1)
  const costs = { ...DEFAULT_ENGINE_COSTS, ...options.costs }
  const sizes = {
    blockTokens: options.blockTokens ?? 16,
    bytesPerToken: options.bytesPerToken ?? 4,
  }
  const loadLagMs = options.loadLagMs ?? 100
  const generated = new Map<string, string>()
  const started = new Map<string, number>()
  let reportedLoad: EngineLoad = { running: 0, waiting: 0, pendingTokens: 0 }
  let eventLossRatio = options.eventLossRatio ?? 0
  const orders = createOrderGate({
    weightsVersion: options.weightsVersion ?? 'w1',
    checksFencing: options.fencing ?? false,
    loadWeightsMs: options.loadWeightsMs ?? 50,
    timers,
    onWeights: () => state.cache.clear(),
  })

  const createState = (): EngineState => {
    const delayMs = options.eventDelayMs ?? 20
    const events = createCacheEvents({ timers, random, delayMs, lossRatio: eventLossRatio })
    const cache = createBlockCache(options.cacheBlocks ?? 4096, (change) => events.add(change))
    const batch = createBatch(costs, cache, timers)
    return { incarnation: createUniqueId('engine'), cache, events, batch, server: undefined }
  }
  let state = createState()

  const serveIdentity = ({ response }: HttpExchange) =>
    sendJson(response, 200, {
      incarnation: state.incarnation,
      model: options.model,
      weightsVersion: orders.weightsVersion(),
      ready: orders.isReady(),
      ...sizes,
    })

  const serveEvents = async ({ response, query }: HttpExchange) => {
    const { incarnation, events } = state
    const after = Number(query.get('after') ?? 0)
    const found = await events.waitAfter(after, EVENTS_WAIT_MS)
    sendJson(response, 200, { incarnation, events: found })
  }

  const serveSnapshot = ({ response }: HttpExchange) =>
    sendJson(response, 200, {
      incarnation: state.incarnation,
      sequence: state.events.lastSequence(),
      hashes: state.cache.list(),
    })

  const remember = (request: string, text: string) => {
    generated.set(request, text)
    if (generated.size > MAX_REMEMBERED) generated.delete(generated.keys().next().value as string)
  }

  const startSequence = (
    id: string,
    request: EngineRequest,
    onToken: (text: string) => void,
    onEnd: (usage: Usage) => void,
  ) => {
    const { batch } = state
    started.set(id, (started.get(id) ?? 0) + 1)
    remember(id, renderAnswer(request.promptHash, request.resumedTokens))
    let cachedTokens = 0
    batch.add({
      ...request,
      request: id,
      blockTokens: sizes.blockTokens,
      onToken: (index) => {
        cachedTokens = batch.findCachedTokens(id)
        const text = formatToken(request.promptHash, index)
        remember(id, `${generated.get(id) ?? ''}${text}`)
        onToken(text)
      },
      onEnd: () => {
        const { promptTokens, maxTokens } = request
        onEnd({ promptTokens, completionTokens: maxTokens, cachedTokens })
      },
    })
  }

  const serveGeneration = async ({ request: incoming, response, path }: HttpExchange) => {
    const body = (await readJson(incoming, BODY_LIMITS.call)) as Record<string, unknown>
    const request = parseEngineRequest(body, sizes)
    if (request.model !== options.model) {
      throw new SpoolgateError('unknownModel', `this engine serves ${options.model}`)
    }
    if (!orders.isReady()) throw new SpoolgateError('declined', 'weights are loading; try later')
    const id = String(incoming.headers[REQUEST_ID_HEADER] ?? createUniqueId('request'))
    const created = Math.floor(timers.wallNow() / 1000)
    const facts: AnswerFacts = { id: `gen-${id}`, model: request.model, created }
    const format = ANSWER_FORMATS[path]
    const { batch } = state
    response.once('close', () => {
      if (!response.writableFinished) batch.cancel(id)
    })
    if (!request.isStream) {
      startSequence(
        id,
        request,
        () => {},
        (usage) => {
          sendJson(response, 200, format.formatWhole(facts, generated.get(id) ?? '', usage))
        },
      )
      return
    }
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    response.flushHeaders()
    const sendData = (data: string) => response.write(`data: ${data}\n\n`)
    startSequence(
      id,
      request,
      (text) => sendData(format.formatChunk(facts, text, null)),
      (usage) => {
        sendData(format.formatChunk(facts, '', 'stop'))
        if (request.includeUsage) sendData(formatUsageChunk(facts, usage))
        sendData('[DONE]')
        response.end()
      },
    )
  }

  const serveOrder = async ({ request, response }: HttpExchange) => {
    const order = (await readJson(request, BODY_LIMITS.call)) as Record<string, unknown>
    sendJson(response, 200, await orders.apply(order))
  }

  const routes: Route[] = [
    { method: 'POST', path: '/v1/chat/completions', handler: serveGeneration },
    { method: 'POST', path: '/v1/completions', handler: serveGeneration },
    { method: 'GET', path: '/identity', handler: serveIdentity },
    {
      method: 'GET',
      path: '/load',
      handler: ({ response }) => sendJson(response, 200, reportedLoad),
    },
    { method: 'GET', path: '/cache/events', handler: serveEvents },
    { method: 'GET', path: '/cache/snapshot', handler: serveSnapshot },
    { method: 'POST', path: '/orders', handler: serveOrder },
  ]

  const listen = async (port: number) => {
    const logger = createQuietLogger()
    state.server = await createHttpServer({ host: HOST, port, routes, logger, timers })
    return state.server
  }
  const { port, url } = await listen(options.port ?? 0)

  const loadReports = timers.every(Math.max(1, loadLagMs)).subscribe(() => {
    reportedLoad = state.batch.load()
  })

  const crash = async () => {
    const { server, batch, events } = state
    state.server = undefined
    batch.close()
    events.close()
    await server?.close(0)
  }

  return {
    url,
    port,
    incarnation: () => state.incarnation,
    load: () => state.batch.load(),
    totals: () => state.batch.totals(),
    generated,
    started,
    orders,
    hasBlock: (hash) => state.cache.count([hash]) === 1 || state.batch.hasPending(hash),
    crash,
    restart: async () => {
      state = createState()
      await listen(port)
    },
    changeSlowness: (factor) => state.batch.changeSlowness(factor),
    changeEventLoss: (ratio) => {
      eventLossRatio = ratio
      state.events.changeLoss(ratio)
    },
    close: async () => {
      loadReports.unsubscribe()
      await crash()
    },
  }
}
