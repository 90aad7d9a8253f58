/** What the head of an answer says of a send, before anything of it is passed on. */
import type { IncomingMessage } from 'node:http'
import { recordResponseSignals } from './responseSignals.js'
import type { CallPlan } from './callPlan.js'
import type { Candidate } from './serverRanking.js'
import type { DirectContext } from './directContext.js'
import type { SendEnd } from './sendEnd.js'

/** A head with the instant at which its request was sent, in ms of the monotonic clock. */
export interface ReceivedHead {
  readonly message: IncomingMessage
  readonly sentAt: number
}

/** Judges a head; undefined where the answer is the server's own and may be passed on. */
export function judgeHead(
  parts: DirectContext,
  { call }: CallPlan,
  { server }: Candidate,
  { message, sentAt }: ReceivedHead,
): SendEnd | undefined {
  const { backend, serverStats: board } = parts
  const head = backend.decodeHead(message, call)
  recordResponseSignals(parts, call, server, { ...head, sentAt })
  if (head.weightsVersion !== undefined) board.recordVersion(server.id, head.weightsVersion)
  if (head.isNotExecuted) {
    message.resume()
    const reason = head.isOtherServer ? 'otherServer' : `status${message.statusCode}`
    return { kind: 'notRun', reason, version: head.weightsVersion, backoff: head.backoff }
  }
  if (head.isAuthentic) return undefined
  message.destroy()
  return { kind: 'lost', reason: `status ${message.statusCode} that is not its own answer` }
}
