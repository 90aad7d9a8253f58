/** Raft transport that sends messages as JSON over HTTP. */
import { ConnectionError, type HttpClient } from '@spoolgate/core'
import type { RaftMessageName, RaftMessages, RaftTransport } from '../raft/messages.js'

/** Base path of Raft messages on the receiving member. */
export const RAFT_PATH = '/raft'

/** Options of {@link createHttpTransport}. */
export interface HttpTransportOptions {
  readonly client: HttpClient
  /** Maximum wait for a reply, in ms. */
  readonly timeoutMs: number
  /**
   * Whether the link to a member is cut; for tests and soak runs.
   * @default never
   */
  readonly isCut?: (to: string) => boolean
}

/** Creates the HTTP transport. */
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
        // The name lets the receiver reject messages for a previous member at its address, whose disk was lost.
        url: `${url}${RAFT_PATH}/${name}?to=${encodeURIComponent(to)}`,
        json: request,
        timeoutMs,
      })
    },
  }
}
