/** Options of the direct router. */
import type { Logger, MemoryBudget, TimerService } from '@spoolgate/core'
import type { RoutingTable, ServerGroup } from '@spoolgate/routing'
import type { DirectAdmissionOptions } from './engineAdmission.js'
import type { BackendProtocol, CallerProtocol } from './protocols.js'
import type { PeerEndpoint } from '../streams/recordExchange.js'
import type { RetryBounds } from './retryBudget.js'

/** Options of `createDirectRouter`. */
export interface DirectRouterOptions {
  readonly instance: string
  readonly hall: string
  readonly host: string
  /** Port for callers; 0 lets the operating system choose. */
  readonly port: number
  /** URLs of the control instances to contact first; called each time they are needed. */
  readonly seeds: () => readonly string[]
  readonly caller: CallerProtocol
  readonly backend: BackendProtocol
  readonly decodeTable: (document: string) => RoutingTable
  readonly retryBounds: RetryBounds
  /** Maximum age of the proof that the routing table is current, in ms; beyond it, its keys are not trusted. */
  readonly maxProofAgeMs: number
  /**
   * Maximum time in ms after a newer weights version became the target for which a request may begin on older weights.
   * @default Infinity
   */
  readonly maxWeightsAgeMs?: number
  /**
   * Maximum number of callers' connections.
   * @default Infinity
   */
  readonly maxConnections?: number
  /**
   * Where other routers reach this one to exchange the records of streams.
   * @default undefined: beside several software versions, a stream is resumed only at the router that began it
   */
  readonly peers?: PeerEndpoint
  /**
   * Folder on a disk, where records of streams outlive this router.
   * @default undefined: they are lost when all routers that hold them are
   */
  readonly recordFolder?: string
  /**
   * Budget of the bodies and events that this process holds.
   * @default that of a process with 512 MB
   */
  readonly memory?: MemoryBudget
  readonly logger: Logger
  readonly timers: TimerService
  /**
   * Maximum time that a request waits for the first routing table, in ms.
   * @default 1500, since a leader is elected within a second after all instances have started together
   */
  readonly tableWaitMs?: number
  /**
   * Seed of the random choices.
   * @default derived from the clock
   */
  readonly seed?: number
  /**
   * Admission of generation requests by the capacity of the engines.
   * @default undefined: requests are sent to engines without regard to their capacity
   */
  readonly admission?: DirectAdmissionOptions
  /**
   * Whether the speed of each backend server is estimated, and servers are ranked by it; a function decides by group.
   * @default false, all servers of a group count as equally fast
   */
  readonly serverSpeeds?: boolean | ((group: ServerGroup) => boolean)
}
