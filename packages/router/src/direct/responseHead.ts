/** Evaluates the head of a backend response before any of the response is forwarded. */
import type { IncomingMessage } from 'node:http'
import { closeBody, findResponseProblem } from '@spoolgate/core'
import { recordResponseSignals } from './responseSignals.js'
import type { CallPlan } from './callTypes.js'
import type { Candidate } from './serverRanking.js'
import type { DirectContext } from './directContext.js'
import type { AttemptOutcome } from './attemptOutcome.js'

/** A response head and when its request was sent, in ms of the monotonic clock. */
export interface ReceivedResponse {
  readonly message: IncomingMessage
  readonly sentAt: number
}

/** Checks a response head; returns undefined if the response is the server's own and may be forwarded. */
export function checkResponseHead(
  context: DirectContext,
  { call }: CallPlan,
  { server }: Candidate,
  { message, sentAt }: ReceivedResponse,
): AttemptOutcome | undefined {
  const { backend, serverStats, rejectedInputs } = context
  const problem = findResponseProblem(message)
  if (problem !== undefined) {
    // Nothing in such a head is used: it belongs to no request.
    message.destroy()
    rejectedInputs.record({ source: 'responseHead', from: server.id, reason: problem })
    return { kind: 'lost', reason: problem }
  }
  const head = backend.decodeHead(message, call)
  recordResponseSignals(context, call, server, { ...head, sentAt })
  const { model } = call.prompt ?? {}
  if (model !== undefined && head.weightsVersion !== undefined)
    serverStats.recordVersion(server.id, model, head.weightsVersion, sentAt)
  if (head.isNotExecuted) {
    context.agent.recordRefusal(message.socket, call.id)
    closeBody(message)
    const reason = head.isOtherServer ? 'otherServer' : `status${message.statusCode}`
    return { kind: 'notRun', reason, version: head.weightsVersion, backoff: head.backoff }
  }
  if (head.isAuthentic) return undefined
  message.destroy()
  return {
    kind: 'lost',
    reason: `status ${message.statusCode} did not originate from the backend server`,
  }
}
