/**
 * Continuation of a stream on another backend server: the text that the caller already has goes
 * along as a forced prefix, and the parts that follow are made to look like one answer.
 */

interface StreamChunk {
  id?: string
  created?: number
  choices?: readonly {
    readonly delta?: { readonly content?: unknown; readonly tool_calls?: unknown }
    readonly text?: unknown
    readonly finish_reason?: string | null
  }[]
}

/** What the caller has of a stream. */
export interface DeliveredStream {
  /** Text so far. */
  readonly text: string
  /** Identity that later parts must repeat. */
  readonly id: string | undefined
  readonly created: number | undefined
  /** The part that says why generation ended has been delivered. */
  readonly isFinished: boolean
}

/** Last event of a stream. */
export const DONE_MARKER = '[DONE]'

function readText(chunk: StreamChunk): string | undefined {
  const choice = chunk.choices?.[0]
  if (!choice) return ''
  if (choice.delta?.tool_calls !== undefined) return undefined
  const text = choice.delta?.content ?? choice.text ?? ''
  return typeof text === 'string' ? text : undefined
}

function parseChunk(payload: string): StreamChunk | undefined {
  try {
    return JSON.parse(payload) as StreamChunk
  } catch {
    return undefined
  }
}

/** Parses what was delivered; undefined when it cannot be continued, as with tool calls. */
export function parseDeliveredChunks(payloads: readonly string[]): DeliveredStream | undefined {
  const chunks = payloads.filter((payload) => payload !== DONE_MARKER).map(parseChunk)
  const texts = chunks.map((chunk) => chunk && readText(chunk))
  const hasSeveral = chunks.some((chunk) => (chunk?.choices?.length ?? 0) > 1)
  if (hasSeveral || texts.includes(undefined)) return undefined
  const isFinal = (chunk: StreamChunk | undefined) =>
    typeof chunk?.choices?.[0]?.finish_reason === 'string'
  return {
    text: texts.join(''),
    id: chunks[0]?.id,
    created: chunks[0]?.created,
    isFinished: chunks.some(isFinal),
  }
}

/** Gives a part of a continued stream the identity of the first part. */
export function formatContinuedChunk(payload: string, delivered: DeliveredStream): string {
  if (payload === DONE_MARKER || delivered.id === undefined) return payload
  const chunk = JSON.parse(payload) as StreamChunk
  return JSON.stringify({ ...chunk, id: delivered.id, created: delivered.created })
}
