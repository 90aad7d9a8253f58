/** Bodies of answers in the OpenAI style, for chats and for completions, streamed and whole. */

/** Token counts of one answer. */
export interface Usage {
  readonly promptTokens: number
  readonly completionTokens: number
  readonly cachedTokens: number
}

/** Facts that every part of one answer repeats. */
export interface AnswerFacts {
  readonly id: string
  readonly model: string
  /** Seconds since the Unix epoch. */
  readonly created: number
}

/** How one endpoint writes its answers. */
export interface AnswerFormat {
  formatChunk(facts: AnswerFacts, text: string, finish: string | null): string
  formatWhole(facts: AnswerFacts, text: string, usage: Usage): unknown
}

function formatUsage(usage: Usage) {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens },
  }
}

const chatFormat: AnswerFormat = {
  formatChunk: (facts, text, finish) =>
    JSON.stringify({
      id: facts.id,
      object: 'chat.completion.chunk',
      created: facts.created,
      model: facts.model,
      choices: [
        { index: 0, delta: finish === null ? { content: text } : {}, finish_reason: finish },
      ],
    }),
  formatWhole: (facts, text, usage) => ({
    id: facts.id,
    object: 'chat.completion',
    created: facts.created,
    model: facts.model,
    choices: [{ index: 0, message: { role: 'assistant', content: text }, finish_reason: 'stop' }],
    usage: formatUsage(usage),
  }),
}

const completionFormat: AnswerFormat = {
  formatChunk: (facts, text, finish) =>
    JSON.stringify({
      id: facts.id,
      object: 'text_completion',
      created: facts.created,
      model: facts.model,
      choices: [{ index: 0, text, finish_reason: finish }],
    }),
  formatWhole: (facts, text, usage) => ({
    id: facts.id,
    object: 'text_completion',
    created: facts.created,
    model: facts.model,
    choices: [{ index: 0, text, finish_reason: 'stop' }],
    usage: formatUsage(usage),
  }),
}

/** Formats by path. */
export const ANSWER_FORMATS: Readonly<Record<string, AnswerFormat>> = {
  '/v1/chat/completions': chatFormat,
  '/v1/completions': completionFormat,
}

/** Formats the chunk that carries only usage, sent last when the caller asked for it. */
export function formatUsageChunk(facts: AnswerFacts, usage: Usage): string {
  return JSON.stringify({
    id: facts.id,
    object: 'chat.completion.chunk',
    created: facts.created,
    model: facts.model,
    choices: [],
    usage: formatUsage(usage),
  })
}
