/**
 * How backend servers are spoken to. Each kind is one entry of a lookup table; an engine of another
 * dialect is one more entry.
 */
import { parseJsonBody } from '@spoolgate/core'
import { renderPrompt, type CallHeader, type PromptText } from '@spoolgate/routing'

/** What is sent to the backend server for one call. */
export interface PreparedCall {
  readonly body: Buffer
  /** Prompt of the call; undefined for plain services. */
  readonly prompt?: PromptText
}

/** One way to speak to a backend server. */
export interface BackendAdapter {
  /** Whether it has a cache, a load report and weights to watch. */
  readonly isEngine: boolean
  /** Statuses from this one on mean that it failed, instead of being its answer. */
  readonly failureStatus: number
  /** Prepares the body; `resumeText` is what an earlier attempt already delivered. */
  prepare(call: CallHeader, body: Buffer, resumeText: string | undefined): PreparedCall
}

const FIRST_SERVER_ERROR = 500

const openaiEngine: BackendAdapter = {
  isEngine: true,
  failureStatus: FIRST_SERVER_ERROR,
  prepare: (call, body, resumeText) => {
    const request = parseJsonBody(body) as Record<string, unknown>
    const prompt = renderPrompt(request)
    request.cache_salt = call.scope
    request.priority = call.priority
    if (resumeText !== undefined) request.resume_text = resumeText
    return { body: Buffer.from(JSON.stringify(request)), prompt }
  },
}

const plainService: BackendAdapter = {
  isEngine: false,
  failureStatus: Infinity,
  prepare: (_call, body) => ({ body }),
}

/** Adapters by the name that settings use. */
export const BACKEND_ADAPTERS = { openaiEngine, plainService } as const satisfies Record<
  string,
  BackendAdapter
>
