/** Conversion of responses to unrepeatable requests to and from the form stored in claims. */
import type { StoredResponse } from '@spoolgate/control'
import type { BufferedResponse } from './sinks.js'

/** Largest response body that a claim stores, in bytes. */
const MAX_STORED_BODY_BYTES = 256 * 1024

/** Converts a response for storage in a claim; undefined if it is too large. */
export function toKeptAnswer(response: BufferedResponse): StoredResponse | undefined {
  if (response.body.length > MAX_STORED_BODY_BYTES) return undefined
  const text = response.body.toString('utf8')
  const isBase64 = !Buffer.from(text, 'utf8').equals(response.body)
  const { status, contentType } = response.head
  return { status, contentType, body: isBase64 ? response.body.toString('base64') : text, isBase64 }
}

/** Restores a response that a claim stores. */
export function parseKeptAnswer(stored: StoredResponse): BufferedResponse {
  const body = Buffer.from(stored.body, stored.isBase64 ? 'base64' : 'utf8')
  return { head: { status: stored.status, contentType: stored.contentType }, body }
}
