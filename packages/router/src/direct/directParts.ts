/** Parts of a direct router that every request needs. */
import type { FeedFollower } from '@spoolgate/control'
import type {
  Counter,
  Histogram,
  KeepAliveAgent,
  Logger,
  RejectedInputs,
  RandomSource,
  TimerService,
  TurnQueue,
} from '@spoolgate/core'
import type { Backpressure } from '@spoolgate/routing'
import type { BackendDialect, CallerDialect } from './dialects.js'
import type { QuotaAdmission } from '../limits/quotaAdmission.js'
import type { ServerLimits } from '../limits/serverLimits.js'
import type { Liveness } from './liveness.js'
import type { PartMemory } from './partMemory.js'
import type { GracefulShutdown } from './gracefulShutdown.js'
import type { RetryShare } from './retryShare.js'
import type { RequestQuarantine } from './requestQuarantine.js'
import type { CrashDetector } from './crashDetector.js'
import type { RestartDetector } from './restartDetector.js'
import type { ServerBoard } from './serverBoard.js'
import type { WorkSplit } from './workSplit.js'
import type { WorkTimes } from './workTimes.js'

/** Instruments of a direct router. */
export interface DirectInstruments {
  readonly requests: Counter
  readonly refusals: Counter
  readonly cutOff: Counter
  readonly sends: Counter
  readonly quotaRefusals: Counter
  readonly firstPartMs: Histogram
  readonly promptTokens: Counter
  readonly matchedTokens: Counter
}

/** Parts shared by all requests of a direct router. */
export interface DirectParts {
  readonly instance: string
  readonly hall: string
  readonly feed: FeedFollower
  readonly caller: CallerDialect
  readonly backend: BackendDialect
  readonly agent: KeepAliveAgent
  readonly board: ServerBoard
  readonly backpressure: Backpressure
  readonly limits: ServerLimits
  readonly quotas: QuotaAdmission
  readonly liveness: Liveness
  readonly memory: PartMemory
  readonly split: WorkSplit
  readonly times: WorkTimes
  readonly retries: RetryShare
  readonly restarts: Pick<RestartDetector, 'watch'>
  readonly exits: Pick<CrashDetector, 'recordLost'>
  readonly quarantine: Pick<RequestQuarantine, 'admit' | 'recordAnswered'>
  readonly timers: TimerService
  /** Turns in which requests are sent. */
  readonly turns: TurnQueue
  readonly random: RandomSource
  readonly logger: Logger
  readonly rejectedInputs: Pick<RejectedInputs, 'record'>
  readonly instruments: DirectInstruments
  readonly stop: Pick<GracefulShutdown, 'findRefusal'>
  /** Age of the proof of the newest table beyond which keys are not trusted, in ms. */
  readonly maxProofAgeMs: number
}
