/** Commands that a leader has appended and whose senders wait for the result. */
import { SpoolgateError } from '@spoolgate/core'
import type { LogEntry } from '../log/logStore.js'

/** Waiting proposals by log index. */
export interface Proposals {
  /**
   * Waits for an entry to be applied.
   * @throws SpoolgateError `controlUnavailable` when leadership is lost first.
   */
  add(entry: LogEntry): Promise<unknown>
  /** Hands the result of an applied entry to whoever waits for it. */
  finish(entry: LogEntry, result: unknown): void
  /** Tells all who wait that the outcome is not known. */
  failAll(): void
}

interface Proposal {
  readonly term: number
  resolve(result: unknown): void
  reject(error: SpoolgateError): void
}

/** Creates an empty table. */
export function createProposals(): Proposals {
  const waiting = new Map<number, Proposal>()
  return {
    add: ({ index, term }) =>
      new Promise((resolve, reject) => {
        waiting.set(index, { term, resolve, reject })
      }),
    finish: ({ index, term }, result) => {
      const proposal = waiting.get(index)
      waiting.delete(index)
      if (proposal?.term === term) proposal.resolve(result)
    },
    failAll: () => {
      const message = 'leadership changed before the outcome was known; send the same change again'
      for (const proposal of waiting.values()) {
        proposal.reject(new SpoolgateError('controlUnavailable', message, { notRun: false }))
      }
      waiting.clear()
    },
  }
}
