/**
 * Continuation of a stream on another backend server: the text already delivered to the caller is
 * sent along as a forced prefix, and the chunks that follow take the id of the first stream.
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

/** The part of a stream that the caller has received. */
export interface DeliveredStream {
  /** Text received so far. */
  readonly text: string
  /** Id that later chunks must repeat, like `created`. */
  readonly id: string | undefined
  readonly created: number | undefined
  /** Whether the chunk with the finish reason has been delivered. */
  readonly isFinished: boolean
}

/** Payload of the last event of a stream. */
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

/**
 * Parses the delivered chunks. Returns undefined if the stream cannot be continued, as with tool
 * calls or several choices.
 */
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

/** Sets the id and creation time of the first chunk on a chunk of a continued stream. */
export function formatContinuedChunk(payload: string, delivered: DeliveredStream): string {
  if (payload === DONE_MARKER || delivered.id === undefined) return payload
  const chunk = JSON.parse(payload) as StreamChunk
  return JSON.stringify({ ...chunk, id: delivered.id, created: delivered.created })
}
