/**
 * Heartbeats at an instance that is not the leader: acknowledges those that change nothing and sends them to the
 * leader in batches; sends every other one to the leader and waits for its answer.
 */
import {
  SpoolgateError,
  toSpoolgateError,
  type BackendServerId,
  type HttpClient,
  type Logger,
  type TimerService,
} from '@spoolgate/core'
import type { RaftStatus } from '../raft/types.js'
import type { ServerResult, ServerState } from '../state/serverState.js'
import {
  createHeartbeatBatches,
  findUnchanged,
  HEARTBEAT_BATCH_MS,
  type BatchEntry,
  type BatchReply,
} from './heartbeatBatches.js'
import type { HeartbeatIntake, ServerHeartbeat } from './heartbeatIntake.js'

/** How a heartbeat was answered, as counted by the metric `heartbeats`. */
export type HeartbeatOutcome = 'local' | 'leader' | 'shed' | 'refused'

/** Options of {@link createHeartbeatForwarder}. */
export interface HeartbeatForwarderOptions {
  readonly member: { status(): Pick<RaftStatus, 'role' | 'term' | 'leaderUrl'> }
  readonly servers: Pick<ServerState, 'find'>
  readonly intake: Pick<HeartbeatIntake, 'observeServers' | 'checkLeadership'>
  /** Client for batches; it should use one connection. */
  readonly batchClient: HttpClient
  readonly timers: TimerService
  readonly logger: Logger
  /** Base path of operations on the leader. */
  readonly operationPath: string
  /** Timeout of a batch, in ms. */
  readonly timeoutMs: number
  /** Sends a heartbeat to the leader and waits for its answer. */
  readonly sendSingle: (heartbeat: ServerHeartbeat) => Promise<ServerResult>
  readonly countHeartbeat: (outcome: HeartbeatOutcome) => void
  /** Whether this instance is overloaded and acknowledges some heartbeats without a batch entry. */
  readonly isOverloaded: () => boolean
  /** Minimum time between two such heartbeats of one server, in ms. */
  readonly shedPeriodMs: number
}

/** See {@link createHeartbeatForwarder}. */
export interface HeartbeatForwarder {
  /** @throws SpoolgateError or ConnectionError when the leader is unknown or does not answer. */
  forward(heartbeat: ServerHeartbeat): Promise<ServerResult>
  close(): void
}

/**
 * Maximum number of heartbeats that wait for the leader. Further ones are refused at once: with a longer queue all of
 * them time out after 850 ms, and the leader spends its time on requests whose senders gave up.
 */
const MAX_WAITING = 64

/** Creates the forwarder and starts sending batches. */
export function createHeartbeatForwarder(options: HeartbeatForwarderOptions): HeartbeatForwarder {
  const { member, servers, intake, timers, logger } = options
  const batches = createHeartbeatBatches(options)
  let isSending = false
  let waiting = 0

  /** Identifies a leader; undefined if none is known. A leader that is elected again has lost its soft state. */
  const findLeaderKey = () => {
    const { role, term, leaderUrl } = member.status()
    const isKnown = role === 'leader' || leaderUrl !== undefined
    return isKnown ? `${term} ${leaderUrl}` : undefined
  }
  const send = async (entries: readonly BatchEntry[]): Promise<BatchReply> => {
    const { role, leaderUrl } = member.status()
    if (role === 'leader') return intake.observeServers(entries)
    if (leaderUrl === undefined)
      throw new SpoolgateError('controlUnavailable', 'the leader is currently unknown')
    return options.batchClient.sendJson<BatchReply>({
      method: 'POST',
      url: `${leaderUrl}${options.operationPath}/observeServers`,
      json: { entries },
      timeoutMs: options.timeoutMs,
    })
  }
  const sendBatch = async (entries: readonly BatchEntry[]) => {
    const leader = findLeaderKey()
    const sentAt = timers.now()
    isSending = true
    try {
      const { differing } = await send(entries)
      batches.recordExchange(String(leader), sentAt)
      batches.recordDiffering(differing)
    } catch (cause) {
      batches.recordLoss(entries, timers.now())
      const { kind, message } = toSpoolgateError(cause)
      if (kind === 'unknownPath') batches.recordUnsupported(String(leader))
      logger.warn('heartbeats.batchLost', { servers: entries.length, leader, reason: message })
    }
    isSending = false
  }
  const flush = () => {
    intake.checkLeadership()
    // One batch at a time: the entries that arrive during a slow answer go with the next one.
    if (isSending) return
    const entries = batches.take(timers.now())
    if (entries.length > 0) void sendBatch(entries)
  }
  const acknowledge = ({ server, count }: ServerHeartbeat, leader: string) => {
    const known = findUnchanged(servers, server)
    if (!known || !batches.mayAcknowledge(known.id, leader, timers.now())) return undefined
    const isShed = options.isOverloaded() && batches.shed(known.id, timers.now())
    if (!isShed) batches.add(known, count, timers.now())
    options.countHeartbeat(isShed ? 'shed' : 'local')
    return { phase: known.phase }
  }
  const recordAnswer = (id: BackendServerId, leader: string, sentAt: number) => {
    batches.recordExchange(leader, sentAt)
    batches.recordSingle(id)
    options.countHeartbeat('leader')
  }
  const sendSingle = async (heartbeat: ServerHeartbeat) => {
    if (waiting >= MAX_WAITING)
      throw new SpoolgateError('controlUnavailable', 'too many heartbeats wait for the leader', {
        retryAfterSeconds: 1,
      })
    waiting += 1
    try {
      return await options.sendSingle(heartbeat)
    } finally {
      waiting -= 1
    }
  }
  const refuse = ({ server, count }: ServerHeartbeat, receivedAt: number) => {
    options.countHeartbeat('refused')
    const known = findUnchanged(servers, server)
    // The sender gets an error, but the batch keeps a slow leader from counting its server as silent.
    if (known) batches.add(known, count, receivedAt)
  }
  const flushSubscription = timers.every(HEARTBEAT_BATCH_MS).subscribe(flush)
  return {
    forward: async (heartbeat) => {
      const leader = findLeaderKey()
      const acknowledged = leader === undefined ? undefined : acknowledge(heartbeat, leader)
      if (acknowledged) return acknowledged
      const sentAt = timers.now()
      try {
        const result = await sendSingle(heartbeat)
        recordAnswer(heartbeat.server.id, String(leader), sentAt)
        return result
      } catch (cause) {
        refuse(heartbeat, sentAt)
        throw cause
      }
    },
    close: () => flushSubscription.unsubscribe(),
  }
}
