/** Client of the control group. It finds the leader and retries requests during leadership changes. */
import {
  ConnectionError,
  SpoolgateError,
  waitFor,
  type HttpClient,
  type TimerService,
} from '@spoolgate/core'
import type { ControlCommandKind, ControlCommands, ControlResult } from '../state/controlMachine.js'

/** Options of {@link createControlClient}. */
export interface ControlClientOptions {
  /** URLs of the group members. */
  readonly urls: readonly string[]
  readonly client: HttpClient
  readonly timers: TimerService
  /**
   * Maximum time for one request including all retries, in ms.
   * @default 5000
   */
  readonly timeoutMs?: number
}

/** Sends commands and requests to the leader. */
export interface ControlClient {
  /**
   * Sends a command. Commands may be retried, so they must be idempotent.
   * @throws SpoolgateError `controlUnavailable` when no leader responded in time.
   */
  send<Kind extends ControlCommandKind>(
    command: Omit<ControlCommands[Kind]['command'], 'at' | 'kind'> & { readonly kind: Kind },
  ): Promise<ControlResult<Kind>>
  /** Sends any request to the leader. */
  request<T>(method: string, path: string, json?: unknown): Promise<T>
}

const DEFAULT_TIMEOUT_MS = 5_000
const ATTEMPT_TIMEOUT_MS = 2_000
const RETRY_DELAY_MS = 50

/** Creates a client of the control group. */
export function createControlClient(options: ControlClientOptions): ControlClient {
  const { urls, client, timers } = options
  let preferredUrl = urls[0]

  const findNextUrl = (failed: string): string => {
    const index = urls.indexOf(failed)
    return urls[(index + 1) % urls.length]
  }
  /** Selects the URL of the next attempt; rethrows errors that a retry cannot resolve. */
  const handleFailure = (cause: unknown, failedUrl: string) => {
    if (cause instanceof ConnectionError) {
      preferredUrl = findNextUrl(failedUrl)
      return
    }
    const isTransient =
      cause instanceof SpoolgateError &&
      (cause.kind === 'notLeader' || cause.kind === 'controlUnavailable')
    if (!isTransient) throw cause
    const details = cause.details as { leaderUrl?: string } | undefined
    preferredUrl = details?.leaderUrl ?? findNextUrl(failedUrl)
  }
  const request = async <T>(method: string, path: string, json?: unknown): Promise<T> => {
    const deadline = timers.now() + (options.timeoutMs ?? DEFAULT_TIMEOUT_MS)
    while (timers.now() < deadline) {
      const url = preferredUrl
      const timeoutMs = Math.min(ATTEMPT_TIMEOUT_MS, Math.max(1, deadline - timers.now()))
      try {
        return await client.sendJson<T>({
          method,
          url: `${url}${path}`,
          json,
          timeoutMs,
          answer: 'call',
        })
      } catch (cause) {
        handleFailure(cause, url)
      }
      if (preferredUrl === url || urls.length > 1) await waitFor(timers, RETRY_DELAY_MS)
    }
    throw new SpoolgateError('controlUnavailable', 'no control leader answered; try again later', {
      notRun: false,
      retryAfterSeconds: 2,
    })
  }
  return {
    request,
    send: (command) => request('POST', '/commands', command),
  }
}
