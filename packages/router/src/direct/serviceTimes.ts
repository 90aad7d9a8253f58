/**
 * How long backend servers take for their work, as the calls of this router show: tokens that the
 * engines of a group read in a ms, and the time of a request to a plain service. Choices reckon with
 * these; what a deployment's servers can do is written nowhere.
 */

/** Learned times; see {@link createServiceTimes}. */
export interface ServiceTimes {
  /** Notes that an engine read prompt tokens, by the time from the send to the first part in ms. */
  recordPrefill(group: string, tokens: number, ms: number): void
  /** Notes that a plain service answered, by the time from the send to the answer in ms. */
  recordPlainRequest(group: string, ms: number): void
  /** Prompt tokens that an engine of the group reads in a ms. */
  findPrefillTokensPerMs(group: string): number
  /** Time of one request to a plain service of the group, in ms. */
  findPlainRequestMs(group: string): number
}

/** Values that are kept for each group: seconds of a busy router, so that a change shows soon. */
const MAX_SAMPLES = 40
/** Values from which on they count; before, the start values do. */
const MIN_SAMPLES = 4
/** Tokens below which the steps of an engine, and not its reading, decide the first part. */
const MIN_READ_TOKENS = 500
/** Engines read between some tens and some hundred tokens in a ms; used until some prompts were read. */
const START_TOKENS_PER_MS = 50
/** Used until some answers came, in ms. */
const START_PLAIN_MS = 50
/** Waiting only lowers the rate that is seen, so that it is taken from the faster ones. */
const READ_QUANTILE = 0.7
const PLAIN_QUANTILE = 0.5

/** Creates times that know of no call. */
export function createServiceTimes(): ServiceTimes {
  const rates = new Map<string, number[]>()
  const plainTimes = new Map<string, number[]>()
  const record = (samples: Map<string, number[]>, group: string, value: number) => {
    samples.set(group, [...(samples.get(group) ?? []), value].slice(-MAX_SAMPLES))
  }
  const findQuantile = (values: readonly number[] | undefined, quantile: number) => {
    if (!values || values.length < MIN_SAMPLES) return undefined
    const sorted = [...values].sort((a, b) => a - b)
    return sorted[Math.floor(quantile * (sorted.length - 1))]
  }
  return {
    recordPrefill: (group, tokens, ms) => {
      if (tokens >= MIN_READ_TOKENS && ms > 0) record(rates, group, tokens / ms)
    },
    recordPlainRequest: (group, ms) => record(plainTimes, group, ms),
    findPrefillTokensPerMs: (group) =>
      findQuantile(rates.get(group), READ_QUANTILE) ?? START_TOKENS_PER_MS,
    findPlainRequestMs: (group) =>
      findQuantile(plainTimes.get(group), PLAIN_QUANTILE) ?? START_PLAIN_MS,
  }
}
