/** Estimates how long a new call waits at the backend server, from what this process has seen. */
import type { TimerService } from '@spoolgate/core'

/** Estimate of load. */
export interface LoadEstimate {
  /** Records a call that was sent and lacks `missingTokens` of its prompt in the cache. */
  startCall(missingTokens: number): CallEstimate
  /** Prompt tokens computed in a millisecond. */
  prefillTokensPerMs(): number
  /** Expected wait of a new call before its own prompt is computed, in ms. */
  queueMs(waiting: number, slots: number): number
}

/** Records the progress of one call. */
export interface CallEstimate {
  /** The prompt is computed. */
  recordFirstToken(): void
  /** The call has ended, with or without a first token. */
  recordEnd(): void
}

const INITIAL_TOKENS_PER_MS = 10
const INITIAL_CALL_MS = 500
const SMOOTHING = 0.1
/** Least busy time that gives one sample of the rate, in ms. */
const SAMPLE_MS = 100

/** Creates an estimate. */
export function createLoadEstimate(timers: TimerService): LoadEstimate {
  let pendingTokens = 0
  let pendingCalls = 0
  let rate = INITIAL_TOKENS_PER_MS
  let callMs = INITIAL_CALL_MS
  let busySince = 0
  let busyMs = 0
  let busyTokens = 0

  const recordBusy = (tokens: number) => {
    const now = timers.now()
    busyMs += now - busySince
    busySince = now
    busyTokens += tokens
    if (busyMs < SAMPLE_MS) return
    // Short prompts are bound by the engine's step, not by its speed: such samples say little.
    if (busyTokens / busyMs > 1) rate += SMOOTHING * (busyTokens / busyMs - rate)
    busyMs = 0
    busyTokens = 0
  }

  return {
    startCall: (missingTokens) => {
      const startedAt = timers.now()
      if (pendingCalls === 0) busySince = startedAt
      pendingTokens += missingTokens
      pendingCalls += 1
      let isPending = true
      const endPending = (tokens: number) => {
        if (!isPending) return
        isPending = false
        pendingTokens -= missingTokens
        recordBusy(tokens)
        pendingCalls -= 1
      }
      return {
        recordFirstToken: () => endPending(missingTokens),
        recordEnd: () => {
          endPending(0)
          callMs += SMOOTHING * (timers.now() - startedAt - callMs)
        },
      }
    },
    prefillTokensPerMs: () => rate,
    queueMs: (waiting, slots) => pendingTokens / rate + (waiting * callMs) / slots,
  }
}
