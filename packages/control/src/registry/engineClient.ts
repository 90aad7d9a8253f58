/** Interface between control and the model engines; each deployment supplies an implementation. */
import type { RegisteredServer } from '../state/serverState.js'

/** State that an engine reports. */
export interface EngineReport {
  /** Loaded version of the requested model; undefined when the model is not loaded. */
  readonly version: number | undefined
  /** Whether an order is in flight. */
  readonly isBusy: boolean
  /** Queued requests, which a load order would reject. */
  readonly waiting: number
  /** Requests being processed. */
  readonly running: number
  /** Number of orders accepted by this incarnation; an order can be made conditional on it. */
  readonly ordersTaken: number
}

/** An order to load a weights version. */
export interface LoadOrder {
  readonly model: string
  readonly version: number
  /** Control instance that issues the order. */
  readonly issuer: string
  /** Fencing token, which increases with each order across all leaders. */
  readonly fencing: number
  /** Whether running requests continue under the new weights; otherwise the load waits for them to finish. */
  readonly keepsRunningRequests: boolean
  /** Required number of orders accepted so far; the engine rejects the order if its own number differs. */
  readonly expectedOrders: number
}

/** Outcome of an order. */
export type OrderOutcome =
  /** Accepted and in progress. */
  | 'taken'
  /** The engine already has the version. */
  | 'held'
  /** Another order is in flight, or others were accepted in the meantime. */
  | 'conflict'
  /** The fencing token is lower than one seen before. */
  | 'fenced'
  /** A different incarnation answered at the address. */
  | 'otherServer'
  /** Rejected permanently by the engine. */
  | 'invalid'
  /** No response: the order may have been accepted, or may still be accepted later. */
  | 'unknown'

/** Client for the control interface of engines. */
export interface EngineClient {
  /**
   * Fetches the state of an engine.
   * @throws ConnectionError or SpoolgateError when there is no valid response.
   */
  fetchReport(server: RegisteredServer, model: string): Promise<EngineReport>
  /** Sends an order; the promise never rejects. */
  sendLoad(server: RegisteredServer, order: LoadOrder): Promise<OrderOutcome>
}
