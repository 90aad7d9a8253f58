/** Reading of a file that another program may be writing at this moment. */
import { readFile } from 'node:fs/promises'
import { waitFor, type TimerService } from './timers.js'

/** Time within which a writer is expected to write again, in ms. */
const SETTLE_MS = 50

/**
 * Reads a file whose text did not change for a moment, since one that is cut off may look whole.
 * @throws Error if the file is missing, empty or being written.
 */
export async function readStableFile(path: string, timers: TimerService): Promise<string> {
  const text = await readFile(path, 'utf8')
  if (text.trim() === '') throw new Error(`${path} is empty`)
  await waitFor(timers, SETTLE_MS)
  if ((await readFile(path, 'utf8')) !== text) throw new Error(`${path} is being written`)
  return text
}
