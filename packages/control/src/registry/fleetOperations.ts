/**
 * What operators and backend servers may ask of control in deployments where backend servers
 * register themselves. Any instance takes a request; the leader carries it out.
 */
import {
  SpoolgateError,
  type BackendServerId,
  type HttpClient,
  type Logger,
  type RejectedInputs,
  type ServerName,
  type TimerService,
} from '@spoolgate/core'
import { LRUCache } from 'lru-cache'
import type { RaftMember } from '../raft/types.js'
import type { ControlMachine } from '../state/controlMachine.js'
import {
  isSameServer,
  mergeServer,
  type RegisteredServer,
  type ServerResult,
} from '../state/serverState.js'
import type { PutTableResult } from '../state/tableState.js'
import { applyTableUpdate, buildTableUpdate, type TableUpdate } from '../table/tableUpdate.js'
import { createServerSignals } from './serverSignals.js'
import { createTablePuts } from './tablePuts.js'
import type { NameWeights, NameWeightsResult } from '../state/weightsState.js'

/** Path under which instances hand operations to the leader. */
export const OPERATION_PATH = '/fleet'

/** What a server says of itself. */
export interface ServerHeartbeat {
  readonly server: RegisteredServer
  /** Number of the heartbeat, which rises with each of one start; undefined where there is none. */
  readonly count?: number
}

/** Says that a server has left. */
export interface ServerLeave {
  readonly name: ServerName
  /** Start that has left; undefined where the server does not name it. */
  readonly startedAt?: number
}

/** Asks for the newest table. */
export interface ReadTable {
  /** Version that the sender holds; -1 for none. */
  readonly heldVersion: number
}

/** Answers {@link ReadTable}. */
export interface NewestTable {
  readonly version: number
  /** The whole table, packed; present when the sender holds another version. */
  readonly whole?: TableUpdate
}

/** The operations by name, each with what it takes and gives. */
export interface FleetOperations {
  /** Takes the whole table, packed. */
  putTable: { input: { readonly whole: TableUpdate }; output: PutTableResult }
  readTable: { input: ReadTable; output: NewestTable }
  nameWeights: { input: Omit<NameWeights, 'kind'>; output: NameWeightsResult }
  observeServer: { input: ServerHeartbeat; output: ServerResult }
  retireServer: { input: ServerLeave; output: ServerResult }
}

/** Name of an operation. */
export type FleetOperationName = keyof FleetOperations

/** Options of {@link createFleetOperationRunner}. */
export interface FleetOperationRunnerOptions {
  readonly member: RaftMember
  readonly machine: ControlMachine
  readonly client: HttpClient
  readonly timers: TimerService
  readonly logger: Logger
  /** Silence after which a backend server counts as silent, in ms. */
  readonly silentAfterMs: number
  /** Whether a group is in the routing table, as far as there is one. */
  readonly isKnownGroup: (name: string) => boolean
  readonly rejectedInputs: RejectedInputs
}

/** Runs operations; see {@link createFleetOperationRunner}. */
export interface FleetOperationRunner {
  /**
   * Runs an operation at the leader, wherever it is.
   * @throws SpoolgateError `controlUnavailable` when it is not known whether it was carried out.
   */
  run<Name extends FleetOperationName>(
    name: Name,
    input: FleetOperations[Name]['input'],
  ): Promise<FleetOperations[Name]['output']>
  /** Runs an operation here; for the leader only. */
  runLocally(name: string, input: unknown): Promise<unknown>
  /** Ms since this leader last received a heartbeat of a server, or since it leads. */
  findHeartbeatAgeMs(id: BackendServerId): number
}

/** Incarnations whose last heartbeat is remembered: several times those of a large fleet. */
const MAX_TRACKED_SERVERS = 5_000
/** Longest wait for the leader, in ms: callers turn to another instance after a second. */
const LEADER_TIMEOUT_MS = 850

type Handlers = {
  readonly [Name in FleetOperationName]: (
    input: FleetOperations[Name]['input'],
  ) => Promise<FleetOperations[Name]['output']>
}

