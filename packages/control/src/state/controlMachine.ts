/**
 * Replicated state machine of the control group: configuration, claims, orders, routing table, weights, weight loads,
 * registered servers with their software versions, and quarantined requests and parts. Typed commands from the log change it.
 */
import { Subject, type Observable } from 'rxjs'
import type { StateMachine } from '../raft/types.js'
import {
  createClaimState,
  type ClaimState,
  type ExpireClaims,
  type FinishClaim,
  type LoseClaim,
  type OpenClaim,
  type OpenClaimResult,
  type ReleaseClaim,
  type SavedClaims,
  type SettleClaimResult,
} from './claimState.js'
import {
  createConfigState,
  type ConfigState,
  type SavedConfig,
  type SubmitConfig,
  type SubmitConfigResult,
} from './configState.js'
import {
  createWeightLoadState,
  type BeginWeightLoad,
  type EndWeightLoad,
  type WeightLoadState,
  type SavedWeightLoads,
} from './weightLoadState.js'
import {
  createOrderState,
  type FinishOrder,
  type IssueOrder,
  type IssueOrderResult,
  type OrderState,
  type SavedOrders,
} from './orderState.js'
import {
  createQuarantineState,
  type QuarantineRequest,
  type QuarantineState,
  type ReleaseRequest,
} from './quarantineState.js'
import type { SuspectedRequest } from '../quarantine/crashReport.js'
import {
  createQuarantinedPartState,
  type QuarantinedPart,
  type QuarantinedPartState,
  type QuarantinePart,
  type ReleasePart,
} from './quarantinedPartState.js'
import {
  createServerState,
  findSoftwareVersion,
  type ObserveServer,
  type RetireServer,
  type SavedServers,
  type ServerResult,
  type ServerState,
} from './serverState.js'
import {
  createSoftwareVersionState,
  type AddSoftwareVersion,
  type RemoveSoftwareVersion,
  type SavedSoftwareVersions,
  type SoftwareVersionResult,
  type SoftwareVersionState,
} from './softwareVersionState.js'
import {
  createTableState,
  type PutTable,
  type PutTableResult,
  type SavedTable,
  type TableState,
  type TableStateOptions,
} from './tableState.js'
import {
  createWeightsState,
  type SetWeightsVersion,
  type SetWeightsVersionResult,
  type WeightsState,
} from './weightsState.js'

/** Command and result types by command kind. */
export interface ControlCommands {
  'config.submit': { command: SubmitConfig; result: SubmitConfigResult }
  'claim.open': { command: OpenClaim; result: OpenClaimResult }
  'claim.finish': { command: FinishClaim; result: SettleClaimResult }
  'claim.release': { command: ReleaseClaim; result: SettleClaimResult }
  'claim.lose': { command: LoseClaim; result: SettleClaimResult }
  'claim.expire': { command: ExpireClaims; result: { readonly removed: number } }
  'order.issue': { command: IssueOrder; result: IssueOrderResult }
  'order.finish': { command: FinishOrder; result: { readonly isKnown: boolean } }
  'table.put': { command: PutTable; result: PutTableResult }
  'weights.name': { command: SetWeightsVersion; result: SetWeightsVersionResult }
  'server.observe': { command: ObserveServer; result: ServerResult }
  'server.retire': { command: RetireServer; result: ServerResult }
  'version.add': { command: AddSoftwareVersion; result: SoftwareVersionResult }
  'version.remove': { command: RemoveSoftwareVersion; result: SoftwareVersionResult }
  'request.quarantine': { command: QuarantineRequest; result: null }
  'request.release': { command: ReleaseRequest; result: null }
  'part.quarantine': { command: QuarantinePart; result: null }
  'part.release': { command: ReleasePart; result: null }
  'load.begin': { command: BeginWeightLoad; result: null }
  'load.end': { command: EndWeightLoad; result: null }
}

/** Kind of a control command. */
export type ControlCommandKind = keyof ControlCommands
/** Any control command. */
export type ControlCommand = ControlCommands[ControlCommandKind]['command']
/** Result type of a command kind. */
export type ControlResult<Kind extends ControlCommandKind> = ControlCommands[Kind]['result']

