/** Answers of unrepeatable requests as claims keep them for resends. */
import type { StoredResponse } from '@spoolgate/control'
import type { WholeAnswer } from './sinks.js'

/** Largest answer that is kept, in bytes. */
const MAX_KEPT_BYTES = 256 * 1024

/** Prepares an answer for keeping; undefined when it is too large. */
export function toKeptAnswer(answer: WholeAnswer): StoredResponse | undefined {
  if (answer.body.length > MAX_KEPT_BYTES) return undefined
  const text = answer.body.toString('utf8')
  const isBase64 = !Buffer.from(text, 'utf8').equals(answer.body)
  const { status, contentType } = answer.head
  return { status, contentType, body: isBase64 ? answer.body.toString('base64') : text, isBase64 }
}

/** Reads a kept answer. */
export function parseKeptAnswer(kept: StoredResponse): WholeAnswer {
  const body = Buffer.from(kept.body, kept.isBase64 ? 'base64' : 'utf8')
  return { head: { status: kept.status, contentType: kept.contentType }, body }
}
