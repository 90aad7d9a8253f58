/** Shared state and services that every request of a direct router needs. */
import type { FeedClient } from '@spoolgate/control'
import type {
  ConnectionGuard,
  KeepAliveAgent,
  Logger,
  MemoryBudget,
  RejectedInputs,
  RandomSource,
  TimerService,
  TurnQueue,
} from '@spoolgate/core'
import type { Backpressure, ServerGroup } from '@spoolgate/routing'
import type { BackendProtocol, CallerProtocol } from './protocols.js'
import type { QuotaAdmission } from '../limits/quotaAdmission.js'
import type { ServerLimits } from '../limits/serverLimits.js'
import type { LivenessMonitor } from './livenessMonitor.js'
import type { PrefixCacheIndex } from './prefixCacheIndex.js'
import type { GracefulShutdown } from './gracefulShutdown.js'
import type { RetryBudget } from './retryBudget.js'
import type { RequestQuarantine } from './requestQuarantine.js'
import type { PartSetup } from '../parts/partSetup.js'
import type { CrashDetector } from './crashDetector.js'
import type { RestartDetector } from './restartDetector.js'
import type { ServerStats } from './serverStats.js'
import type { EnginePartition } from './enginePartition.js'
import type { ServiceTimes } from './serviceTimes.js'
import type { EngineAdmission } from './engineAdmission.js'
import type { DirectInstruments } from './instruments.js'
import type { WeightsExpiry } from './weightsExpiry.js'
import type { StreamContinuity } from '../streams/streamContinuity.js'
import type { ServerSpeeds } from '../speeds/serverSpeeds.js'

/** Context shared by all requests of a direct router. */
export interface DirectContext {
  readonly instance: string
  readonly hall: string
  readonly feed: FeedClient
  readonly caller: CallerProtocol
  readonly backend: BackendProtocol
  readonly agent: KeepAliveAgent
  readonly serverStats: ServerStats
  readonly backpressure: Backpressure
  readonly limits: ServerLimits
  readonly quotas: QuotaAdmission
  readonly liveness: LivenessMonitor
  readonly prefixCache: PrefixCacheIndex
  readonly enginePartition: EnginePartition
  readonly serviceTimes: ServiceTimes
  readonly weightsExpiry: WeightsExpiry
  /** Finds the speeds of the servers of a group; undefined if they are not estimated. */
  readonly findServerSpeeds: (group: ServerGroup) => ServerSpeeds | undefined
  readonly retryBudget: RetryBudget
  readonly streams: Pick<StreamContinuity, 'resolvePin' | 'recordStart'>
  readonly restartDetector: Pick<RestartDetector, 'watch'>
  readonly crashDetector: Pick<CrashDetector, 'recordInterrupted'>
  readonly quarantine: Pick<RequestQuarantine, 'admit' | 'recordAnswered'>
  readonly parts: Pick<
    PartSetup,
    'recordRequest' | 'findRefusal' | 'recordAnswered' | 'waitForVerdict'
  >
  readonly memory: MemoryBudget
  readonly timers: TimerService
  /** Queue that spreads sends over event loop turns. */
  readonly turns: TurnQueue
  readonly random: RandomSource
  readonly logger: Logger
  /** Runs the listeners of callers' and servers' connections. */
  readonly guard: ConnectionGuard
  readonly rejectedInputs: Pick<RejectedInputs, 'record'>
  readonly instruments: DirectInstruments
  readonly shutdown: Pick<GracefulShutdown, 'findRefusal'>
  /** Undefined if requests are sent to engines without regard to their capacity. */
  readonly engineAdmission?: EngineAdmission
  /** Maximum age of the proof that the routing table is current, in ms; beyond it, its keys are not trusted. */
  readonly maxProofAgeMs: number
}
