export { findFleetCacheOwner } from './fleetCacheOwner.js'
export {
  formatCacheScope,
  formatSharedOwner,
  formatStoreId,
  formatTeamOwner,
  hashPromptPart,
  hashTeam,
  parseScopeVersion,
  type CacheOwner,
  type TeamDigest,
} from './cacheScope.js'
export { MAX_PROMPT_LEVELS, renderPrompt, type PromptText } from './promptText.js'
export {
  buildPrefixChain,
  estimateTokenCount,
  formatCacheSalt,
  hashPrefixes,
  hashText,
  type BlockSizes,
  type CacheScope,
  type PrefixChain,
  type PrefixLevel,
} from './prefixChain.js'
export { createHintTable, type HintTable, type ReplyHints, type ServerHintState } from './hints.js'
export {
  CALL_HEADER,
  FRAME_EVENTS,
  HINTS_HEADER,
  formatFrame,
  type BodyFrame,
  type CallHeader,
  type Decline,
  type DeclineReason,
  type Dispatch,
  type DispatchState,
  type EndFrame,
  type HeadFrame,
} from './callHeader.js'
export { createRendezvousHash, type RendezvousHash } from './rendezvous.js'
export { createSpeedEstimate, type SpeedEstimate, type SpeedSample } from './speedEstimate.js'
export { createSubsetWidths, type SubsetWidths } from './subsetWidths.js'
export { createRetryBudget, type RetryBudget } from './retryBudget.js'
export {
  createBackpressure,
  CARRY_OVER_MAX_AGE_MS,
  MAX_BACKOFF_MS,
  TRIAL_INTERVAL_MS,
  type Backpressure,
  type SendVerdict,
} from './backpressure.js'
export {
  createOutlierEjection,
  type EjectableServer,
  type OutlierEjection,
  type EjectionOutcome,
} from './ejection.js'
export { POLICIES } from './policies/index.js'
export type { Policy, PolicyInput, PolicyState, RankedCandidate } from './policies/policy.js'
export {
  listTableProblems,
  type CacheStore,
  type CallerBounds,
  type EngineCapacity,
  type QuotaUnit,
  type Repeatability,
  type RouteRule,
  type RouteTarget,
  type RoutingTable,
  type ServerGroup,
  type TeamEntry,
  type TeamQuota,
} from './table/routingTable.js'
export { buildTableIndex, chooseTarget, type TableIndex } from './table/tableIndex.js'
