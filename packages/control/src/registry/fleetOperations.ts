/**
 * Operations that operators and backend servers request from control in deployments where backend servers register
 * themselves. Any instance accepts a request and forwards it to the leader, which runs it.
 */
import {
  SpoolgateError,
  type BackendServerId,
  type BodyKind,
  type HttpClient,
  type Logger,
  type RejectedInputs,
  type ServerName,
  type TimerService,
} from '@spoolgate/core'
import type { RaftMember } from '../raft/types.js'
import type { ControlStateMachine } from '../state/controlMachine.js'
import type { ServerResult } from '../state/serverState.js'
import type { PutTableResult } from '../state/tableState.js'
import { applyTableUpdate, buildTableUpdate, type TableUpdate } from '../table/tableUpdate.js'
import type { BatchReply, HeartbeatBatch } from './heartbeatBatches.js'
import { createHeartbeatForwarder, type HeartbeatOutcome } from './heartbeatForwarder.js'
import { createHeartbeatIntake, type ServerHeartbeat } from './heartbeatIntake.js'
import type { VersionGate } from './versionGate.js'
import { createTableWriter } from './tableWriter.js'
import type { SetWeightsVersion, SetWeightsVersionResult } from '../state/weightsState.js'

/** Path prefix under which instances forward operations to the leader. */
export const OPERATION_PATH = '/fleet'

export type { ServerHeartbeat } from './heartbeatIntake.js'

/** Leave message of a backend server. */
export interface ServerLeave {
  readonly name: ServerName
  /** Start time of the incarnation that leaves; undefined if the server does not send it. */
  readonly startedAt?: number
}

/** Request for the newest routing table. */
export interface ReadTable {
  /** Version held by the sender; -1 for none. */
  readonly heldVersion: number
}

/** Reply to {@link ReadTable}. */
export interface NewestTable {
  readonly version: number
  /** The complete table, packed; present if the sender holds another version. */
  readonly whole?: TableUpdate
}

/** Operations by name, each with its input and output. */
export interface FleetOperations {
  /** Stores a complete table, packed. */
  putTable: { input: { readonly whole: TableUpdate }; output: PutTableResult }
  readTable: { input: ReadTable; output: NewestTable }
  nameWeights: { input: Omit<SetWeightsVersion, 'kind'>; output: SetWeightsVersionResult }
  observeServer: { input: ServerHeartbeat; output: ServerResult }
  /** Records heartbeats that another instance acknowledged. */
  observeServers: { input: HeartbeatBatch; output: BatchReply }
  retireServer: { input: ServerLeave; output: ServerResult }
  /** Confirms that this instance leads and holds its lease. */
  confirmLeader: { input: object; output: LeaderConfirmation }
}

/** Reply of a leader that holds its lease. */
export interface LeaderConfirmation {
  readonly term: number
}

/** Name of an operation. */
export type FleetOperationName = keyof FleetOperations

/** Finds what the answer to an operation carries. */
export function findAnswerKind(name: string): BodyKind {
  return name === ('readTable' satisfies FleetOperationName) ? 'table' : 'message'
}

/** Options of {@link createFleetOperationRunner}. */
export interface FleetOperationRunnerOptions {
  readonly member: RaftMember
  readonly machine: ControlStateMachine
  readonly client: HttpClient
  /**
   * Client for single heartbeats; it should limit its connections.
   * @default client
   */
  readonly heartbeatClient?: HttpClient
  /**
   * Client for batches of heartbeats; it should use one connection.
   * @default client
   */
  readonly batchClient?: HttpClient
  readonly timers: TimerService
  readonly logger: Logger
  /** Time without a heartbeat after which a backend server counts as silent, in ms. */
  readonly silentAfterMs: number
  /** Whether the routing table, if there is one, contains a group. */
  readonly isKnownGroup: (name: string) => boolean
  readonly rejectedInputs: RejectedInputs
  /**
   * Decides when servers of a new software version may be registered.
   * @default at once
   */
  readonly versionGate?: Pick<VersionGate, 'isOpen' | 'waitUntilOpen'>
  /**
   * Called with the outcome of each heartbeat that this instance received from a server.
   * @default no counting
   */
  readonly countHeartbeat?: (outcome: HeartbeatOutcome) => void
  /**
   * Whether this instance is overloaded.
   * @default never
   */
  readonly isOverloaded?: () => boolean
}

/** Runs fleet operations; see {@link createFleetOperationRunner}. */
export interface FleetOperationRunner {
  /**
   * Runs an operation at the leader, locally or on another instance.
   * @throws SpoolgateError `controlUnavailable` when it is unknown whether the operation was executed.
   */
  run<Name extends FleetOperationName>(
    name: Name,
    input: FleetOperations[Name]['input'],
  ): Promise<FleetOperations[Name]['output']>
  /** Runs an operation on this instance, which must be the leader. */
  runLocally(name: string, input: unknown): Promise<unknown>
  /** Returns the time since this leader received a server's last heartbeat, or since it became leader, in ms. */
  findHeartbeatAgeMs(id: BackendServerId): number
  close(): void
}

