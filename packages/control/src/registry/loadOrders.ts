/** Sends load orders with increasing fencing tokens, and replicates at which engines they may be in flight. */
import type { Logger, ServerName } from '@spoolgate/core'
import type { RaftMember } from '../raft/types.js'
import type { ControlStateMachine } from '../state/controlMachine.js'
import type { EngineClient, EngineReport, OrderOutcome } from './engineClient.js'
import type { LoadTask } from './loadTask.js'
import type { OrderLeases } from './orderLeases.js'
import type { UnconfirmedOrders } from './unconfirmedOrders.js'

/** Options of {@link createLoadOrders}. */
export interface LoadOrdersOptions {
  readonly member: RaftMember
  readonly machine: ControlStateMachine
  readonly engineClient: EngineClient
  readonly instance: string
  readonly leases: OrderLeases
  readonly unconfirmed: UnconfirmedOrders
  readonly logger: Logger
  readonly isLeading: (term: number) => boolean
  readonly countOrder: (outcome: OrderOutcome) => void
}

/** See {@link createLoadOrders}. */
export interface LoadOrders {
  /** Records that this instance has become leader. */
  startLeading(): void
  /**
   * Replicates that orders to an engine follow, so that the next leader knows of them. Resolves to false when this
   * instance no longer leads.
   */
  begin(server: ServerName, term: number): Promise<boolean>
  /** Replicates that no more orders follow, unless one is still in transit. */
  end(server: ServerName): Promise<void>
  /** Orders the engine to load the wanted version. */
  send(task: LoadTask, term: number, report: EngineReport): Promise<OrderOutcome>
}

/** Range of fencing tokens per term: the maximum number of orders before the tokens reach those of the next term. */
const ORDERS_PER_TERM = 1_000_000

/** Creates the orders of an instance that is not the leader yet. */
export function createLoadOrders(options: LoadOrdersOptions): LoadOrders {
  const { member, machine, engineClient, leases, unconfirmed, logger } = options
  /** Engines whose last mark proposed in this term is a committed beginning. */
  const begun = new Set<ServerName>()
  let orderCount = 0

  const createFencingNumber = (term: number) => {
    orderCount += 1
    return term * ORDERS_PER_TERM + orderCount
  }
  return {
    startLeading: () => {
      orderCount = 0
      begun.clear()
      leases.startLeading()
    },
    begin: async (server, term) => {
      if (begun.has(server) && machine.weightLoads.find(server) === 'open') return true
      await member.propose({ kind: 'load.begin', server })
      if (!options.isLeading(term)) return false
      begun.add(server)
      leases.acquire(server)
      return true
    },
    end: async (server) => {
      if (unconfirmed.isInTransit(server) || !begun.delete(server)) return
      await member.propose({ kind: 'load.end', server })
    },
    send: async (task, term, report) => {
      const { server, model } = task
      const order = {
        model,
        version: machine.weights.find(model) ?? 0,
        issuer: options.instance,
        fencing: createFencingNumber(term),
        keepsRunningRequests: report.running > 0,
        expectedOrders: report.ordersTaken,
      }
      task.orderCount += 1
      const outcome = await engineClient.sendLoad(server, order)
      options.countOrder(outcome)
      if (outcome === 'unknown')
        unconfirmed.add({ server, model, expectedOrders: order.expectedOrders })
      const { version, fencing } = order
      const { waiting, running } = report
      const { id } = server
      logger.info('weights.order', {
        server: id,
        model,
        version,
        fencing,
        waiting,
        running,
        outcome,
      })
      return outcome
    },
  }
}
