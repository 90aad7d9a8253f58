/**
 * `spoolgate bench control`: claims a second with group commit, time to ready after a restart, and
 * the time from acceptance of a configuration until it is in force at every node.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import {
  createConfigFollower,
  createControlServer,
  createControlClient,
  type ConfigFollower,
  type ControlServer,
} from '@spoolgate/control'
import {
  createHttpClient,
  createInvariants,
  createQuietLogger,
  createTimerService,
  createUniqueId,
  toBackendServerId,
  toIncarnation,
  toRequestId,
  toTeamId,
  waitFor,
} from '@spoolgate/core'
import { findPercentile, toRounded } from './statistics.js'

/** Options of {@link runControlBench}. */
export interface ControlBenchOptions {
  /** Length of each claims part, in seconds. */
  readonly seconds: number
  /** Changes whose spread is timed, for each number of nodes. */
  readonly changes: number
}

interface ClaimFigures {
  readonly inFlight: number
  readonly claimsPerSecond: number
  readonly p50Ms: number
  readonly p99Ms: number
  /** Bytes that one follower exchanges with the leader for a claim. */
  readonly bytesPerClaimAndFollower: number
}

interface SpreadFigures {
  readonly nodes: number
  readonly p50Ms: number
  readonly p99Ms: number
  /** Bytes that a node and control exchange for one change. */
  readonly bytesPerChangeAndNode: number
  /** Bytes a second of an idle node's poll. */
  readonly idleBytesPerSecondAndNode: number
}

interface RestartFigures {
  readonly changes: number
  readonly readyMs: number
}

/** What the benchmark found. */
export interface ControlBenchResult {
  readonly claims: readonly ClaimFigures[]
  readonly spread: readonly SpreadFigures[]
  readonly restart: readonly RestartFigures[]
  /** Bytes of one heartbeat and its answer. */
  readonly heartbeatBytes: number
  /** CPU time of the whole group for one claim, in µs. */
  readonly cpuUsPerClaim: number
}

const HOST = '127.0.0.1'
const KEY = 'bench-key'
const MEMBERS = 3
const IN_FLIGHT = [1, 16, 256] as const
const NODE_COUNTS = [10, 100, 300] as const
const CHANGE_COUNTS = [100, 1_000, 10_000] as const
const HEARTBEAT_MS = 100
const IDLE_SECONDS = 3
const MS_PER_SECOND = 1_000
const SPREAD_TIMEOUT_MS = 30_000

const logger = createQuietLogger()
const timers = createTimerService()

interface Group {
  readonly controls: readonly ControlServer[]
  readonly urls: readonly string[]
  close(): Promise<void>
}

async function startGroup(): Promise<Group> {
  const folder = mkdtempSync(join(tmpdir(), 'spoolgate-control-'))
  const base = 20_000 + (process.pid % 20_000)
  const names = Array.from({ length: MEMBERS }, (_, index) => `c${index}`)
  const founders = Object.fromEntries(
    names.map((name, index) => [name, `http://${HOST}:${base + index}`]),
  )
  const controls = await Promise.all(
    names.map((member, index) =>
      createControlServer({
        member,
        founders,
        isFounding: true,
        host: HOST,
        port: base + index,
        dataFolder: join(folder, member),
        processKey: KEY,
        operatorKey: KEY,
        logger,
        timers,
        electionMs: 500,
        heartbeatMs: HEARTBEAT_MS,
        seed: index + 1,
      }),
    ),
  )
  return {
    controls,
    urls: controls.map(({ url }) => url),
    close: async () => {
      await Promise.all(controls.map((control) => control.close(0)))
      rmSync(folder, { recursive: true, force: true })
    },
  }
}

async function measureClaims(group: Group, inFlight: number, seconds: number) {
  const client = createHttpClient({ key: KEY })
  const control = createControlClient({ urls: group.urls, client, timers })
  const times: number[] = []
  const endsAt = timers.now() + seconds * MS_PER_SECOND
  const runCaller = async () => {
    while (timers.now() < endsAt) {
      const startedAt = timers.now()
      await control.send<'claim.open'>({
        kind: 'claim.open',
        team: toTeamId('t'),
        key: createUniqueId('k'),
        bodyHash: 'h',
        request: toRequestId(createUniqueId('r')),
        server: toBackendServerId('s'),
        incarnation: toIncarnation('i'),
      })
      times.push(timers.now() - startedAt)
    }
  }
  const cpu = process.cpuUsage()
  const bytesBefore = countFollowerBytes(group)
  await Promise.all(Array.from({ length: inFlight }, runCaller))
  const { user, system } = process.cpuUsage(cpu)
  const bytes = countFollowerBytes(group) - bytesBefore
  client.close()
  const figures: ClaimFigures = {
    inFlight,
    claimsPerSecond: Math.round(times.length / seconds),
    p50Ms: toRounded(findPercentile(times, 50)),
    p99Ms: toRounded(findPercentile(times, 99)),
    bytesPerClaimAndFollower: Math.round(bytes / times.length / (MEMBERS - 1)),
  }
  return { figures, cpuUs: (user + system) / times.length }
}

function countBytes(group: Group): number {
  return countTraffic(group.controls)
}

function countFollowerBytes(group: Group): number {
  return countTraffic(group.controls.filter(({ member }) => member.status().role !== 'leader'))
}