/** Creates the operator of one instance. */
export function createFleetOperationRunner(
  options: FleetOperationRunnerOptions,
): FleetOperationRunner {
  const { member, machine, client, timers, logger } = options
  const receivedAt = new LRUCache<BackendServerId, number>({ max: MAX_TRACKED_SERVERS })
  let leadingTerm: number | undefined
  let leadingSince = timers.now()
  /** Heartbeats went to the leader before, so silence counts from the start of this leadership. */
  const findLeadingSince = () => {
    const { role, term } = member.status()
    const current = role === 'leader' ? term : undefined
    if (current !== leadingTerm) leadingSince = timers.now()
    leadingTerm = current
    return leadingSince
  }

  const findHeartbeatAgeMs = (id: BackendServerId) =>
    timers.now() - Math.max(receivedAt.get(id) ?? -Infinity, findLeadingSince())
  const signals = createServerSignals({
    servers: machine.servers,
    timers,
    logger,
    silentAfterMs: options.silentAfterMs,
    findHeartbeatAgeMs,
  })
  const tablePuts = createTablePuts({ member, table: machine.table, logger })
  /** An unknown group names no server to use; one that is registered stays registered. */
  const isAcceptable = ({ id, group }: RegisteredServer) =>
    options.isKnownGroup(group) || machine.servers.find(id) !== undefined
  const observeServer: Handlers['observeServer'] = async ({ server, count }) => {
    const { id, name, group } = server
    if (!isAcceptable(server)) {
      options.rejectedInputs.record({
        source: 'heartbeat',
        from: name,
        reason: `unknown group ${group}`,
      })
      return { phase: server.phase }
    }
    const known = machine.servers.find(id)
    if (!signals.admitHeartbeat(server, count)) return { phase: known?.phase ?? 'gone' }
    receivedAt.set(id, timers.now())
    if (known && isSameServer(known, mergeServer(known, server))) return { phase: known.phase }
    logger.info('server.observed', {
      server: id,
      group,
      address: server.address,
      phase: server.phase,
      before: known?.phase,
      weights: server.weights,
    })
    return (await member.propose({ kind: 'server.observe', server })) as ServerResult
  }
  const handlers: Handlers = {
    putTable: async ({ whole }) => {
      const table = applyTableUpdate(undefined, whole)
      if (table) return tablePuts.put(table)
      throw new SpoolgateError('invalidRequest', 'the table came damaged; send it again whole')
    },
    readTable: async ({ heldVersion }) => {
      member.checkCurrent()
      const held = machine.table.current()
      if (held?.version === heldVersion) return { version: heldVersion }
      if (held) return { version: held.version, whole: buildTableUpdate(undefined, held) }
      throw new SpoolgateError('controlUnavailable', 'no routing table yet; send one first')
    },
    nameWeights: async (input) => {
      const result = (await member.propose({ kind: 'weights.name', ...input })) as NameWeightsResult
      logger.info('weights.named', { ...input, wanted: result.version })
      return result
    },
    observeServer,
    retireServer: async ({ name, startedAt }) => {
      const leaving = signals.resolveLeave(name, startedAt)
      if (!leaving) return { phase: machine.servers.findByName(name)?.phase ?? 'gone' }
      const { id } = leaving
      const command = { kind: 'server.retire', id, phase: 'gone' } as const
      const result = (await member.propose(command)) as ServerResult
      logger.info('server.retired', { server: id, phase: result.phase })
      return result
    },
  }
  const runLocally = async (name: string, input: unknown): Promise<unknown> => {
    const handler = handlers[name as FleetOperationName] as
      ((input: unknown) => Promise<unknown>) | undefined
    if (!handler)
      throw new SpoolgateError('unknownPath', `no operation "${name}"; update this member`)
    return handler(input)
  }
  const runAtLeader = async (name: string, input: unknown): Promise<unknown> => {
    const { role, leaderUrl } = member.status()
    if (role === 'leader') return runLocally(name, input)
    if (leaderUrl === undefined) {
      throw new SpoolgateError('controlUnavailable', 'no leader is known now; try again', {
        notRun: false,
        retryAfterSeconds: 1,
      })
    }
    return client.sendJson({
      method: 'POST',
      url: `${leaderUrl}${OPERATION_PATH}/${name}`,
      json: input,
      timeoutMs: LEADER_TIMEOUT_MS,
    })
  }
  return {
    run: (name, input) => runAtLeader(name, input) as Promise<never>,
    runLocally,
    findHeartbeatAgeMs,
  }
}
