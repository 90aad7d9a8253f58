/** The replicated machine: configuration, claims and orders, driven by typed commands. */
import { Subject, type Observable } from 'rxjs'
import type { ReplicatedMachine } from '../raft/types.js'
import {
  createClaimState,
  type ClaimState,
  type ExpireClaims,
  type FinishClaim,
  type LoseClaim,
  type OpenClaim,
  type OpenResult,
  type ReleaseClaim,
  type SavedClaims,
  type SettleResult,
} from './claimState.js'
import {
  createConfigState,
  type ConfigState,
  type SavedConfig,
  type SubmitCommand,
  type SubmitResult,
} from './configState.js'
import {
  createOrderState,
  type FinishOrder,
  type IssueOrder,
  type IssueResult,
  type OrderState,
  type SavedOrders,
} from './orderState.js'

/** Commands by kind, each with its result. */
export interface ControlCommands {
  'config.submit': { command: SubmitCommand; result: SubmitResult }
  'claim.open': { command: OpenClaim; result: OpenResult }
  'claim.finish': { command: FinishClaim; result: SettleResult }
  'claim.release': { command: ReleaseClaim; result: SettleResult }
  'claim.lose': { command: LoseClaim; result: SettleResult }
  'claim.expire': { command: ExpireClaims; result: { readonly removed: number } }
  'order.issue': { command: IssueOrder; result: IssueResult }
  'order.finish': { command: FinishOrder; result: { readonly isKnown: boolean } }
}

/** Kind of a command. */
export type ControlCommandKind = keyof ControlCommands
/** Any command. */
export type ControlCommand = ControlCommands[ControlCommandKind]['command']
/** Result of a command. */
export type ControlResult<Kind extends ControlCommandKind> = ControlCommands[Kind]['result']

/** The machine with its parts. */
export interface ControlMachine extends ReplicatedMachine {
  readonly config: ConfigState
  readonly claims: ClaimState
  readonly orders: OrderState
  /** Emits the version after each accepted configuration. */
  readonly versions: Observable<number>
}

interface SavedMachine {
  readonly config: SavedConfig
  readonly claims: SavedClaims
  readonly orders: SavedOrders
}

type Handlers = {
  readonly [Kind in ControlCommandKind]: (
    command: ControlCommands[Kind]['command'],
    index: number,
  ) => ControlResult<Kind>
}

/** Creates an empty machine. */
export function createControlMachine(): ControlMachine {
  const config = createConfigState()
  const claims = createClaimState()
  const orders = createOrderState()
  const versions = new Subject<number>()
  const handlers: Handlers = {
    'config.submit': (command, index) => {
      const result = config.submit(command, index)
      if (result.kind === 'accepted') versions.next(result.version)
      return result
    },
    'claim.open': claims.open,
    'claim.finish': claims.finish,
    'claim.release': claims.release,
    'claim.lose': claims.lose,
    'claim.expire': claims.expire,
    'order.issue': orders.issue,
    'order.finish': orders.finish,
  }
  return {
    config,
    claims,
    orders,
    versions,
    apply: (command, index) => {
      const typed = command as ControlCommand
      const handler = handlers[typed.kind] as (command: ControlCommand, index: number) => unknown
      return handler(typed, index)
    },
    save: (): SavedMachine => ({
      config: config.save(),
      claims: claims.save(),
      orders: orders.save(),
    }),
    load: (state) => {
      const saved = state as SavedMachine
      config.load(saved.config)
      claims.load(saved.claims)
      orders.load(saved.orders)
      versions.next(config.version())
    },
  }
}
