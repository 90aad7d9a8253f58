/** Messages between members over HTTP with JSON. */
import { ConnectionError, type HttpClient } from '@spoolgate/core'
import type { RaftMessageName, RaftMessages, RaftTransport } from '../raft/messages.js'

/** Path of a message on the receiving member. */
export const RAFT_PATH = '/raft'

/** Options of {@link createHttpTransport}. */
export interface HttpTransportOptions {
  readonly client: HttpClient
  /** Longest wait for a reply, in ms. */
  readonly timeoutMs: number
  /**
   * Whether messages to a member are cut; for tests and soak runs.
   * @default never
   */
  readonly isCut?: (to: string) => boolean
}

/** Creates a transport. */
export function createHttpTransport(options: HttpTransportOptions): RaftTransport {
  const { client, timeoutMs, isCut } = options
  return {
    send: async <Name extends RaftMessageName>(
      to: string,
      url: string,
      name: Name,
      request: RaftMessages[Name]['request'],
    ) => {
      if (isCut?.(to)) throw new ConnectionError('link is cut', true, false)
      return client.sendJson<RaftMessages[Name]['reply']>({
        method: 'POST',
        // The name distinguishes a member from another that took over its address with an empty disk.
        url: `${url}${RAFT_PATH}/${name}?to=${encodeURIComponent(to)}`,
        json: request,
        timeoutMs,
      })
    },
  }
}
