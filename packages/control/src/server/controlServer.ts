/** Control instance: replicated log, state machine and HTTP routes. */
import { resolveFleetConfig, type Fleet } from '@spoolgate/config'
import {
  addMemoryGauges,
  createDaemonRoutes,
  createHttpClient,
  createHttpServer,
  createInvariants,
  createMetrics,
  createRandomSource,
  type CloseReport,
  type Invariants,
  type Logger,
  type MemoryBudget,
  type TimerService,
  type TlsFiles,
  type TrafficCount,
} from '@spoolgate/core'
import { Subject } from 'rxjs'
import { openDataFolder, type DataFolder } from '../log/dataFolder.js'
import { openLogStore } from '../log/logStore.js'
import { createRaftMember } from '../raft/member.js'
import type { RaftMember } from '../raft/types.js'
import type { MemberMap } from '../raft/messages.js'
import { createControlStateMachine, type ControlStateMachine } from '../state/controlMachine.js'
import { createConfigRoutes } from './configRoutes.js'
import { createGroupRoutes } from './groupRoutes.js'
import { createLimitRoutes } from './limitRoutes.js'
import { createNodeVersions } from './nodeVersions.js'
import { createOrderRunner } from './orderRunner.js'
import { createHttpTransport } from './raftTransport.js'
import { createShareLedger } from './shareLedger.js'

/** Options of {@link createControlServer}. */
export interface ControlServerOptions {
  readonly member: string
  /** Founder URLs by member name; undefined for a single-member group. */
  readonly founders?: Readonly<Record<string, string>>
  /** Whether an instance with an empty data folder creates the group. */
  readonly isFounding: boolean
  readonly host: string
  readonly port: number
  /** Path of the data folder, or a folder implementation supplied by a test. */
  readonly dataFolder: string | DataFolder
  readonly processKey: string
  readonly operatorKey: string
  readonly logger: Logger
  readonly timers: TimerService
  /**
   * Memory budgets of the process.
   * @default undefined, bodies are bounded one by one
   */
  readonly memory?: MemoryBudget
  /** @default undefined, plain HTTP */
  readonly tls?: TlsFiles
  /** @default 1000 */
  readonly electionMs?: number
  /** @default 150 */
  readonly heartbeatMs?: number
  /** @default 1000 */
  readonly snapshotEvery?: number
  /**
   * Time for which a settled claim and its response are stored, in ms.
   * @default 86400000 (one day)
   */
  readonly claimRetentionMs?: number
  /**
   * Time between two repair checks of the fleet, in ms.
   * @default 1000
   */
  readonly repairPeriodMs?: number
  /**
   * Whether a violated invariant terminates the process.
   * @default false
   */
  readonly isFatal?: boolean
  /**
   * Seed of the randomised election timeouts.
   * @default drawn from the clock
   */
  readonly seed?: number
  /**
   * Whether the link to a member is cut, which simulates a network partition in tests and soak runs.
   * @default no link is cut
   */
  readonly isCut?: (member: string) => boolean
  /** Called after a disk failure; the daemon must then exit. */
  readonly onFailure?: (cause: unknown) => void
}

/** A running control instance. */
export interface ControlServer {
  readonly url: string
  readonly member: RaftMember
  readonly machine: ControlStateMachine
  readonly invariants: Invariants
  /** Total bytes transferred over all connections to this instance. */
  traffic(): TrafficCount
  close(drainMs?: number): Promise<CloseReport>
}

const DEFAULT_ELECTION_MS = 1_000
const DEFAULT_HEARTBEAT_MS = 150
const DEFAULT_SNAPSHOT_EVERY = 1_000
const DEFAULT_CLAIM_RETENTION_MS = 86_400_000
const CLAIM_EXPIRY_PERIOD_MS = 600_000
const DEFAULT_DRAIN_MS = 2_000

function createFounderMap(options: ControlServerOptions, ownUrl: string): MemberMap {
  const founders = options.founders ?? { [options.member]: ownUrl }
  return Object.fromEntries(
    Object.entries(founders).map(([name, url]) => [name, { url, kind: 'voter' }]),
  )
}

