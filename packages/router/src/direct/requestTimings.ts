/** Timings of one request: time to the first response chunk, and the service time of its last attempt. */
import type { CallPlan } from './callPlan.js'
import type { DirectContext } from './directContext.js'

/** See {@link createRequestTimings}. */
export interface RequestTimings {
  /** Records the start of an attempt and the number of prompt tokens that its server has to prefill. */
  recordAttempt(uncachedTokens: number): void
  /** Records the first chunk of the response; later calls have no effect. */
  recordFirstPart(): void
  /** Records that the response is complete; has an effect only for plain services. */
  recordPlainResponse(): void
  /** Time from the arrival of the request to the first chunk, in ms; undefined before the first chunk. */
  firstPartMs(): number | undefined
}

/** Creates the timings of a request that has not been sent yet. */
export function createRequestTimings(
  {
    timers,
    serviceTimes,
    instruments,
  }: Pick<DirectContext, 'timers' | 'serviceTimes' | 'instruments'>,
  { call, group, arrivedAt }: CallPlan,
): RequestTimings {
  let lastAttempt: { readonly at: number; readonly uncachedTokens: number } | undefined
  let firstPartMs: number | undefined

  const recordDuration = () => {
    if (!lastAttempt) return
    const durationMs = timers.now() - lastAttempt.at
    if (call.prompt) serviceTimes.recordPrefill(group.name, lastAttempt.uncachedTokens, durationMs)
    else serviceTimes.recordPlainRequest(group.name, durationMs)
  }
  return {
    recordAttempt: (uncachedTokens) => {
      lastAttempt = { at: timers.now(), uncachedTokens }
    },
    recordFirstPart: () => {
      if (firstPartMs !== undefined) return
      recordDuration()
      firstPartMs = timers.now() - arrivedAt
      instruments.firstPartMs.record(firstPartMs)
    },
    recordPlainResponse: () => {
      if (!call.prompt) recordDuration()
    },
    firstPartMs: () => firstPartMs,
  }
}
