/** Reading of HTTP bodies as text while they come, on the path of every token. */
import type { IncomingMessage } from 'node:http'
import { ConnectionError } from './errors.js'
import { CUT_REASONS, watchCompletion } from './responseCompletion.js'

/**
 * Reads a body piece by piece. A promise that `onText` returns holds the body back until it settles.
 * Plain listeners are used: an async iterator took a tenth of the time of every token.
 * @returns why the body broke off, or undefined at its end
 * @throws what `onText` throws
 */
export function readTextStream(
  message: IncomingMessage,
  onText: (text: string) => Promise<void> | undefined | void,
): Promise<Error | undefined> {
  return new Promise((resolve, reject) => {
    const watch = watchCompletion(message)
    const createCutError = () =>
      new ConnectionError(CUT_REASONS[watch.findCut() ?? 'ended'], false, false)
    message.setEncoding('utf8')
    message.on('data', (text: string) => {
      try {
        const drained = onText(text)
        if (!drained) return
        message.pause()
        void drained.then(() => message.resume())
      } catch (cause) {
        // Thrown from a listener it would end the process.
        message.destroy()
        reject(cause)
      }
    })
    message.on('end', () => resolve(watch.findCut() && createCutError()))
    for (const event of ['error', 'close'] as const)
      message.on(event, () => resolve(createCutError()))
  })
}