/** The state machine and its component states. */
export interface ControlStateMachine extends StateMachine {
  readonly config: ConfigState
  readonly claims: ClaimState
  readonly orders: OrderState
  /** Emits the new version after each accepted configuration. */
  readonly configVersions: Observable<number>
  readonly table: TableState
  readonly weights: WeightsState
  readonly servers: ServerState
  readonly softwareVersions: SoftwareVersionState
  readonly weightLoads: WeightLoadState
  readonly quarantine: QuarantineState
  readonly quarantinedParts: QuarantinedPartState
  /** Emits after each command on the routing table, weights, servers, software versions or quarantines. */
  readonly fleetChanges: Observable<void>
}

interface SavedMachine {
  readonly config: SavedConfig
  readonly claims: SavedClaims
  readonly orders: SavedOrders
  /** `table`, `weights` and `servers` are absent from snapshots written before version 0.2. */
  readonly table?: SavedTable | null
  readonly weights?: Readonly<Record<string, number>>
  readonly servers?: SavedServers
  /** Absent from snapshots written before version 0.3. */
  readonly loads?: SavedWeightLoads
  /** Absent from snapshots written before version 0.5. */
  readonly quarantine?: readonly SuspectedRequest[]
  /** Absent from snapshots written before version 0.9. */
  readonly softwareVersions?: SavedSoftwareVersions
  /** Absent from snapshots written before version 0.10. */
  readonly quarantinedParts?: readonly QuarantinedPart[]
}

type Handlers = {
  readonly [Kind in ControlCommandKind]: (
    command: ControlCommands[Kind]['command'],
    index: number,
  ) => ControlResult<Kind>
}

/** Creates an empty state machine. */
export function createControlStateMachine(options: TableStateOptions = {}): ControlStateMachine {
  const config = createConfigState()
  const claims = createClaimState()
  const orders = createOrderState()
  const versions = new Subject<number>()
  const table = createTableState(options)
  const weights = createWeightsState()
  const servers = createServerState()
  const softwareVersions = createSoftwareVersionState()
  const loads = createWeightLoadState()
  const quarantine = createQuarantineState()
  const quarantinedParts = createQuarantinedPartState()
  const fleetChanges = new Subject<void>()
  const emitFleetChange = <T>(result: T): T => {
    fleetChanges.next()
    return result
  }
  const observeServer = (command: ObserveServer): ServerResult => {
    const { server } = command
    const result = servers.observe(command)
    if (result.phase !== 'gone')
      softwareVersions.add({ serverGroup: server.group, version: findSoftwareVersion(server) })
    return result
  }
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
    'table.put': (command) => emitFleetChange(table.put(command)),
    'weights.name': (command) => emitFleetChange(weights.raiseVersion(command)),
    'server.observe': (command) => emitFleetChange(observeServer(command)),
    'server.retire': (command) => emitFleetChange(servers.retire(command)),
    'version.add': (command) => emitFleetChange(softwareVersions.add(command)),
    'version.remove': (command) => emitFleetChange(softwareVersions.remove(command)),
    'request.quarantine': (command) => emitFleetChange(quarantine.quarantine(command)),
    'request.release': (command) => emitFleetChange(quarantine.release(command)),
    'part.quarantine': (command) => emitFleetChange(quarantinedParts.quarantine(command)),
    'part.release': (command) => emitFleetChange(quarantinedParts.release(command)),
    'load.begin': loads.begin,
    'load.end': loads.end,
  }
  return {
    config,
    claims,
    orders,
    configVersions: versions,
    table,
    weights,
    servers,
    softwareVersions,
    weightLoads: loads,
    quarantine,
    quarantinedParts,
    fleetChanges,
    apply: (command, index) => {
      const typed = command as ControlCommand
      const handler = handlers[typed.kind] as (command: ControlCommand, index: number) => unknown
      return handler(typed, index)
    },
    save: (): SavedMachine => ({
      config: config.save(),
      claims: claims.save(),
      orders: orders.save(),
      table: table.save(),
      weights: weights.save(),
      servers: servers.save(),
      loads: loads.save(),
      quarantine: quarantine.save(),
      softwareVersions: softwareVersions.save(),
      quarantinedParts: quarantinedParts.save(),
    }),
    load: (state) => {
      const saved = state as SavedMachine
      config.load(saved.config)
      claims.load(saved.claims)
      orders.load(saved.orders)
      table.load(saved.table ?? null)
      weights.load(saved.weights ?? {})
      servers.load(saved.servers ?? { servers: [], retired: [] })
      softwareVersions.load(saved.softwareVersions, servers.list())
      loads.load(saved.loads ?? [])
      quarantine.load(saved.quarantine ?? [])
      quarantinedParts.load(saved.quarantinedParts ?? [])
      fleetChanges.next()
      versions.next(config.version())
    },
  }
}
