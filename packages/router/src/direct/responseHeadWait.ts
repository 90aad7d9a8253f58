/**
 * Waits for the head of a response. A server that has sent nothing for a while is probed. If it is dead, the request
 * should be retried on another server. If it accepts connections, its established connections may be dead all the same:
 * the idle ones are closed, and a request to a plain service, which does not take this long, should be retried on
 * another server too.
 */
import type { KeepAliveAgent, TimerService } from '@spoolgate/core'
import { firstValueFrom } from 'rxjs'
import type { LivenessMonitor, ProbedServer } from './livenessMonitor.js'
import type { AbandonedOutcome } from './attemptOutcome.js'
import type { SendAttempt, AttemptResult } from './sendAttempt.js'

/** Options of {@link waitForResponseHead}. */
export interface WaitForHeadOptions {
  readonly send: SendAttempt
  readonly server: ProbedServer
  readonly timers: TimerService
  readonly liveness: LivenessMonitor
  readonly agent: KeepAliveAgent
  /** Whether the server may still be prefilling a long prompt and have sent nothing for that reason. */
  readonly mayBePrefilling: boolean
  /** Whether the request is still in progress and its server has sent nothing. */
  readonly isUnanswered: () => boolean
  /** Takes one retry from the budget; returns false if the request may not be retried. */
  readonly takeRetry: () => boolean
}

/**
 * Time without any data after which a server is probed, in ms: longer than the slowest response of a plain service and
 * the prefill of most prompts, shorter than callers are willing to wait.
 */
const LIVENESS_CHECK_DELAY_MS = 700

/** Waits for the response head; abandons the attempt if another server should be tried. */
export async function waitForResponseHead(
  options: WaitForHeadOptions,
): Promise<AttemptResult | AbandonedOutcome> {
  const { send, timers, isUnanswered } = options
  let result: AttemptResult | undefined
  const settled = send.result.then((attemptResult) => {
    result = attemptResult
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

/** Probes a server that has sent nothing; returns why the attempt should be abandoned, if it should. */
async function findAbandonReason(options: WaitForHeadOptions): Promise<string | undefined> {
  const { liveness, agent, server, mayBePrefilling } = options
  const isAlive = await liveness.checkReachable(server)
  if (!isAlive) return 'the backend server does not accept connections'
  agent.closeIdle(server.address)
  return mayBePrefilling ? undefined : 'no data received on the connection'
}
