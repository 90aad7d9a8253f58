/** Timings of one request: time to the first response chunk, and the service time of its last attempt. */
import type { BackendServerId } from '@spoolgate/core'
import type { CallPlan } from './callTypes.js'
import type { DirectContext } from './directContext.js'
import type { Candidate } from './serverRanking.js'
import type { ServerSpeeds } from '../speeds/serverSpeeds.js'

/** See {@link createRequestTimings}. */
export interface RequestTimings {
  /** Records the start of an attempt at a server, and the work that is expected there. */
  recordAttempt(candidate: Candidate): void
  /** Records that the request of the attempt is written to its connection now. */
  recordWrite(): void
  /** Records the first chunk of the response; later calls have no effect. */
  recordFirstPart(): void
  /** Records that the response is complete; has an effect only for plain services. */
  recordPlainResponse(): void
  /** Lists the log fields. */
  list(): TimingFields
}

/** Timings as log fields. */
export interface TimingFields {
  /** Time from the arrival of the request to the first chunk, in ms; undefined before the first chunk. */
  readonly firstPartMs: number | undefined
  /** Time from the start of the last attempt until its request was written, in ms; undefined if it was not. */
  readonly connectMs: number | undefined
}

/** The last send of the request. */
interface Attempt {
  readonly at: number
  readonly candidate: Candidate
  readonly wasLoading: boolean
}

/** Minimum fraction of the time to the first chunk that counts as prefill, where the overhead takes nearly all of it. */
const MIN_PREFILL_RATIO = 0.25

/** Creates the timings of a request that has not been sent yet. */
export function createRequestTimings(
  {
    timers,
    serviceTimes,
    findServerSpeeds,
    instruments,
    feed,
  }: Pick<DirectContext, 'timers' | 'serviceTimes' | 'findServerSpeeds' | 'instruments' | 'feed'>,
  { call, group, arrivedAt }: CallPlan,
): RequestTimings {
  let lastAttempt: Attempt | undefined
  let firstPartMs: number | undefined
  let connectMs: number | undefined

  const isLoading = (id: BackendServerId) => feed.current()?.loading.has(id) ?? false
  /** Records the speed of the server. An engine that loads weights delays its requests for another reason. */
  const recordSpeed = ({ candidate, at: sentAt, wasLoading }: Attempt, speeds: ServerSpeeds) => {
    const { server, uncachedTokens, aheadTokens, overheadMs } = candidate
    const sample = { group: group.name, server: server.id, at: timers.now() }
    const durationMs = sample.at - sentAt
    if (!call.prompt) return speeds.recordPlainRequest({ ...sample, ms: durationMs })
    if (wasLoading || isLoading(server.id)) return
    const prefillMs = Math.max(durationMs - overheadMs, durationMs * MIN_PREFILL_RATIO)
    speeds.recordPrefill({ ...sample, ownTokens: uncachedTokens, aheadTokens, prefillMs })
  }
  const recordDuration = () => {
    if (!lastAttempt) return
    const durationMs = timers.now() - lastAttempt.at
    const { uncachedTokens } = lastAttempt.candidate
    const serverSpeeds = findServerSpeeds(group)
    if (serverSpeeds) recordSpeed(lastAttempt, serverSpeeds)
    if (call.prompt) serviceTimes.recordPrefill(group.name, uncachedTokens, durationMs)
    else serviceTimes.recordPlainRequest(group.name, durationMs)
  }
  return {
    recordAttempt: (candidate) => {
      const wasLoading = isLoading(candidate.server.id)
      lastAttempt = { at: timers.now(), candidate, wasLoading }
      connectMs = undefined
    },
    recordWrite: () => {
      if (lastAttempt) connectMs = Math.round(timers.now() - lastAttempt.at)
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
    list: () => ({ firstPartMs, connectMs }),
  }
}
