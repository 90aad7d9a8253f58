/** Pending proposals: commands that a leader has appended and whose callers wait for the result. */
import { SpoolgateError } from '@spoolgate/core'
import type { LogEntry } from '../log/logStore.js'

/** Pending proposals by log index. */
export interface Proposals {
  /**
   * Resolves with the result of an entry once it is applied.
   * @throws SpoolgateError `controlUnavailable` when leadership is lost before that.
   */
  add(entry: LogEntry): Promise<unknown>
  /** Resolves the proposal of an applied entry. */
  finish(entry: LogEntry, result: unknown): void
  /** Rejects all pending proposals because their outcome is unknown. */
  failAll(): void
}

interface Proposal {
  readonly term: number
  resolve(result: unknown): void
  reject(error: SpoolgateError): void
}

/** Creates an empty set of pending proposals. */
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
