/**
 * The only way for orders to reach the backend server. It lets rising fencing numbers through and
 * nothing else, so that engines which ignore the number are safe too. After a start it first learns
 * the highest number that control ever issued.
 */
import {
  SpoolgateError,
  type BackendServerId,
  type HttpClient,
  type Invariants,
  type Logger,
} from '@spoolgate/core'
import type { ControlClient, Order } from '@spoolgate/control'
import type { BackendWatcher } from '../backend/backendWatcher.js'

/** Options of {@link createOrderGate}. */
export interface OrderGateOptions {
  readonly server: BackendServerId
  /** Base URL of the backend server. */
  readonly url: string
  readonly client: HttpClient
  readonly control: ControlClient
  readonly watcher: Pick<BackendWatcher, 'runChange'>
  readonly logger: Logger
  readonly invariants: Invariants
}

/** A gate for orders. */
export interface OrderGate {
  /**
   * Passes an order on and waits until it is carried out.
   * @throws SpoolgateError `conflict` for an old number.
   */
  apply(order: Order): Promise<void>
}

/** Time limit of an order, in ms, as long as control waits for it; after that its outcome counts as unknown. */
const ORDER_TIMEOUT_MS = 600_000

/** Creates a gate. */
export function createOrderGate(options: OrderGateOptions): OrderGate {
  const { server, url, client, control, watcher, logger, invariants } = options
  let highest: number | undefined

  const learnHighest = async (): Promise<number> => {
    const reply = await control.request<{ highest: number }>('GET', `/orders/${server}/highest`)
    highest = Math.max(highest ?? 0, reply.highest)
    return highest
  }
  const sendOrder = (order: Order) =>
    client.sendJson({
      method: 'POST',
      url: `${url}/orders`,
      json: order,
      timeoutMs: ORDER_TIMEOUT_MS,
    })
  return {
    apply: async (order) => {
      const known = highest ?? (await learnHighest())
      if (order.server !== server || order.fencing < known) {
        logger.warn('order.refused', { fencing: order.fencing, highest: known })
        throw new SpoolgateError('conflict', `fencing number ${order.fencing} is below ${known}`)
      }
      invariants.assert('fencingNeverFalls', order.fencing >= (highest ?? 0), () => ({
        fencing: order.fencing,
        highest,
      }))
      highest = order.fencing
      logger.info('order.passed', { action: order.action, value: order.value, fencing: highest })
      if (order.action === 'loadWeights') await watcher.runChange(() => sendOrder(order))
      else await sendOrder(order)
    },
  }
}
