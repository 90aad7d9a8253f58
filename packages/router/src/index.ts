export { createRouter, type Router, type RouterOptions } from './server/routerServer.js'
export { CALLER_HEADERS } from './server/callerRequest.js'
export { REQUEST_ID_HEADER } from './server/callerRoutes.js'
export type { RequestRecord } from './decide/decisionLog.js'
export { createDirectRouter, type DirectRouter } from './direct/directRouter.js'
export type { DirectRouterOptions } from './direct/directRouterOptions.js'
export type { DirectAdmissionOptions } from './direct/engineAdmission.js'
export type {
  ResponseHead,
  BackendProtocol,
  CallerProtocol,
  DirectCall,
  BackendRequest,
  HeaderList,
  LimitSignal,
  PromptInfo,
  PromptPart,
  BackoffSignal,
} from './direct/protocols.js'
export { createRecordLookup, type RecordLookup } from './streams/recordLookup.js'
export { createRecordSender, type RecordSender } from './streams/recordSender.js'
export { createRecordRoutes, type PeerEndpoint } from './streams/recordExchange.js'
export {
  createStreamRecords,
  hashStreamKey,
  MAX_STREAM_RECORDS,
  type StreamRecord,
  type StreamRecords,
} from './streams/streamRecords.js'
export { rankServers, type RankingContext, type RankingInput } from './direct/serverRanking.js'
export { createEnginePartition } from './direct/enginePartition.js'
export { createPrefixCacheIndex } from './direct/prefixCacheIndex.js'
export { createAnsweredParts } from './parts/answeredParts.js'
export { createPartShares } from './parts/partShares.js'
export { createPartQuarantine } from './parts/partQuarantine.js'
export { createServerStats } from './direct/serverStats.js'
export { createServiceTimes } from './direct/serviceTimes.js'
export { createServerLimits } from './limits/serverLimits.js'
export { createServerSpeeds, type ServerSpeeds } from './speeds/serverSpeeds.js'
export { createAdmissionDecider, type AdmissionDecider } from './admission/admissionDecision.js'
export { createAdmissionQueue, type AdmissionCandidates } from './admission/admissionQueue.js'
export type {
  AdmissionDecision,
  AdmissionQueue,
  AdmissionRequest,
  GroupCapacity,
} from './admission/types.js'
