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

/** Parses what was delivered; undefined when it cannot be continued, as with tool calls. */
export function parseDelivered(payloads: readonly string[]): DeliveredStream | undefined {
  let text = ''
  let first: StreamChunk | undefined
  let isFinished = false
  for (const payload of payloads) {
    if (payload === DONE_MARKER) continue
    let chunk: StreamChunk
    try {
      chunk = JSON.parse(payload) as StreamChunk
    } catch {
      return undefined
    }
    const added = readText(chunk)
    if (added === undefined || (chunk.choices?.length ?? 0) > 1) return undefined
    text += added
    first ??= chunk
    isFinished ||= typeof chunk.choices?.[0]?.finish_reason === 'string'
  }
  return { text, id: first?.id, created: first?.created, isFinished }
}

/** Gives a part of a continued stream the identity of the first part. */
export function formatContinued(payload: string, delivered: DeliveredStream): string {
  if (payload === DONE_MARKER || delivered.id === undefined) return payload
  const chunk = JSON.parse(payload) as StreamChunk
  return JSON.stringify({ ...chunk, id: delivered.id, created: delivered.created })
}
