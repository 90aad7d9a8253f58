/**
 * Rendering of a request's prompt to bytes, with the offsets at which its levels end. Levels go from the most to the
 * least widely shared: common instructions, then the chart of accounts or the week's stock, then the data of one trader
 * or household. Every message of a chat ends a level.
 */
import { SpoolgateError } from '@spoolgate/core'

/** Largest number of levels; longer chats keep the outermost levels and the end of the last. */
export const MAX_PROMPT_LEVELS = 8

/** A prompt rendered to bytes. */
export interface PromptText {
  readonly bytes: Buffer
  /** Byte offsets in ascending order; the last is the length of `bytes`. */
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

function mergeMiddleLevels(ends: readonly number[]): number[] {
  if (ends.length <= MAX_PROMPT_LEVELS) return [...ends]
  return [...ends.slice(0, MAX_PROMPT_LEVELS - 1), ends[ends.length - 1]]
}

function renderMessages(messages: readonly ChatMessage[]): PromptText {
  const renderedMessages = messages.map(({ role, content }) =>
    Buffer.from(`<|${role}|>${formatContent(content)}`),
  )
  const ends: number[] = []
  let offset = 0
  for (const rendered of renderedMessages) {
    offset += rendered.length
    ends.push(offset)
  }
  return { bytes: Buffer.concat(renderedMessages), levelEnds: mergeMiddleLevels(ends) }
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
