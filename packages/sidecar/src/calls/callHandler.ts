/** Routes by which routers hand over calls, resume, cancel and ask about them. */
import type { Fleet } from '@spoolgate/config'
import {
  BODY_LIMITS,
  joinHeldBody,
  readDocument,
  readJson,
  sendJson,
  SpoolgateError,
  toAttemptNumber,
  toRequestId,
  type Counter,
  type HttpClient,
  type HttpExchange,
  type Incarnation,
  type Invariants,
  type Logger,
  type Route,
  type TimerService,
} from '@spoolgate/core'
import type { ConfigFollower } from '@spoolgate/control'
import {
  buildPrefixChain,
  CALL_HEADER,
  HINTS_HEADER,
  type CacheScope,
  type CallHeader,
  type Decline,
  type Dispatch,
  type PrefixChain,
  type PromptText,
  type ReplyHints,
} from '@spoolgate/routing'
import type { BackendAdapter, PreparedCall } from '../backend/adapters.js'
import type { BackendWatcher } from '../backend/backendWatcher.js'
import type { CacheIndex } from '../backend/cacheIndex.js'
import { findDecline, findStartDecline, type AdmissionFacts } from './admission.js'
import { createCall, type Call } from './call.js'
import { runCall } from './callRunner.js'
import type { CallTable } from './callTable.js'
import type { DispatchTable } from './dispatches.js'
import type { FairQueue } from './fairQueue.js'
import type { LoadEstimate } from './loadEstimate.js'

/** Parts that handling a call needs. */
export interface CallHandlerOptions {
  readonly incarnation: Incarnation
  /** Backend server as the fleet configuration names it. */
  readonly server: ReplyHints['server']
  readonly url: string
  readonly slots: number
  readonly queueLimit: number
  readonly processKey: string
  readonly adapter: BackendAdapter
  readonly client: HttpClient
  readonly config: ConfigFollower
  readonly watcher: BackendWatcher
  readonly index: CacheIndex
  readonly calls: CallTable
  readonly dispatches: DispatchTable
  readonly queue: FairQueue
  readonly estimate: LoadEstimate
  readonly timers: TimerService
  readonly logger: Logger
  readonly invariants: Invariants
  readonly declines: Counter
  readonly isLeaving: () => boolean
}

/** Longest wait for a configuration that a router already has, in ms. */
const CONFIG_WAIT_MS = 1_000
const EMPTY_CHAIN: PrefixChain = { scope: '', levels: [], totalTokens: 0 }

function parseCallHeader(text: unknown): CallHeader {
  try {
    return JSON.parse(String(text)) as CallHeader
  } catch {
    throw new SpoolgateError('malformedBody', `send the header ${CALL_HEADER} with JSON`)
  }
}

/** Splits a body that carries the text to go on from. */
function splitResumeBody(body: Buffer): { body: Buffer; resumeText: string } {
  const envelope = JSON.parse(body.toString('utf8')) as { resumeText: string; body: unknown }
  return { body: Buffer.from(JSON.stringify(envelope.body)), resumeText: envelope.resumeText }
}

function sendDecline(exchange: HttpExchange, decline: Decline, hints: ReplyHints): void {
  sendJson(exchange.response, 409, decline, { [HINTS_HEADER]: JSON.stringify(hints) })
}

/** Handles the calls of one sidecar. */
export interface CallHandler {
  readonly routes: readonly Route[]
  /** What a reply would say now of a call with so many cached prompt tokens. */
  buildHints(matchedTokens: number): ReplyHints
}

