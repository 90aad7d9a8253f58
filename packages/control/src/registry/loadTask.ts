/** One load of weights by an engine, as planned by the queue and carried out by the rollout. */
import type { RegisteredServer } from '../state/serverState.js'

/** Task to bring an engine to a newer weights version. */
export interface LoadTask {
  readonly server: RegisteredServer
  readonly model: string
  /** Version held by the engine when the task began. */
  readonly heldVersion: number
  /** Number of orders sent so far. */
  orderCount: number
}

/** How a load ended. */
export type LoadOutcome =
  /** The engine has a newer version than before. */
  | 'loaded'
  /** An order got no response and no report shows its effect. */
  | 'unconfirmed'
  /** The engine is no longer loading, but has no newer version. */
  | 'notLoaded'
  /** The engine rejected the order; sending it again cannot succeed. */
  | 'rejected'
  | 'timedOut'
  /** This instance no longer leads, or stops. */
  | 'stopped'
  /** The engine could not be reached, or the log accepts no entries. */
  | 'failed'
