/** Answers of unrepeatable requests as claims keep them for resends. */
import type { KeptAnswer } from '@spoolgate/control'
import type { BufferedResponse } from './sinks.js'

/** Largest answer that is kept, in bytes. */
const MAX_KEPT_BYTES = 256 * 1024

/** Prepares an answer for keeping; undefined when it is too large. */
export function toKeptAnswer(response: BufferedResponse): KeptAnswer | undefined {
  if (response.body.length > MAX_KEPT_BYTES) return undefined
  const text = response.body.toString('utf8')
  const isBase64 = !Buffer.from(text, 'utf8').equals(response.body)
  const { status, contentType } = response.head
  return { status, contentType, body: isBase64 ? response.body.toString('base64') : text, isBase64 }
}

/** Reads a kept answer. */
export function parseKeptAnswer(kept: KeptAnswer): BufferedResponse {
  const body = Buffer.from(kept.body, kept.isBase64 ? 'base64' : 'utf8')
  return { head: { status: kept.status, contentType: kept.contentType }, body }
}