/** Creates a handler. */
export function createCallHandler(options: CallHandlerOptions): CallHandler {
  const { adapter, config, watcher, index, calls, dispatches, queue, estimate } = options
  const { timers, logger, invariants, processKey } = options

  const buildHints = (matchedTokens: number): ReplyHints => ({
    server: options.server,
    incarnation: options.incarnation,
    engineIncarnation: watcher.state().incarnation,
    weightsVersion: watcher.state().weightsVersion,
    configVersion: config.version() as ReplyHints['configVersion'],
    calls: queue.running() + queue.waiting(),
    queueMs: estimate.queueMs(queue.waiting(), options.slots),
    prefillTokensPerMs: estimate.prefillTokensPerMs(),
    cacheLifetimeMs: index.lifetimeMs(),
    matchedTokens,
    leaving: options.isLeaving(),
  })
  const buildChain = (header: CallHeader, prompt: PromptText | undefined, fleet?: Fleet) => {
    const serves = fleet?.backendServers.get(options.server)?.serves
    const model = serves === undefined ? undefined : fleet?.models.get(serves)
    if (!prompt || !model || header.weightsVersion === undefined) return EMPTY_CHAIN
    const [owner] = header.scope.split('/')
    const scope: CacheScope = {
      owner,
      model: model.id,
      adapter: '',
      weightsVersion: header.weightsVersion,
    }
    return buildPrefixChain(scope, prompt, model)
  }
  const findFacts = (header: CallHeader, missingTokens: number): AdmissionFacts => {
    const fleet = config.current()
    const prefillMs = missingTokens / estimate.prefillTokensPerMs()
    const firstTokenMs = estimate.queueMs(queue.waiting(), options.slots) + prefillMs
    return {
      isLeaving: options.isLeaving(),
      incarnation: options.incarnation,
      fleet,
      backend: watcher.state(),
      isEngine: adapter.isEngine,
      serves: fleet?.backendServers.get(options.server)?.serves,
      isBarred: header.dispatch !== undefined && dispatches.isBarred(header.dispatch),
      waiting: queue.waiting(),
      queueLimit: options.queueLimit,
      firstTokenMs,
      retryAfterMs: firstTokenMs,
    }
  }
  const recordDecline = ({ request }: CallHeader, decline: Decline, waitedMs: number) => {
    options.declines.add(1, { reason: decline.declined })
    logger.info('call.declined', { request, reason: decline.declined, waitedMs })
  }

  /** What must hold at the instant of a claim, whatever the checks before it were. */
  const assertClaimable = (header: CallHeader, chain: PrefixChain) => {
    const { dispatch, request } = header
    const facts = () => ({ request })
    invariants.assert('leavingTakesNothing', !options.isLeaving(), facts)
    invariants.assert('scopeMatches', chain.scope === '' || chain.scope === header.scope, facts)
    if (!dispatch) return
    const isOwn = dispatch.incarnation === options.incarnation
    invariants.assert('incarnationMatches', isOwn, facts)
    invariants.assert('claimDispatchedOnce', !dispatches.find(dispatch), facts)
  }

  const startCall = (
    header: CallHeader,
    prepared: PreparedCall,
    chain: PrefixChain,
    missing: number,
  ) => {
    const call: Call = createCall({ header, invariants, onIdle: () => calls.watchIdle(call) })
    calls.add(call)
    if (header.dispatch) dispatches.add(header.dispatch, call)
    const progress = estimate.startCall(missing)
    const finish = () => {
      progress.recordEnd()
      queue.finish()
    }
    const engineIncarnation = watcher.state().incarnation
    const onFirstToken = () => {
      progress.recordFirstToken()
      if (index.incarnation() === engineIncarnation) index.recordComputed(chain, timers.now())
    }
    const claimedAt = timers.now()
    const run = async () => {
      const { url, client } = options
      const { body } = prepared
      const waitedMs = timers.now() - claimedAt
      // Its wait is over; what other calls still wait for counts in the retry delay only.
      const firstTokenMs = missing / estimate.prefillTokensPerMs()
      const facts = { ...findFacts(header, missing), firstTokenMs }
      const decline = findStartDecline(header, facts, waitedMs)
      if (decline) {
        recordDecline(header, decline, waitedMs)
        const declined = { decline, hints: buildHints(index.match(chain, timers.now())) }
        call.finish({ outcome: 'failed', reason: decline.declined, notRun: true, declined })
        return
      }
      await runCall({ call, adapter, url, body, client, onFirstToken })
      if (call.outcome()?.outcome === 'failed') void watcher.refresh()
    }
    const { team, priority, share } = header
    const remove = queue.add({
      team,
      priority,
      share,
      cost: missing + 1,
      run: () => void run().then(finish),
    })
    call.signal.addEventListener('abort', () => {
      if (!remove()) return
      progress.recordEnd()
      call.finish({ outcome: 'failed', reason: 'cancelled', notRun: true })
    })
    return call
  }

  const claim = (exchange: HttpExchange, call: Call, matchedTokens: number, after: number) => {
    exchange.response.writeHead(200, {
      'content-type': 'text/event-stream',
      [HINTS_HEADER]: JSON.stringify(buildHints(matchedTokens)),
    })
    exchange.response.flushHeaders()
    call.attach(exchange.response, after)
  }

  const serveCall = async (exchange: HttpExchange) => {
    const header = parseCallHeader(exchange.request.headers[CALL_HEADER])
    const { body: whole, hold } = await readDocument(exchange.request, BODY_LIMITS.call)
    const received = await joinHeldBody(exchange.request, whole)
    // The configuration is waited for here, and no await follows: between the checks below and
    // the start of the call nothing else may happen.
    await config.waitForVersion(header.configVersion, CONFIG_WAIT_MS)
    const repeated = header.dispatch && dispatches.find(header.dispatch)
    if (repeated) return claim(exchange, repeated, 0, 0)
    const { body, resumeText } = header.hasResumeText
      ? splitResumeBody(received)
      : { body: received, resumeText: undefined }
    const prepared = adapter.prepare(header, body, resumeText)
    hold?.close()
    const chain = buildChain(header, prepared.prompt, config.current())
    const matched = index.match(chain, timers.now())
    const missing = chain.totalTokens - matched
    const decline = findDecline(header, findFacts(header, missing))
    if (decline) {
      recordDecline(header, decline, 0)
      return sendDecline(exchange, decline, buildHints(matched))
    }
    assertClaimable(header, chain)
    const call = startCall(header, prepared, chain, missing)
    claim(exchange, call, matched, 0)
  }

  const findCall = (params: Readonly<Record<string, string>>): Call => {
    const attempt = toAttemptNumber(Number(params.attempt))
    const call = calls.find(toRequestId(params.request), attempt)
    if (call) return call
    throw new SpoolgateError('notFound', 'this incarnation holds no such call')
  }
  const serveResume = (exchange: HttpExchange) => {
    const call = findCall(exchange.params)
    const after = Number(exchange.request.headers['last-event-id'] ?? 0)
    logger.info('call.resumed', { request: call.header.request, after })
    claim(exchange, call, 0, after)
  }
  const serveCancel = ({ response, params }: HttpExchange) => {
    const call = findCall(params)
    if (!call.header.dispatch) call.cancel()
    sendJson(response, 200, {})
  }
  const serveDispatchQuestion = async ({ request, response }: HttpExchange) => {
    const dispatch = (await readJson(request, BODY_LIMITS.message)) as Dispatch
    const isOther = dispatch.incarnation !== options.incarnation
    const state = isOther ? { state: 'otherIncarnation' } : dispatches.bar(dispatch)
    logger.info('dispatch.asked', { claim: dispatch.claim, number: dispatch.number, ...state })
    sendJson(response, 200, state)
  }
  const serveProbe = async ({ request, response }: HttpExchange) => {
    const { levels } = (await readJson(request, BODY_LIMITS.message)) as PrefixChain
    const matched = index.match({ ...EMPTY_CHAIN, levels }, timers.now())
    sendJson(response, 200, buildHints(matched))
  }

  const routes: Route[] = [
    { method: 'POST', path: '/calls', key: processKey, handler: serveCall },
    { method: 'GET', path: '/calls/:request/:attempt', key: processKey, handler: serveResume },
    { method: 'DELETE', path: '/calls/:request/:attempt', key: processKey, handler: serveCancel },
    { method: 'POST', path: '/dispatches', key: processKey, handler: serveDispatchQuestion },
    { method: 'POST', path: '/probe', key: processKey, handler: serveProbe },
  ]
  return { routes, buildHints }
}
