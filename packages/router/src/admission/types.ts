/** Types shared by the admission modules and the code that calls them. All times are in ms of the monotonic clock. */
import type { RequestFingerprint, TeamId } from '@spoolgate/core'

/** A generation request as admission sees it. */
export interface AdmissionRequest {
  /** Priority band from team and route; 0 is the most urgent. */
  readonly band: number
  /** Team that shares capacity with others of its band; undefined where the deployment has no teams. */
  readonly team: TeamId | undefined
  readonly fingerprint: RequestFingerprint
  /** Expected engine time: prefill of uncached tokens plus generation, in ms. */
  readonly workMs: number
  /** Prompt tokens plus the maximum number of generated tokens. */
  readonly kvTokens: number
  /** Time by which the first event is due; Infinity if the route has no target. */
  readonly targetAt: number
  /** Time by which the request must have its final response. */
  readonly deadline: number
  /** Arrival of the request at this router. */
  readonly arrivedAt: number
  /** Memory held while the request waits, including its body, in bytes. */
  readonly bytes: number
  /**
   * Expected time from the start at an engine with capacity to the first event, in ms.
   * @default 0
   */
  readonly firstEventMs?: number
  /**
   * Expected time from the start at an engine with capacity to the final response, in ms.
   * @default `workMs`
   */
  readonly serviceMs?: number
  /**
   * Weight of the team among the teams of its band.
   * @default 1
   */
  readonly teamShare?: number
}

/** Capacity of an engine and the load that all routers have there, as this router knows it. */
export interface EngineLoad {
  readonly slots: number
  readonly kvCapacityTokens: number
  /** Prompt tokens that the engine prefills per ms. */
  readonly tokensPerMs: number
  /** Calls in flight, of this router and of all others. */
  readonly calls: number
  /** Prompt tokens that the engine has not prefilled yet, of all routers. */
  readonly pendingTokens: number
  /** Prompt and maximum output tokens of the calls in flight. */
  readonly kvTokens: number
  /** Age of the report about the other routers, in ms. */
  readonly loadAgeMs: number
}

/** Capacity of a group of engines, summed over those that accept requests. */
export interface GroupCapacity {
  readonly slots: number
  readonly calls: number
  /** Engine time that the group completes per ms: the number of engines weighted by their speed. */
  readonly workPerMs: number
  /** Engine time of all calls that wait at the engines and at this router, in ms. */
  readonly waitingWorkMs: number
  /** Expected time until the first engine has capacity, in ms; 0 if one has capacity now. */
  readonly nextCapacityMs: number
  /**
   * Part of the group's throughput that this router may use, in (0, 1].
   * @default 1
   */
  readonly routerShare?: number
}

/** Result of an admission decision. */
export type AdmissionDecision =
  | { readonly kind: 'send' }
  | { readonly kind: 'queue' }
  | {
      readonly kind: 'refuse'
      readonly reason: RefusalReason
      readonly retryAfterMs: number
    }

/** Why a request is refused: it would start after its deadline, it would displace more urgent requests, or the queue is full. */
export type RefusalReason = 'deadline' | 'displaces' | 'full'

/** Options of admission; every field has a default that follows from what callers need. */
export interface AdmissionOptions {
  /**
   * Maximum number of requests that wait at one router.
   * @default 1000
   */
  readonly maxWaiting?: number
  /**
   * Maximum memory of the requests that wait at one router, in bytes.
   * @default 33554432 (32 MiB)
   */
  readonly maxWaitingBytes?: number
  /**
   * Maximum time that pending prefills at an engine may take before it counts as full, in ms.
   * @default 250
   */
  readonly maxEngineQueueMs?: number
}

/** A queue of requests that wait for an engine with capacity; see `createAdmissionQueue`. */
export interface AdmissionQueue<Entry extends AdmissionRequest> {
  /** Adds a request; returns false if a bound of the queue would be exceeded. */
  add(entry: Entry): boolean
  /** Removes a request that left before it was taken; returns false if it is not waiting. */
  remove(entry: Entry): boolean
  /** Returns the request to try next without removing it. */
  peek(now: number): Entry | undefined
  /** Removes and returns the request to start next. */
  take(now: number): Entry | undefined
  /** Removes and returns the requests that can no longer start before their deadline. */
  takeExpired(now: number): Entry[]
  size(): number
  bytes(): number
  /**
   * Expected engine time of the waiting requests of a band and of more urgent ones, in ms. With `position`, only that of
   * the requests that start before a new one.
   */
  findWorkAheadMs(band: number, position?: QueuePosition): number
  /** Waiting requests by band, with the age of the oldest in ms. */
  listBands(now: number): readonly BandStatus[]
}

/** What determines the position of a new request within its band. */
export interface QueuePosition {
  readonly team: TeamId | undefined
  /** Whether the request can no longer meet its target. */
  readonly isLate: boolean
}

/** Waiting requests of one priority band. */
export interface BandStatus {
  readonly band: number
  readonly waiting: number
  readonly oldestMs: number
}
