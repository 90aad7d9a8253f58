export { encodeRecord, parseRecords } from './log/records.js'
export { openDataFolder, type AppendFile, type DataFolder } from './log/dataFolder.js'
export {
  createControlServer,
  type ControlServer,
  type ControlServerOptions,
} from './server/controlServer.js'
export type { SubmitConfigRequest } from './server/configRoutes.js'
export type { MemberChange } from './server/groupRoutes.js'
export type { NodeVersion } from './server/nodeVersions.js'
export { createControlClient, type ControlClient } from './client/controlClient.js'
export { createConfigFollower, type ConfigFollower } from './client/configFollower.js'
export type { RaftMember, RaftStatus } from './raft/types.js'
export type { MemberMap } from './raft/messages.js'
export type { ChangeRecord, SubmitConfigResult } from './state/configState.js'
export type { ClaimedDispatch, StoredResponse, OpenClaimResult } from './state/claimState.js'
export type { Order, OrderAction } from './state/orderState.js'
export { createClaimState, type ClaimState } from './state/claimState.js'
export {
  createShareLedger,
  LIMIT_KINDS,
  type LimitAmounts,
  type LimitKind,
  type ShareReply,
  type ShareRequest,
} from './server/shareLedger.js'
export type { Demand, Demands } from './registry/feed.js'
export {
  QUEUES_PATH,
  type BandQueue,
  type QueueReport,
  type RouterQueue,
} from './registry/queueBoard.js'
export {
  createRegistryControl,
  type RegistryControl,
  type RegistryControlOptions,
} from './registry/registryControl.js'
export {
  createControlRelay,
  type ControlRelay,
  type ControlRelayOptions,
} from './registry/controlRelay.js'
export { createControlFailover, type ControlFailoverOptions } from './registry/controlFailover.js'
export {
  createFleetOperationRunner,
  type FleetOperationRunner,
  type FleetOperationRunnerOptions,
  type FleetOperations,
  type ServerHeartbeat,
  type ServerLeave,
} from './registry/fleetOperations.js'
export type {
  EngineClient,
  EngineReport,
  LoadOrder,
  OrderOutcome,
} from './registry/engineClient.js'
export {
  createFeedClient,
  type FeedClient,
  type LimitRecord,
  type ObservedLimits,
  type PartRecord,
  type QuotaRecord,
  type SpeedRecord,
  type SpeedReply,
  type ViewPosition,
} from './registry/feedClient.js'
export { VERSIONS_PATH, type VersionStatus } from './registry/versionStatus.js'
export {
  QUARANTINE_PATH,
  RELEASE_PATH,
  type QuarantineStatus,
  type ReleaseTarget,
} from './registry/quarantineRoutes.js'
export { SERVERS_PATH, type ServerStatus } from './registry/serverStatus.js'
export { VERSIONS_MAX_AGE_MS } from './registry/versionGate.js'
export type { GroupVersions } from './state/softwareVersionState.js'
export { createQuotaBuckets, type QuotaBuckets } from './registry/quotaBuckets.js'
export {
  CREDIT_TTL_MS,
  findContactTimeoutMs,
  formatQuotaKey,
  QUOTA_PATH,
  type CreditGrant,
  type CreditUse,
  type QuotaGrants,
  type QuotaReport,
  type QuotaStatus,
  type QuotaTolerance,
} from './registry/quotaProtocol.js'
export { createRateLimitAllocator, type RateLimitAllocator } from './registry/rateLimitAllocator.js'
export { createControlStateMachine, type ControlStateMachine } from './state/controlMachine.js'
export {
  createSpeedAggregator,
  isSpeedChange,
  type SpeedAggregator,
} from './registry/speedAggregator.js'
export { createLoadAggregator, type LoadAggregator } from './registry/loadAggregator.js'
export {
  createQuarantineCoordinator,
  type QuarantineCoordinator,
} from './quarantine/quarantineCoordinator.js'
export { createCrashReportBuffer, type CrashReportBuffer } from './quarantine/crashReportBuffer.js'
export {
  CRASHES_TO_QUARANTINE,
  findQuarantineMs,
  type InterruptedSend,
  type SuspectedRequest,
} from './quarantine/crashReport.js'
export {
  createPartCoordinator,
  type PartCoordinator,
  type QuarantinedPartStatus,
} from './parts/partCoordinator.js'
export {
  createPartCrashBuffer,
  type InterruptedParts,
  type PartCrashBuffer,
} from './parts/partCrashBuffer.js'
export {
  findPartQuarantineMs,
  PART_REPORT_PATH,
  type ListedPart,
  type PartReport,
  type PartReportReply,
} from './parts/partReport.js'
export type { FleetView } from './registry/fleetReplica.js'
export { findSupersededAt, LAST_SEND_RATIO, type VersionTimes } from './registry/weightsHistory.js'
export type { CacheClient, CacheEvents } from './registry/cacheWatch.js'
export type { CacheEntry } from './registry/cacheDirectory.js'
export type {
  CachedPlacement,
  Placement,
  ServerLoad,
  ServerLoads,
  ReachableStore,
  AssignedLimit,
  LimitReport,
  LimitsUpdate,
  SpeedEntry,
} from './registry/feed.js'
export {
  buildServerIdentity,
  findSoftwareVersion,
  isStartTimeKnown,
  type LoadedWeights,
  type RegisteredServer,
  type ServerIdentity,
  type ServerPhase,
} from './state/serverState.js'
export type { VersionedTable } from './table/tableUpdate.js'
export type { TableAccess } from './registry/tableAccess.js'
