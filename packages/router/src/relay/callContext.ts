/** Context of a request that the router serves. */
import type { ServerResponse } from 'node:http'
import type { Fleet, TeamParameters } from '@spoolgate/config'
import type { RequestId, TeamId, WeightsVersion } from '@spoolgate/core'
import type { CallHeader, PrefixChain } from '@spoolgate/routing'

/** Properties of a request that stay constant while it is served. */
export interface CallContext {
  readonly request: RequestId
  readonly team: TeamId
  readonly parameters: TeamParameters
  readonly method: string
  /** Path of the request to the backend server. */
  readonly path: string
  readonly contentType: string
  readonly body: Buffer
  /** Model or group. */
  readonly target: string
  readonly chain: PrefixChain
  /** Prompt tokens plus the maximum of generated tokens; limits count this sum. */
  readonly tokens: number
  readonly weightsVersion: WeightsVersion | undefined
  /** Whether the caller requested a stream. */
  readonly isStream: boolean
  /** Session key; all requests of a session use the same policy. */
  readonly session: string
  readonly priority: number
  /** Monotonic time by which the first token is due; undefined for no deadline. */
  readonly deadline: number | undefined
  /** Monotonic time at which the request arrived. */
  readonly startedAt: number
  readonly response: ServerResponse
  /** Aborted when the caller disconnects. */
  readonly callerSignal: AbortSignal
}

/** Finds the current weight of a team in fair queues, including active protected windows. */
export function findTeamShare(parameters: TeamParameters, wallNow: number): number {
  const factors = parameters.protectedWindows
    .filter((window) => window.from <= wallNow && wallNow < window.until)
    .map((window) => window.shareFactor)
  return parameters.share * Math.max(1, ...factors)
}

/** Builds the part of the call header that all attempts have in common. */
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
