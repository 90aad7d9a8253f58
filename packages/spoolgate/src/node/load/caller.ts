/** A caller: sends one request, measures its answer and compares it with what it must be. */
import {
  ConnectionError,
  createEventParser,
  readErrorAnswer,
  SpoolgateError,
  type HttpClient,
  type TimerService,
} from '@spoolgate/core'
import { renderPrompt } from '@spoolgate/routing'
import { hashPromptText, renderAnswer } from '@spoolgate/standins'
import type { WorkItem } from './workload.js'

/** What became of one request. */
export interface CallReport {
  /** `whole`: exactly the expected text. `wrong`: another text. */
  readonly kind: 'whole' | 'wrong' | 'refused' | 'failed'
  /** Time to the first token in ms; undefined when there was none. */
  readonly firstTokenMs: number | undefined
  /** Times between tokens in ms. */
  readonly gapsMs: readonly number[]
  readonly promptTokens: number
  readonly cachedTokens: number
  readonly error?: SpoolgateError
  /** Whether a stream ended with an explicit error event. */
  readonly hasErrorEvent: boolean
  /** Request id that the router gave. */
  readonly request: string | undefined
  readonly team: string
}

/** Options of {@link sendWorkItem}. */
export interface CallerOptions {
  readonly client: HttpClient
  readonly timers: TimerService
  readonly url: string
  readonly key: string
  readonly model: string
  /**
   * Whether each request gets a connection of its own, so that none is sent on one that the other
   * side is just closing.
   * @default false
   */
  readonly isFresh?: boolean
}

interface Chunk {
  readonly choices?: readonly { readonly delta?: { readonly content?: string } }[]
  readonly usage?: {
    readonly prompt_tokens: number
    readonly prompt_tokens_details?: { readonly cached_tokens: number }
  }
  readonly error?: unknown
}

const DONE_MARKER = '[DONE]'

/** The text that the stand-in engines answer to a work item. */
export function renderExpected(item: WorkItem): string {
  const prompt = renderPrompt({ messages: item.messages })
  return renderAnswer(hashPromptText(prompt.bytes), item.answerTokens)
}

/** Reads a streamed answer. */
function createAnswerReader(timers: TimerService) {
  let text = ''
  let isDone = false
  let hasError = false
  let lastAt: number | undefined
  let firstAt: number | undefined
  const gapsMs: number[] = []
  let usage: Chunk['usage']
  const parser = createEventParser({
    onEvent: ({ data }) => {
      if (data === DONE_MARKER) {
        isDone = true
        return
      }
      const chunk = JSON.parse(data) as Chunk
      hasError ||= chunk.error !== undefined
      usage = chunk.usage ?? usage
      const content = chunk.choices?.[0]?.delta?.content
      if (content === undefined) return
      const now = timers.now()
      if (lastAt !== undefined) gapsMs.push(now - lastAt)
      firstAt ??= now
      lastAt = now
      text += content
    },
  })
  return {
    feed: (chunk: string) => parser.feed(chunk),
    read: () => ({ text, isDone, hasError, firstAt, gapsMs, usage }),
  }
}

type ReadAnswer = ReturnType<ReturnType<typeof createAnswerReader>['read']>

function buildReport(
  item: WorkItem,
  answer: ReadAnswer,
  startedAt: number,
  request: string | undefined,
): CallReport {
  const { text, isDone, hasError, firstAt, gapsMs, usage } = answer
  const isWhole = isDone && text === renderExpected(item)
  const isCutShort = hasError || !isDone
  return {
    kind: isWhole ? 'whole' : isCutShort ? 'failed' : 'wrong',
    firstTokenMs: firstAt === undefined ? undefined : firstAt - startedAt,
    gapsMs,
    promptTokens: usage?.prompt_tokens ?? 0,
    cachedTokens: usage?.prompt_tokens_details?.cached_tokens ?? 0,
    hasErrorEvent: hasError,
    request,
    team: item.team,
  }
}

function toFailure(cause: unknown, team: string, request: string | undefined): CallReport {
  const error = cause instanceof SpoolgateError ? cause : undefined
  // Without a connection the request was not sent, so it counts as refused.
  const isUnsent = cause instanceof ConnectionError && cause.neverSent
  return {
    kind: error?.notRun || isUnsent ? 'refused' : 'failed',
    firstTokenMs: undefined,
    gapsMs: [],
    promptTokens: 0,
    cachedTokens: 0,
    error,
    hasErrorEvent: false,
    request,
    team,
  }
}

/** Sends one item as a stream and reports; never rejects. */
export async function sendWorkItem(options: CallerOptions, item: WorkItem): Promise<CallReport> {
  const { client, timers, url, key, model } = options
  const startedAt = timers.now()
  let request: string | undefined
  try {
    const message = await client.send({
      method: 'POST',
      isFresh: options.isFresh,
      url: `${url}/v1/chat/completions`,
      headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
      body: JSON.stringify({
        model,
        stream: true,
        stream_options: { include_usage: true },
        max_tokens: item.answerTokens,
        messages: item.messages,
      }),
    })
    request = message.headers['x-request-id'] as string | undefined
    if (message.statusCode !== 200) throw await readErrorAnswer(message)
    const reader = createAnswerReader(timers)
    message.setEncoding('utf8')
    for await (const chunk of message) reader.feed(chunk as string)
    return buildReport(item, reader.read(), startedAt, request)
  } catch (cause) {
    return toFailure(cause, item.team, request)
  }
}
