/** Processes the messages of other members one at a time, so that log changes never overlap. */
import { SpoolgateError } from '@spoolgate/core'

/** See {@link createMessageQueue}. */
export interface MessageQueue {
  /**
   * Processes a message after those before it.
   * @throws SpoolgateError `controlUnavailable` after a disk failure.
   */
  run<T>(process: () => Promise<T>): Promise<T>
  /** Resolves once all messages are processed, or none is any more because they wait for a failed disk. */
  finish(): Promise<void>
}

/** Creates a queue that ends when the disk of the member has failed. */
export function createMessageQueue(diskFailed: Promise<void>): MessageQueue {
  let hasDiskFailed = false
  let last: Promise<unknown> = Promise.resolve()
  void diskFailed.then(() => {
    hasDiskFailed = true
  })
  return {
    run: (process) => {
      const result = last.then(() => {
        if (!hasDiskFailed) return process()
        // What this member holds in memory may be ahead of its disk, and a reply would vouch for it.
        throw new SpoolgateError(
          'controlUnavailable',
          'the disk of this member failed; ask another',
        )
      })
      last = result.catch(() => {})
      return result
    },
    finish: async () => {
      await Promise.race([last, diskFailed])
    },
  }
}