/** Creates a getter of the resolved configuration in force, which is cached by version. */
function createFleetReader(machine: ControlStateMachine): () => Fleet | undefined {
  let cached: Fleet | undefined
  return () => {
    const version = machine.config.version()
    if (cached?.version !== version) {
      cached = resolveFleetConfig(machine.config.source(), version).unwrapOr(undefined)
    }
    return cached
  }
}

/** Creates a control instance and waits until it is listening. */
export async function createControlServer(options: ControlServerOptions): Promise<ControlServer> {
  const { logger, timers, processKey, operatorKey, memory } = options
  const metrics = createMetrics('control')
  if (memory) addMemoryGauges(metrics, memory)
  const invariants = createInvariants({ logger, metrics, fatal: options.isFatal })
  const electionMs = options.electionMs ?? DEFAULT_ELECTION_MS
  const machine = createControlStateMachine()
  const client = createHttpClient({ memory, key: processKey, caFile: options.tls?.caFile })
  const isCut = options.isCut ?? (() => false)
  const folder =
    typeof options.dataFolder === 'string'
      ? await openDataFolder(options.dataFolder)
      : options.dataFolder
  const store = await openLogStore({
    folder,
    logger,
    onFailure: (cause) => {
      logger.error('disk.failed', { reason: String(cause), remedy: 'replace the disk' })
      options.onFailure?.(cause)
    },
  })

  const server = await createHttpServer({
    host: options.host,
    port: options.port,
    tls: options.tls,
    logger,
    metrics,
    timers,
    memory,
    routes: [],
  })
  const member = createRaftMember({
    name: options.member,
    url: server.url,
    founders: createFounderMap(options, server.url),
    isFounding: options.isFounding,
    store,
    machine,
    transport: createHttpTransport({ client, timeoutMs: electionMs, isCut }),
    timers,
    random: createRandomSource(options.seed ?? Date.now() % 2 ** 31),
    logger,
    invariants,
    metrics,
    electionMs,
    heartbeatMs: options.heartbeatMs ?? DEFAULT_HEARTBEAT_MS,
    snapshotEvery: options.snapshotEvery ?? DEFAULT_SNAPSHOT_EVERY,
  })
  const findUnreadyReason = () =>
    member.status().leader === undefined ? 'no leader is known' : undefined
  const stopping = new Subject<void>()
  const findFleet = createFleetReader(machine)
  const ledger = createShareLedger({
    timers,
    invariants,
    findParameters: (team) => findFleet()?.teams.get(team)?.parameters,
  })
  const sharedOptions = { member, machine, timers, processKey, operatorKey }
  server.addRoutes([
    ...createDaemonRoutes({ metrics, findUnreadyReason }),
    ...createConfigRoutes({ ...sharedOptions, nodes: createNodeVersions(timers), stopping }),
    ...createGroupRoutes({ ...sharedOptions, isCut, ledger }),
    ...createLimitRoutes({ member, operatorKey, ledger, findFleet }),
  ])

  const orderRunner = createOrderRunner({
    member,
    machine,
    client,
    timers,
    logger,
    findFleet,
    periodMs: options.repairPeriodMs,
  })
  const retentionMs = options.claimRetentionMs ?? DEFAULT_CLAIM_RETENTION_MS
  const claimExpiry = timers.every(CLAIM_EXPIRY_PERIOD_MS).subscribe(() => {
    if (member.status().role !== 'leader') return
    const at = timers.wallNow()
    member.propose({ kind: 'claim.expire', before: at - retentionMs, at }).catch(() => {})
  })
  logger.info('control.listening', { url: server.url, member: options.member })

  return {
    url: server.url,
    member,
    machine,
    invariants,
    traffic: server.traffic,
    close: async (drainMs = DEFAULT_DRAIN_MS) => {
      stopping.next()
      claimExpiry.unsubscribe()
      await orderRunner.close()
      const report = await server.close(drainMs)
      await member.close()
      client.close()
      await metrics.close()
      return report
    },
  }
}
