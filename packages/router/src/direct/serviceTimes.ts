/**
 * Service times of backend servers, estimated from the calls of this router: the prefill rate of the engines of a
 * group, and the time of a request to a plain service. Server ranking uses them, since the speed of a deployment's
 * servers is not configured anywhere.
 */

/** Estimated service times; see {@link createServiceTimes}. */
export interface ServiceTimes {
  /** Records a prefill by its tokens and the time from the send to the first chunk of the response, in ms. */
  recordPrefill(group: string, tokens: number, ms: number): void
  /** Records a request to a plain service by the time from the send to the complete response, in ms. */
  recordPlainRequest(group: string, ms: number): void
  /** Prompt tokens that an engine of the group prefills per ms. */
  findPrefillTokensPerMs(group: string): number
  /** Time of one request to a plain service of the group, in ms. */
  findPlainRequestMs(group: string): number
}

/** Samples kept for each group: a few seconds of a busy router, so that changes show soon. */
const MAX_SAMPLES = 40
/** Minimum number of samples for an estimate; with fewer, the initial values apply. */
const MIN_SAMPLES = 4
/** Minimum number of prefilled tokens in a sample; with fewer, engine steps dominate the time to the first chunk. */
const MIN_PREFILL_TOKENS = 500
/** Prefill rate assumed until there are samples; engines prefill from tens to hundreds of tokens per ms. */
const INITIAL_TOKENS_PER_MS = 50
/** Time of a plain request assumed until there are samples, in ms. */
const INITIAL_PLAIN_MS = 50
/** Queueing only lowers the observed rate, so a high quantile is closest to the true one. */
const PREFILL_RATE_QUANTILE = 0.7
const PLAIN_QUANTILE = 0.5

/** Creates estimates without samples. */
export function createServiceTimes(): ServiceTimes {
  const prefillRates = new Map<string, number[]>()
  const plainTimes = new Map<string, number[]>()
  const addSample = (samples: Map<string, number[]>, group: string, value: number) => {
    samples.set(group, [...(samples.get(group) ?? []), value].slice(-MAX_SAMPLES))
  }
  const findQuantile = (values: readonly number[] | undefined, quantile: number) => {
    if (!values || values.length < MIN_SAMPLES) return undefined
    const sorted = [...values].sort((a, b) => a - b)
    return sorted[Math.floor(quantile * (sorted.length - 1))]
  }
  return {
    recordPrefill: (group, tokens, ms) => {
      if (tokens >= MIN_PREFILL_TOKENS && ms > 0) addSample(prefillRates, group, tokens / ms)
    },
    recordPlainRequest: (group, ms) => addSample(plainTimes, group, ms),
    findPrefillTokensPerMs: (group) =>
      findQuantile(prefillRates.get(group), PREFILL_RATE_QUANTILE) ?? INITIAL_TOKENS_PER_MS,
    findPlainRequestMs: (group) =>
      findQuantile(plainTimes.get(group), PLAIN_QUANTILE) ?? INITIAL_PLAIN_MS,
  }
}
