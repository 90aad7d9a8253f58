/** One caller's request on its way through the router. */
import type { ServerResponse } from 'node:http'
import type { Fleet, TeamParameters } from '@spoolgate/config'
import type { RequestId, TeamId, WeightsVersion } from '@spoolgate/core'
import type { CallHeader, PrefixChain } from '@spoolgate/routing'

/** Facts about a request that do not change while it is served. */
export interface CallContext {
  readonly request: RequestId
  readonly team: TeamId
  readonly parameters: TeamParameters
  readonly method: string
  /** Path as the backend server knows it. */
  readonly path: string
  readonly contentType: string
  readonly body: Buffer
  /** Model or group. */
  readonly target: string
  readonly chain: PrefixChain
  /** Prompt tokens and the most that may be generated, as limits count them. */
  readonly tokens: number
  readonly weightsVersion: WeightsVersion | undefined
  /** Whether the caller asked for a stream. */
  readonly isStream: boolean
  /** Keeps the requests of one session on one policy. */
  readonly session: string
  readonly priority: number
  /** Monotonic instant by which the first token must be there; undefined for none. */
  readonly deadline: number | undefined
  /** Monotonic instant at which the request arrived. */
  readonly startedAt: number
  readonly response: ServerResponse
  /** Aborted when the caller leaves. */
  readonly callerSignal: AbortSignal
}

/** Finds the weight of a team in fair queues now, with its protected windows. */
export function findTeamShare(parameters: TeamParameters, wallNow: number): number {
  const factors = parameters.protectedWindows
    .filter((window) => window.from <= wallNow && wallNow < window.until)
    .map((window) => window.shareFactor)
  return parameters.share * Math.max(1, ...factors)
}

/** Builds the part of a call's header that is the same for all its attempts. */
export function buildCallHeader(
  context: CallContext,
  fleet: Fleet,
  now: number,
  wallNow: number,
): Omit<CallHeader, 'attempt'> {
  const { deadline } = context
  return {
    request: context.request,
    team: context.team,
    scope: context.chain.scope,
    weightsVersion: context.weightsVersion,
    configVersion: fleet.version,
    method: context.method,
    path: context.path,
    contentType: context.contentType,
    priority: context.priority,
    share: findTeamShare(context.parameters, wallNow),
    deadlineMs: deadline === undefined ? undefined : Math.max(0, deadline - now),
  }
}
