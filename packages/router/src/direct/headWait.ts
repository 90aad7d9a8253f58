/**
 * Waiting for the head of an answer. A server without any sign of life is looked at: where it is
 * dead, the request should go to another one. Where it accepts connections, those that stand may have
 * fallen silent for good: the idle ones are closed, and a request to a plain service, which does not
 * take that long, should go to another server as well.
 */
import type { KeepAliveAgent, TimerService } from '@spoolgate/core'
import { firstValueFrom } from 'rxjs'
import type { LivenessMonitor, ProbedServer } from './livenessMonitor.js'
import type { Abandoned } from './sendEnd.js'
import type { Send, SendResult } from './sendOnce.js'

/** Options of {@link waitForHead}. */
export interface HeadWaitOptions {
  readonly send: Send
  readonly server: ProbedServer
  readonly timers: TimerService
  readonly liveness: LivenessMonitor
  readonly agent: KeepAliveAgent
  /** Whether the server may take long to read a prompt before its first sign. */
  readonly mayBeReading: boolean
  /** Whether the request still waits and its server has given no sign of life. */
  readonly isUnanswered: () => boolean
  /** Takes a repeated send, if the request may be repeated. */
  readonly takeRepeat: () => boolean
}

/**
 * Time without any sign of life after which a server is looked at, in ms: above the longest work of
 * a plain service and the reading of most prompts, below the callers' patience.
 */
const SUSPECT_AFTER_MS = 700

/** Waits for the head of an answer; gives the send up where another server should be tried. */
export async function waitForHead(options: HeadWaitOptions): Promise<SendResult | Abandoned> {
  const { send, timers, isUnanswered } = options
  let result: SendResult | undefined
  const isAnswered = send.result.then((found) => {
    result = found
  })
  while (!result) {
    const late = firstValueFrom(timers.after(SUSPECT_AFTER_MS))
    await Promise.race([isAnswered, late])
    const isAwaited = () => !result && isUnanswered()
    if (!isAwaited()) continue
    const doubt = await findDoubt(options)
    if (!doubt || !isAwaited() || !options.takeRepeat()) continue
    send.cancel()
    return { kind: 'abandoned', reason: doubt }
  }
  return result
}

/** Finds out why a server that gives no sign of life should not be waited for. */
async function findDoubt(options: HeadWaitOptions): Promise<string | undefined> {
  const { liveness, agent, server, mayBeReading } = options
  const isAlive = await liveness.checkReachable(server)
  if (!isAlive) return 'the backend server accepts no connections'
  agent.closeIdle(server.address)
  return mayBeReading ? undefined : 'the connection is silent'
}
