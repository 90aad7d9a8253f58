/** Reading of an OpenAI-style request into what the engine computes. */
import { SpoolgateError, type PrefixHash } from '@spoolgate/core'
import { estimateTokenCount, hashPrefixes, renderPrompt } from '@spoolgate/routing'
import { countAnswerTokens, hashPromptText } from './answers.js'

/** Tokens generated when the caller names no bound. */
export const DEFAULT_MAX_TOKENS = 64

/** A request as the engine takes it. */
export interface EngineRequest {
  readonly model: string
  readonly isStream: boolean
  readonly includeUsage: boolean
  readonly priority: number
  readonly blocks: readonly PrefixHash[]
  readonly promptTokens: number
  readonly promptHash: number
  readonly maxTokens: number
  readonly resumedTokens: number
}

/** Sizes of the engine's blocks and tokens. */
export interface EngineSizes {
  readonly blockTokens: number
  readonly bytesPerToken: number
}

function listBlockEnds(bytes: number, sizes: EngineSizes): number[] {
  const blockBytes = sizes.blockTokens * sizes.bytesPerToken
  return Array.from({ length: Math.floor(bytes / blockBytes) }, (_, i) => (i + 1) * blockBytes)
}

function readNumber(value: unknown, fallback: number): number {
  return typeof value === 'number' && Number.isFinite(value) ? value : fallback
}

/**
 * Parses a request. Besides the usual fields it takes `cache_salt` (scope of cached blocks),
 * `priority` (0 first) and `resume_text` (text already generated, to go on from).
 */
export function parseEngineRequest(
  body: Readonly<Record<string, unknown>>,
  sizes: EngineSizes,
): EngineRequest {
  if (typeof body.model !== 'string') {
    throw new SpoolgateError('invalidRequest', 'send "model", a string')
  }
  const prompt = renderPrompt(body)
  const salt = typeof body.cache_salt === 'string' ? body.cache_salt : ''
  const resumeText = typeof body.resume_text === 'string' ? body.resume_text : ''
  const streamOptions = body.stream_options as { include_usage?: boolean } | undefined
  const maxTokens = readNumber(body.max_completion_tokens ?? body.max_tokens, DEFAULT_MAX_TOKENS)
  return {
    model: body.model,
    isStream: body.stream === true,
    includeUsage: streamOptions?.include_usage === true,
    priority: readNumber(body.priority, 0),
    blocks: hashPrefixes(salt, prompt.bytes, listBlockEnds(prompt.bytes.length, sizes)),
    promptTokens: estimateTokenCount(prompt.bytes.length, sizes),
    promptHash: hashPromptText(prompt.bytes),
    maxTokens: Math.max(1, maxTokens),
    resumedTokens: countAnswerTokens(resumeText),
  }
}
