/** How control talks to model engines; deployments bring their own way of speaking. */
import type { RegisteredServer } from '../state/serverState.js'

/** What an engine says of its weights. */
export interface EngineReport {
  /** Version that it holds of the model asked for; undefined when it does not hold the model. */
  readonly version: number | undefined
  /** Whether an order is in flight. */
  readonly isBusy: boolean
  /** Requests that have not begun; an order would refuse them. */
  readonly waiting: number
  /** Requests that are being worked on. */
  readonly running: number
  /** Orders that this incarnation has taken; an order can be tied to this number. */
  readonly ordersTaken: number
}

/** An order to load a weights version. */
export interface LoadOrder {
  readonly model: string
  readonly version: number
  /** Instance that gives the order. */
  readonly holder: string
  /** Rises with each order, over all leaders. */
  readonly fencing: number
  /** Whether requests that run go on under the new weights; otherwise the load waits for them. */
  readonly isKeepingRuns: boolean
  /** Orders that the engine must have taken before; otherwise it refuses. */
  readonly expectedOrders: number
}

/** What became of an order. */
export type OrderOutcome =
  /** It is being carried out. */
  | 'taken'
  /** The engine holds the version already. */
  | 'held'
  /** Another order is in flight, or others were taken since. */
  | 'conflict'
  /** The number is lower than one seen before. */
  | 'fenced'
  /** Another incarnation answers at the address. */
  | 'otherServer'
  /** The engine refuses it for good. */
  | 'invalid'
  /** No answer: it may have been taken, or may be taken later. */
  | 'unknown'

/** Speaks to engines. */
export interface EngineClient {
  /**
   * Fetches what an engine holds.
   * @throws ConnectionError or SpoolgateError when there is no readable answer.
   */
  fetchReport(server: RegisteredServer, model: string): Promise<EngineReport>
  /** Sends an order; never rejects. */
  sendLoad(server: RegisteredServer, order: LoadOrder): Promise<OrderOutcome>
}
