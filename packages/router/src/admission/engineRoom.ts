/** Capacity of one engine for a further request: prefill queue, slots and KV memory. */
import type { AdmissionRequest, EngineLoad } from './types.js'

/**
 * Default upper bound on the time that the pending prefills of an engine take, in ms. It covers the intervals at which a
 * router learns of capacity that became free, so that engines are not idle in between.
 */
export const MAX_ENGINE_QUEUE_MS = 250
/**
 * Upper bound for requests that missed their target, in ms. It keeps an engine busy until the next start and leaves the rest
 * to requests that can be on time.
 */
export const MAX_LATE_ENGINE_QUEUE_MS = 100
/** Part of a request's target that may pass in the engine's own queue; the rest is for the router's queue and the prefill. */
const TARGET_RATIO = 0.5

/** Fields of a request that its engine capacity depends on. */
export type RoomRequest = Pick<AdmissionRequest, 'kvTokens' | 'targetAt' | 'arrivedAt'>

/** Returns the expected time until the prefill of a new request starts, in ms. */
export function estimateStartMs({
  pendingTokens,
  tokensPerMs,
}: Pick<EngineLoad, 'pendingTokens' | 'tokensPerMs'>): number {
  return tokensPerMs > 0 ? pendingTokens / tokensPerMs : Infinity
}

/**
 * Returns the maximum time that pending prefills may take at an engine that gets the request, in ms. A retry that arrives
 * after its target has nothing left to keep free for.
 */
export function findEngineQueueLimitMs(
  { targetAt, arrivedAt }: Pick<AdmissionRequest, 'targetAt' | 'arrivedAt'>,
  maxEngineQueueMs = MAX_ENGINE_QUEUE_MS,
): number {
  const targetMs = targetAt - arrivedAt
  return targetMs > 0 ? Math.min(maxEngineQueueMs, targetMs * TARGET_RATIO) : maxEngineQueueMs
}

/** Whether an engine has capacity for a request. An idle engine always has: nothing else can free more of it. */
export function isRoomLeft(
  load: EngineLoad,
  request: RoomRequest,
  maxEngineQueueMs = MAX_ENGINE_QUEUE_MS,
): boolean {
  if (load.calls === 0 && load.pendingTokens === 0) return true
  if (load.calls >= load.slots) return false
  if (load.kvTokens + request.kvTokens > load.kvCapacityTokens) return false
  return estimateStartMs(load) <= findEngineQueueLimitMs(request, maxEngineQueueMs)
}
