/** HTTP routes for callers: OpenAI-compatible generation, the model list and plain services. */
import type { Fleet, Team } from '@spoolgate/config'
import {
  createCallerKeyring,
  createUniqueId,
  readBody,
  joinHeldBody,
  readDocument,
  sendJson,
  SpoolgateError,
  toRequestId,
  type BodyLimits,
  type CallerKeyring,
  type HttpExchange,
  type Route,
  type TeamId,
} from '@spoolgate/core'
import { hashText, type PrefixChain } from '@spoolgate/routing'
import type { CallContext } from '../relay/callContext.js'
import type { RelayDependencies } from '../relay/relayDependencies.js'
import { relayOnce } from '../relay/relayOnce.js'
import { relayRepeatable } from '../relay/relayRepeatable.js'
import {
  findService,
  findTeam,
  GENERATION_PATHS,
  isUnrepeatable,
  parseGenerationRequest,
  readContentType,
  readDeadline,
  readIdempotencyKey,
  readPriority,
  readSession,
} from './callerRequest.js'

/** Options of {@link createCallerRoutes}. */
export interface CallerRoutesOptions {
  readonly parts: RelayDependencies
  readonly limits: BodyLimits
  /** Whether this router is shutting down and must not start further requests. */
  readonly isStopping: () => boolean
}

/** Response header with the request id, for `spoolgate explain`. */
export const REQUEST_ID_HEADER = 'x-request-id'
/** Retry delay for callers that a router refuses while it shuts down, in seconds. */
const RETRY_WHILE_STOPPING_S = 1
const EMPTY_CHAIN: PrefixChain = { scope: '', levels: [], totalTokens: 0 }

/** Creates a function that builds the keyring of a configuration once per version. */
function createKeyringCache() {
  let cachedFleet: Fleet | undefined
  let keyring: CallerKeyring<TeamId> = createCallerKeyring([])
  return (fleet: Fleet) => {
    if (fleet !== cachedFleet) {
      keyring = createCallerKeyring(fleet.callerKeys.map((key) => ({ ...key, owner: key.team })))
      cachedFleet = fleet
    }
    return keyring
  }
}

/** A request of a known team, before its body is parsed. */
interface AcceptedRequest {
  readonly exchange: HttpExchange
  readonly fleet: Fleet
  readonly team: Team
  readonly startedAt: number
}

/** Creates the routes for callers. */
export function createCallerRoutes(options: CallerRoutesOptions): Route[] {
  const { parts, limits, isStopping } = options
  const findKeyring = createKeyringCache()

  const acceptRequest = (exchange: HttpExchange): AcceptedRequest => {
    const startedAt = parts.timers.now()
    const fleet = parts.config.current()
    if (!fleet) throw new SpoolgateError('controlUnavailable', 'no configuration yet; try later')
    const team = findTeam(exchange.request, fleet, findKeyring(fleet))
    return { exchange, fleet, team, startedAt }
  }
  const createContext = (
    accepted: AcceptedRequest,
    callFields: Pick<
      CallContext,
      'body' | 'path' | 'target' | 'chain' | 'weightsVersion' | 'session' | 'isStream' | 'tokens'
    >,
  ): CallContext => {
    const { exchange, team, startedAt } = accepted
    const { request, response } = exchange
    const callerAbort = new AbortController()
    response.once('close', () => {
      if (!response.writableFinished) callerAbort.abort()
    })
    const deadlineMs = readDeadline(request)
    const id = toRequestId(createUniqueId('req'))
    response.setHeader(REQUEST_ID_HEADER, id)
    return {
      ...callFields,
      request: id,
      team: team.id,
      parameters: team.parameters,
      method: request.method ?? 'GET',
      contentType: readContentType(request),
      priority: readPriority(request, team),
      deadline: deadlineMs === undefined ? undefined : startedAt + deadlineMs,
      startedAt,
      response,
      callerSignal: callerAbort.signal,
    }
  }
  const relay = async (context: CallContext, exchange: HttpExchange, isAtMostOnce: boolean) => {
    const callerKey = isAtMostOnce ? readIdempotencyKey(exchange.request) : undefined
    const release = await parts.limits.admit(context.team, context.parameters, context.tokens)
    try {
      // The caller's deadline only bounds the first token, so it cannot tell whether a request would end before the
      // shutdown cuts it off.
      if (isStopping()) {
        throw new SpoolgateError(
          'instanceStopping',
          'this instance stops; send it to another one',
          {
            retryAfterSeconds: RETRY_WHILE_STOPPING_S,
            // An earlier request with the caller's idempotency key may have run.
            notRun: callerKey === undefined,
          },
        )
      }
      if (!isAtMostOnce) return await relayRepeatable(parts, context)
      const key = {
        key: callerKey ?? createUniqueId('auto'),
        isFromCaller: callerKey !== undefined,
      }
      return await relayOnce(parts, context, key)
    } finally {
      release()
    }
  }

  const serveGeneration = async (exchange: HttpExchange) => {
    const accepted = acceptRequest(exchange)
    const { fleet, team } = accepted
    const { body: received, hold } = await readDocument(exchange.request, limits)
    const generation = parseGenerationRequest(received, fleet, team)
    hold?.close()
    const body = await joinHeldBody(exchange.request, received)
    const { model, chain, isStream, user, maxTokens } = generation
    const context = createContext(accepted, {
      body,
      path: exchange.path,
      target: model.id,
      chain,
      tokens: chain.totalTokens + maxTokens,
      weightsVersion: model.weightsVersion,
      isStream,
      session: readSession(exchange.request) ?? user ?? chain.levels.at(-2)?.hash ?? '',
    })
    await relay(context, exchange, isUnrepeatable(exchange.request, undefined, exchange.path))
  }
  const serveModels = (exchange: HttpExchange) => {
    const { fleet } = acceptRequest(exchange)
    const data = [...fleet.models.values()].map(({ id }) => ({
      id,
      object: 'model',
      created: 0,
      owned_by: 'spoolgate',
    }))
    sendJson(exchange.response, 200, { object: 'list', data })
  }
  const serveService = async (exchange: HttpExchange) => {
    const accepted = acceptRequest(exchange)
    const service = findService(exchange.path, accepted.fleet)
    if (!service) {
      throw new SpoolgateError('unknownPath', `nothing answers ${exchange.path}; see the docs`)
    }
    const path = exchange.path.slice(service.prefix.replace(/\/$/, '').length) || '/'
    const query = exchange.query.size > 0 ? `?${exchange.query}` : ''
    const body = await readBody(exchange.request, limits)
    const context = createContext(accepted, {
      body,
      path: `${path}${query}`,
      target: service.group,
      chain: EMPTY_CHAIN,
      tokens: 0,
      weightsVersion: undefined,
      isStream: false,
      session: readSession(exchange.request) ?? String(hashText(accepted.team.id)),
    })
    await relay(context, exchange, isUnrepeatable(exchange.request, service, path))
  }

  return [
    ...GENERATION_PATHS.map((path) => ({ method: 'POST', path, handler: serveGeneration })),
    { method: 'GET', path: '/v1/models', handler: serveModels },
    { method: '*', path: '/*', handler: serveService },
  ]
}
