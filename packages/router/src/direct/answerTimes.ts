/** The times of one request: when its first part came, and how long the server of its last send took. */
import type { CallPlan } from './callPlan.js'
import type { DirectContext } from './directContext.js'

/** See {@link createAnswerTimes}. */
export interface AnswerTimes {
  /** Notes a send of the request, with the prompt tokens that its server has to read. */
  recordSend(unreadTokens: number): void
  /** Notes the first part of the answer; later parts change nothing. */
  recordFirstPart(): void
  /** Notes that a plain service answered. */
  recordPlainAnswer(): void
  /** Time from the arrival to the first part, in ms; undefined before it. */
  firstPartMs(): number | undefined
}

/** Creates the times of a request that was not sent yet. */
export function createAnswerTimes(
  {
    timers,
    serviceTimes: times,
    instruments,
  }: Pick<DirectContext, 'timers' | 'serviceTimes' | 'instruments'>,
  { call, group, arrivedAt }: CallPlan,
): AnswerTimes {
  let sent: { readonly at: number; readonly unreadTokens: number } | undefined
  let firstPartMs: number | undefined

  const recordWork = () => {
    if (!sent) return
    const ms = timers.now() - sent.at
    if (call.prompt) times.recordPrefill(group.name, sent.unreadTokens, ms)
    else times.recordPlainRequest(group.name, ms)
  }
  return {
    recordSend: (unreadTokens) => {
      sent = { at: timers.now(), unreadTokens }
    },
    recordFirstPart: () => {
      if (firstPartMs !== undefined) return
      recordWork()
      firstPartMs = timers.now() - arrivedAt
      instruments.firstPartMs.record(firstPartMs)
    },
    recordPlainAnswer: () => {
      if (!call.prompt) recordWork()
    },
    firstPartMs: () => firstPartMs,
  }
}
