/**
 * The prompt of a request as one run of bytes, with the places where its levels end: common
 * instructions, then the chart of accounts or the week's stock, then the trader or household.
 * Every message of a chat ends a level.
 */
import { SpoolgateError } from '@spoolgate/core'

/** Largest number of levels that are distinguished; longer chats keep the outermost and the last. */
export const MAX_PROMPT_LEVELS = 8

/** A prompt as bytes. */
export interface PromptText {
  readonly bytes: Buffer
  /** Offsets in bytes, rising; the last is the length of `bytes`. */
  readonly levelEnds: readonly number[]
}

interface ChatMessage {
  readonly role: string
  readonly content: unknown
}

function formatContent(content: unknown): string {
  if (typeof content === 'string') return content
  if (content === null || content === undefined) return ''
  if (!Array.isArray(content)) return JSON.stringify(content)
  return content
    .map((part) => (typeof part?.text === 'string' ? part.text : JSON.stringify(part)))
    .join('')
}

function toLevelEnds(ends: readonly number[]): number[] {
  if (ends.length <= MAX_PROMPT_LEVELS) return [...ends]
  return [...ends.slice(0, MAX_PROMPT_LEVELS - 1), ends[ends.length - 1]]
}

function renderMessages(messages: readonly ChatMessage[]): PromptText {
  const parts = messages.map(({ role, content }) =>
    Buffer.from(`<|${role}|>${formatContent(content)}`),
  )
  const ends: number[] = []
  let offset = 0
  for (const part of parts) {
    offset += part.length
    ends.push(offset)
  }
  return { bytes: Buffer.concat(parts), levelEnds: toLevelEnds(ends) }
}

function isMessage(value: unknown): value is ChatMessage {
  return (
    typeof value === 'object' && value !== null && typeof (value as ChatMessage).role === 'string'
  )
}

/**
 * Renders the prompt of a chat or completion request.
 * @throws SpoolgateError `invalidRequest` when the request has no prompt.
 */
export function renderPrompt(body: Readonly<Record<string, unknown>>): PromptText {
  const { messages, prompt } = body
  if (Array.isArray(messages) && messages.length > 0 && messages.every(isMessage)) {
    return renderMessages(messages)
  }
  if (typeof prompt === 'string') {
    const bytes = Buffer.from(prompt)
    return { bytes, levelEnds: [bytes.length] }
  }
  throw new SpoolgateError(
    'invalidRequest',
    'send "messages", a list of {role, content}, or "prompt", a string',
  )
}
