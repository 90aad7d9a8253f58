/**
 * `spoolgate bench heartbeats`: what a heartbeat that changes nothing costs control as the fleet grows, at the leader
 * and at another instance. The log is a stub that applies commands at once; everything else is the real code.
 */
import {
  buildServerIdentity,
  createControlStateMachine,
  createFleetOperationRunner,
  type ControlStateMachine,
  type FleetOperationRunner,
  type RaftMember,
  type RegisteredServer,
} from '@spoolgate/control'
import {
  createHttpClient,
  createHttpServer,
  createQuietLogger,
  createRejectedInputs,
  createTimerService,
  readJson,
  sendJson,
  toServerName,
  waitFor,
  BODY_LIMITS,
  type HttpClient,
  type HttpExchange,
} from '@spoolgate/core'
import { toRounded } from './statistics.js'

/** Options of {@link runHeartbeatBench}. */
export interface HeartbeatBenchOptions {
  /** Time for which servers send heartbeats to each instance, for each size. */
  readonly seconds: number
}

/** Figures of one size. */
export interface HeartbeatPoint {
  readonly servers: number
  /** Processor time of a heartbeat at the leader, without HTTP, in µs. */
  readonly leaderUs: number
  /** Processor time of both instances for a heartbeat at the other instance, with HTTP between them, in µs. */
  readonly pairCpuUs: number
  /** Requests that the leader received for each heartbeat at the other instance. */
  readonly requestsEach: number
}

const SERVER_COUNTS = [300, 1_000, 3_000] as const
const HOST = '127.0.0.1'
/** Interval between heartbeats of one server, and between the groups of servers that send them, in ms. */
const HEARTBEAT_MS = 1_200
const SLICE_MS = 100
const MS_PER_S = 1_000
const WARM_UP_S = 2
const SILENT_AFTER_MS = 2_640

function createServer(index: number): RegisteredServer {
  return {
    ...buildServerIdentity(toServerName(`engine-${index}`), 1),
    group: 'assistant',
    address: `10.${index >> 8}.${index & 255}.1:8000`,
    hall: `hall-${index % 5}`,
    phase: 'ready',
    slots: 64,
    weights: [{ model: 'assistant', version: 1 }],
  }
}

function createInstance(
  role: 'leader' | 'follower',
  machine: ControlStateMachine,
  client: HttpClient,
  findLeaderUrl: () => string,
): FleetOperationRunner {
  const timers = createTimerService()
  const logger = createQuietLogger()
  const member = {
    status: () => ({ role, term: 1, leaderUrl: findLeaderUrl() }),
    propose: async (command: unknown) => machine.apply(command, 1),
  } as unknown as RaftMember
  return createFleetOperationRunner({
    member,
    machine,
    client,
    timers,
    logger,
    silentAfterMs: SILENT_AFTER_MS,
    isKnownGroup: () => true,
    rejectedInputs: createRejectedInputs({ logger, timers }),
  })
}

/** Sends heartbeats of all servers spread over each period; returns the number of those that were answered. */
async function sendHeartbeats(
  runner: FleetOperationRunner,
  servers: readonly RegisteredServer[],
  seconds: number,
): Promise<number> {
  const slices = Math.round((seconds * MS_PER_S) / SLICE_MS)
  const perSlice = Math.round((servers.length * SLICE_MS) / HEARTBEAT_MS)
  const timers = createTimerService()
  const sendNext = (index: number) => {
    const sequence = Math.floor(index / servers.length) + 1
    // Each heartbeat is an object of its own, as those that arrive are.
    const server = { ...servers[index % servers.length] }
    // In the warm-up some are refused: until the first answer of the leader each of them waits for it.
    return runner.run('observeServer', { server, count: sequence }).catch(() => undefined)
  }
  let answered = 0
  for (let slice = 0; slice < slices; slice += 1) {
    const first = slice * perSlice
    const sends = Array.from({ length: perSlice }, (_, index) => sendNext(first + index))
    const [results] = await Promise.all([Promise.all(sends), waitFor(timers, SLICE_MS)])
    answered += results.filter((result) => result !== undefined).length
  }
  return answered
}

/** Measures the processor time of this process for each heartbeat, in µs. */
async function measureUsEach(send: () => Promise<number>): Promise<number> {
  const before = process.cpuUsage()
  const count = await send()
  const { user, system } = process.cpuUsage(before)
  return toRounded((user + system) / count)
}

async function measurePoint(serverCount: number, seconds: number): Promise<HeartbeatPoint> {
  const servers = Array.from({ length: serverCount }, (_, index) => createServer(index))
  const machine = createControlStateMachine()
  for (const server of servers) machine.apply({ kind: 'server.observe', server }, 1)
  const client = createHttpClient()
  let requests = 0
  const handleOperation = async ({ request, response, params }: HttpExchange) => {
    requests += 1
    const input = await readJson(request, BODY_LIMITS.message)
    sendJson(response, 200, await leader.runLocally(params.name, input))
  }
  const http = await createHttpServer({
    host: HOST,
    port: 0,
    logger: createQuietLogger(),
    timers: createTimerService(),
    routes: [{ method: 'POST', path: '/fleet/:name', handler: handleOperation }],
  })
  const leader = createInstance('leader', machine, client, () => http.url)
  const follower = createInstance('follower', machine, client, () => http.url)

  await sendHeartbeats(leader, servers, WARM_UP_S)
  await sendHeartbeats(follower, servers, WARM_UP_S)
  requests = 0
  const leaderUs = await measureUsEach(() => sendHeartbeats(leader, servers, seconds))
  let sent = 0
  const pairCpuUs = await measureUsEach(async () => {
    sent = await sendHeartbeats(follower, servers, seconds)
    return sent
  })
  for (const runner of [leader, follower]) runner.close()
  client.close()
  await http.close(0)
  return { servers: serverCount, leaderUs, pairCpuUs, requestsEach: toRounded(requests / sent) }
}

/** Runs the benchmark. */
export async function runHeartbeatBench(
  options: HeartbeatBenchOptions,
): Promise<readonly HeartbeatPoint[]> {
  const points: HeartbeatPoint[] = []
  for (const servers of SERVER_COUNTS) points.push(await measurePoint(servers, options.seconds))
  return points
}