async function measureHeartbeatBytes(group: Group): Promise<number> {
  while (!group.controls.some(({ member }) => member.status().hasLease)) {
    await waitFor(timers, HEARTBEAT_MS)
  }
  const before = countFollowerBytes(group)
  await waitFor(timers, IDLE_SECONDS * MS_PER_SECOND)
  const beats = ((IDLE_SECONDS * MS_PER_SECOND) / HEARTBEAT_MS) * (MEMBERS - 1)
  return Math.round((countFollowerBytes(group) - before) / beats)
}

function countTraffic(controls: readonly ControlServer[]): number {
  return controls.reduce((sum, control) => {
    const { received, sent } = control.traffic()
    return sum + received + sent
  }, 0)
}

async function startFollowers(group: Group, count: number): Promise<ConfigFollower[]> {
  const client = createHttpClient({ key: KEY })
  const followers = Array.from({ length: count }, (_, index) =>
    createConfigFollower({
      node: `node-${index}`,
      // Each node begins with another member, so that polls spread over the group.
      sources: group.urls.map((_, turn) => group.urls[(index + turn) % group.urls.length]),
      client,
      timers,
      logger,
      invariants: createInvariants({ logger }),
    }),
  )
  await Promise.all(followers.map((follower) => follower.waitForVersion(0, SPREAD_TIMEOUT_MS)))
  return followers
}

async function submitChange(group: Group, change: number): Promise<number> {
  const client = createHttpClient({ key: KEY })
  const control = createControlClient({ urls: group.urls, client, timers })
  const { version } = await control.request<{ version: number }>('GET', '/config/current')
  const teams = Array.from({ length: 350 }, (_, index) => ({
    id: `team-${index}`,
    parameters: { share: index === change % 350 ? 1 + change : 1 },
  }))
  const json = {
    changeId: createUniqueId('change'),
    base: version,
    operator: 'bench',
    source: { teams },
  }
  const result = await control.request<{ version: number }>('POST', '/config', json)
  client.close()
  return result.version
}

async function measureSpread(group: Group, nodes: number, changes: number): Promise<SpreadFigures> {
  const followers = await startFollowers(group, nodes)
  await submitChange(group, 0)
  const times: number[] = []
  const idleStart = countBytes(group)
  await new Promise((resolve) => setTimeout(resolve, IDLE_SECONDS * MS_PER_SECOND))
  const idleBytes = countBytes(group) - idleStart
  const changeStart = countBytes(group)
  const changeStartedAt = timers.now()
  for (let change = 1; change <= changes; change += 1) {
    const version = await submitChange(group, change)
    const acceptedAt = timers.now()
    await Promise.all(
      followers.map(async (follower) => {
        await follower.waitForVersion(version, SPREAD_TIMEOUT_MS)
        times.push(timers.now() - acceptedAt)
      }),
    )
  }
  const seconds = (timers.now() - changeStartedAt) / MS_PER_SECOND
  const idleRate = idleBytes / IDLE_SECONDS
  const changeBytes = countBytes(group) - changeStart - idleRate * seconds
  await Promise.all(followers.map((follower) => follower.close()))
  return {
    nodes,
    p50Ms: toRounded(findPercentile(times, 50)),
    p99Ms: toRounded(findPercentile(times, 99)),
    bytesPerChangeAndNode: Math.round(changeBytes / changes / nodes),
    idleBytesPerSecondAndNode: Math.round(idleRate / nodes),
  }
}

async function measureRestart(changes: number): Promise<RestartFigures> {
  const dataFolder = mkdtempSync(join(tmpdir(), 'spoolgate-restart-'))
  const start = () =>
    createControlServer({
      member: 'c',
      isFounding: true,
      host: HOST,
      port: 0,
      dataFolder,
      processKey: KEY,
      operatorKey: KEY,
      logger,
      timers,
      electionMs: 200,
    })
  const waitUntilReady = async (control: ControlServer) => {
    while (control.member.status().role !== 'leader') {
      await new Promise((resolve) => setImmediate(resolve))
    }
  }
  const first = await start()
  await waitUntilReady(first)
  for (let change = 0; change < changes; change += 1) {
    await first.member.propose({
      kind: 'config.submit',
      changeId: `change-${change}`,
      base: first.machine.config.version(),
      operator: 'bench',
      source: { teams: [{ id: `team-${change % 350}` }] },
      at: change,
    })
  }
  const version = first.machine.config.version()
  await first.close(0)
  const startedAt = timers.now()
  const second = await start()
  await waitUntilReady(second)
  while (second.machine.config.version() < version) {
    await new Promise((resolve) => setImmediate(resolve))
  }
  const readyMs = toRounded(timers.now() - startedAt)
  await second.close(0)
  rmSync(dataFolder, { recursive: true, force: true })
  return { changes, readyMs }
}

/** Runs the benchmark. */
export async function runControlBench(options: ControlBenchOptions): Promise<ControlBenchResult> {
  const group = await startGroup()
  const heartbeatBytes = await measureHeartbeatBytes(group)
  const claims: ClaimFigures[] = []
  let cpuUsPerClaim = 0
  for (const inFlight of IN_FLIGHT) {
    const { figures, cpuUs } = await measureClaims(group, inFlight, options.seconds)
    claims.push(figures)
    cpuUsPerClaim = Math.round(cpuUs)
  }
  const spread: SpreadFigures[] = []
  for (const nodes of NODE_COUNTS) spread.push(await measureSpread(group, nodes, options.changes))
  await group.close()
  const restart: RestartFigures[] = []
  for (const changes of CHANGE_COUNTS) restart.push(await measureRestart(changes))
  return { heartbeatBytes, claims, spread, restart, cpuUsPerClaim }
}
