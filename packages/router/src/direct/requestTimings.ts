/** The times of one request: when its first part came, and how long the server of its last send took. */
import type { CallPlan } from './callPlan.js'
import type { DirectParts } from './directParts.js'

/** See {@link createRequestTimings}. */
export interface RequestTimings {
  /** Notes a send of the request, with the prompt tokens that its server has to read. */
  recordAttempt(unreadTokens: number): void
  /** Notes the first part of the answer; later parts change nothing. */
  recordFirstPart(): void
  /** Notes that a plain service answered. */
  recordPlainResponse(): void
  /** Time from the arrival to the first part, in ms; undefined before it. */
  firstPartMs(): number | undefined
}

/** Creates the times of a request that was not sent yet. */
export function createRequestTimings(
  { timers, times, instruments }: Pick<DirectParts, 'timers' | 'times' | 'instruments'>,
  { call, group, arrivedAt }: CallPlan,
): RequestTimings {
  let lastAttempt: { readonly at: number; readonly unreadTokens: number } | undefined
  let firstPartMs: number | undefined

  const recordDuration = () => {
    if (!lastAttempt) return
    const durationMs = timers.now() - lastAttempt.at
    if (call.prompt) times.recordRead(group.name, lastAttempt.unreadTokens, durationMs)
    else times.recordPlain(group.name, durationMs)
  }
  return {
    recordAttempt: (unreadTokens) => {
      lastAttempt = { at: timers.now(), unreadTokens }
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
