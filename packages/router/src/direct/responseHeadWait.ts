/**
 * Waiting for the head of an answer. A server without any sign of life is looked at: where it is
 * dead, the request should go to another one. Where it accepts connections, those that stand may have
 * fallen silent for good: the idle ones are closed, and a request to a plain service, which does not
 * take that long, should go to another server as well.
 */
import type { KeepAliveAgent, TimerService } from '@spoolgate/core'
import { firstValueFrom } from 'rxjs'
import type { Liveness, ProbedServer } from './liveness.js'
import type { AbandonedOutcome } from './attemptOutcome.js'
import type { SendAttempt, AttemptResult } from './sendAttempt.js'

/** Options of {@link waitForResponseHead}. */
export interface WaitForHeadOptions {
  readonly send: SendAttempt
  readonly server: ProbedServer
  readonly timers: TimerService
  readonly liveness: Liveness
  readonly agent: KeepAliveAgent
  /** Whether the server may take long to read a prompt before its first sign. */
  readonly mayBePrefilling: boolean
  /** Whether the request still waits and its server has given no sign of life. */
  readonly isUnanswered: () => boolean
  /** Takes a repeated send, if the request may be repeated. */
  readonly takeRetry: () => boolean
}

/**
 * Time without any sign of life after which a server is looked at, in ms: above the longest work of
 * a plain service and the reading of most prompts, below the callers' patience.
 */
const LIVENESS_CHECK_DELAY_MS = 700

/** Waits for the head of an answer; gives the send up where another server should be tried. */
export async function waitForResponseHead(
  options: WaitForHeadOptions,
): Promise<AttemptResult | AbandonedOutcome> {
  const { send, timers, isUnanswered } = options
  let result: AttemptResult | undefined
  const settled = send.result.then((found) => {
    result = found
  })
  while (!result) {
    const timeout = firstValueFrom(timers.after(LIVENESS_CHECK_DELAY_MS))
    await Promise.race([settled, timeout])
    const isStillWaiting = () => !result && isUnanswered()
    if (!isStillWaiting()) continue
    const abandonReason = await findAbandonReason(options)
    if (!abandonReason || !isStillWaiting() || !options.takeRetry()) continue
    send.cancel()
    return { kind: 'abandoned', reason: abandonReason }
  }
  return result
}

/** Finds out why a server that gives no sign of life should not be waited for. */
async function findAbandonReason(options: WaitForHeadOptions): Promise<string | undefined> {
  const { liveness, agent, server, mayBePrefilling: mayBeReading } = options
  const isAlive = await liveness.checkAlive(server)
  if (!isAlive) return 'the backend server accepts no connections'
  agent.closeIdle(server.address)
  return mayBeReading ? undefined : 'the connection is silent'
}