/** Timeout of requests to the leader, in ms: callers switch to another instance after one second. */
export const LEADER_TIMEOUT_MS = 850

/** Retry-After of a leave message that may be of an earlier start, in seconds. */
const LEAVE_RETRY_S = 1

type Handlers = {
  readonly [Name in FleetOperationName]: (
    input: FleetOperations[Name]['input'],
  ) => Promise<FleetOperations[Name]['output']>
}

/** Creates the operation runner of one instance. */
export function createFleetOperationRunner(
  options: FleetOperationRunnerOptions,
): FleetOperationRunner {
  const { member, machine, client, timers, logger } = options
  const countHeartbeat = options.countHeartbeat ?? (() => {})
  const intake = createHeartbeatIntake({ ...options, servers: machine.servers })
  const tablePuts = createTableWriter({ member, table: machine.table, logger })
  const handlers: Handlers = {
    putTable: async ({ whole }) => {
      const table = applyTableUpdate(undefined, whole)
      if (table) return tablePuts.put(table)
      throw new SpoolgateError(
        'invalidRequest',
        'the packed routing table is corrupt; send the complete table again',
      )
    },
    readTable: async ({ heldVersion }) => {
      member.checkCurrent()
      const held = machine.table.current()
      if (held?.version === heldVersion) return { version: heldVersion }
      if (held) return { version: held.version, whole: buildTableUpdate(undefined, held) }
      throw new SpoolgateError(
        'controlUnavailable',
        'no routing table has been submitted yet; submit one first',
      )
    },
    nameWeights: async (input) => {
      const result = (await member.propose({
        kind: 'weights.name',
        ...input,
      })) as SetWeightsVersionResult
      logger.info('weights.named', { ...input, wanted: result.version })
      return result
    },
    observeServer: intake.observeServer,
    observeServers: async ({ entries }) => intake.observeServers(entries),
    retireServer: async ({ name, startedAt }) => {
      const leaving = intake.resolveLeave(name, startedAt)
      if (!leaving) {
        throw new SpoolgateError(
          'conflict',
          `it is unknown which start of ${name} leaves; send its start time, or send the message again later`,
          { retryAfterSeconds: LEAVE_RETRY_S },
        )
      }
      const { id } = leaving
      const command = { kind: 'server.retire', id, phase: 'gone' } as const
      const result = (await member.propose(command)) as ServerResult
      logger.info('server.retired', { server: id, phase: result.phase })
      return result
    },
    confirmLeader: async () => {
      member.checkCurrent()
      return { term: member.status().term }
    },
  }
  const runLocally = async (name: string, input: unknown): Promise<unknown> => {
    const handler = handlers[name as FleetOperationName] as
      ((input: unknown) => Promise<unknown>) | undefined
    if (!handler)
      throw new SpoolgateError(
        'unknownPath',
        `unknown operation "${name}"; update this control instance`,
      )
    // A sender may hold an outdated leader, and a replica must not answer for the leader.
    const { role, leader, leaderUrl } = member.status()
    if (role !== 'leader')
      throw new SpoolgateError('notLeader', 'this instance is not the leader; ask the leader', {
        details: { leader, leaderUrl },
      })
    return handler(input)
  }
  const sendToLeader = async (by: HttpClient, name: string, input: unknown): Promise<unknown> => {
    const { leaderUrl } = member.status()
    if (leaderUrl === undefined) {
      throw new SpoolgateError(
        'controlUnavailable',
        'the leader is currently unknown; retry the operation',
        {
          notRun: false,
          retryAfterSeconds: 1,
        },
      )
    }
    return by.sendJson({
      answer: findAnswerKind(name),
      method: 'POST',
      url: `${leaderUrl}${OPERATION_PATH}/${name}`,
      json: input,
      timeoutMs: LEADER_TIMEOUT_MS,
    })
  }
  const forwarder = createHeartbeatForwarder({
    member,
    servers: machine.servers,
    intake,
    batchClient: options.batchClient ?? client,
    timers,
    logger,
    operationPath: OPERATION_PATH,
    timeoutMs: LEADER_TIMEOUT_MS,
    sendSingle: (heartbeat) =>
      sendToLeader(
        options.heartbeatClient ?? client,
        'observeServer',
        heartbeat,
      ) as Promise<ServerResult>,
    countHeartbeat,
    isOverloaded: options.isOverloaded ?? (() => false),
    // A silent server missed two heartbeats, so two periods are a little less than that time.
    shedPeriodMs: options.silentAfterMs,
  })
  const runAtLeader = async (name: string, input: unknown): Promise<unknown> => {
    const isLeading = member.status().role === 'leader'
    if (isLeading && name === 'observeServer') countHeartbeat('leader')
    if (isLeading) return runLocally(name, input)
    if (name === 'observeServer') return forwarder.forward(input as ServerHeartbeat)
    return sendToLeader(client, name, input)
  }
  return {
    run: (name, input) => runAtLeader(name, input) as Promise<never>,
    runLocally,
    findHeartbeatAgeMs: intake.findHeartbeatAgeMs,
    close: forwarder.close,
  }
}
