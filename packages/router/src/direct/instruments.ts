/** Metrics of a direct router. */
import type { Counter, Histogram, Metrics } from '@spoolgate/core'

/** Counters and histograms that requests update. */
export interface DirectInstruments {
  readonly requests: Counter
  readonly refusals: Counter
  readonly cutOff: Counter
  readonly sends: Counter
  readonly answersCut: Counter
  readonly withdrawals: Counter
  readonly quotaRefusals: Counter
  readonly firstPartMs: Histogram
  readonly promptTokens: Counter
  readonly matchedTokens: Counter
  readonly admissionWaitMs: Histogram
  readonly admissionRejected: Counter
}

/** Creates the instruments in a registry. */
export function createInstruments(
  metrics: Pick<Metrics, 'counter' | 'histogram'>,
): DirectInstruments {
  return {
    requests: metrics.counter('requests', 'Requests of callers'),
    refusals: metrics.counter('refusals', 'Requests that this router refused, by kind'),
    cutOff: metrics.counter('cut_off', 'Requests that a planned stop of this router cut off'),
    sends: metrics.counter('sends', 'Sends to backend servers, by group'),
    answersCut: metrics.counter(
      'answers_cut',
      'Responses of backend servers that were not whole, by part (none, head, body) and end of the connection',
    ),
    withdrawals: metrics.counter(
      'withdrawals',
      'Requests withdrawn from engines whose weights expired before they began',
    ),
    quotaRefusals: metrics.counter(
      'quota_refusals',
      'Requests beyond a limit of their team, by team',
    ),
    firstPartMs: metrics.histogram('first_part_ms', 'Time to the first part of an answer'),
    promptTokens: metrics.counter('prompt_tokens', 'Prompt tokens of requests that were sent'),
    matchedTokens: metrics.counter('matched_tokens', 'Prompt tokens presumed to be cached'),
    admissionWaitMs: metrics.histogram(
      'admission_wait_ms',
      'Time that requests waited for an engine with capacity, by band',
    ),
    admissionRejected: metrics.counter(
      'admission_rejected',
      'Requests refused for lack of engine capacity, by band and team',
    ),
  }
}
