/** What the head of an answer says of a send, before anything of it is passed on. */
import type { IncomingMessage } from 'node:http'
import { recordAnswerSignals } from './answerSignals.js'
import type { CallPlan } from './callPlan.js'
import type { Candidate } from './choice.js'
import type { DirectParts } from './directParts.js'
import type { AttemptOutcome } from './attemptOutcome.js'

/** A head with the instant at which its request was sent, in ms of the monotonic clock. */
export interface ReceivedResponse {
  readonly message: IncomingMessage
  readonly sentAt: number
}

/** Judges a head; undefined where the answer is the server's own and may be passed on. */
export function checkResponseHead(
  parts: DirectParts,
  { call }: CallPlan,
  { server }: Candidate,
  { message, sentAt }: ReceivedResponse,
): AttemptOutcome | undefined {
  const { backend, board } = parts
  const head = backend.decodeHead(message, call)
  recordAnswerSignals(parts, call, server, { ...head, sentAt })
  if (head.weightsVersion !== undefined) board.recordVersion(server.id, head.weightsVersion)
  if (head.isNotRun) {
    message.resume()
    const reason = head.isOtherServer ? 'otherServer' : `status${message.statusCode}`
    return { kind: 'notRun', reason, version: head.weightsVersion, backoff: head.backoff }
  }
  if (head.isGenuine) return undefined
  message.destroy()
  return { kind: 'lost', reason: `status ${message.statusCode} that is not its own answer` }
}
