/**
 * Simulates routers that all start at once, in virtual time: real clients and sources of the feed on a simulated network
 * with limited link bandwidth and processor speed.
 */
import {
  ConnectionError,
  createLogger,
  createManualTimerService,
  createQuietLogger,
  createRandomSource,
  createTurnQueue,
  type BackendServerId,
  type HttpClient,
  type ManualTimerService,
} from '@spoolgate/core'
import type { RoutingTable } from '@spoolgate/routing'
import { EventEmitter } from 'node:events'
import type { ServerResponse } from 'node:http'
import { NEVER } from 'rxjs'
import { TABLE_PATH, type FeedRequest } from '../registry/feed.js'
import { createCrashReportBuffer } from '../quarantine/crashReportBuffer.js'
import { createQuarantineCoordinator } from '../quarantine/quarantineCoordinator.js'
import { createFeedClient, type FeedClient } from '../registry/feedClient.js'
import { createFeedSource, type FeedSource } from '../registry/feedSource.js'
import { createTableSource, type TableRequest } from '../registry/tableSource.js'
import { createTableHistory } from '../table/tableHistory.js'
import type { RaftMember } from '../raft/types.js'
import { buildDocument, createDirectory, createMachine } from './feedFixtures.js'
import {
  NO_LIMITS,
  NO_PARTS,
  NO_QUOTAS,
  createQuietPartCoordinator,
  createUnlimitedQuotaBuckets,
} from './routerRecordStubs.js'

/** Size of the simulated fleet and its resources. */
export interface FeedSimulationOptions {
  readonly routers: number
  readonly engines: number
  /** Prompt parts cached by each engine. */
  readonly partsPerEngine: number
  /** Cores and link bandwidth of a control instance. */
  readonly controlCores: number
  readonly controlMbps: number
  /** Cores and link bandwidth of a router. */
  readonly routerCores: number
  readonly routerMbps: number
  /** Time from the start of the routers to the election of the only leader, in ms. */
  readonly electedAt: number
  /** Time after the election for which cache snapshots keep the leader busy, in ms. */
  readonly listingMs: number
}

/** See {@link createFeedSimulation}. */
export interface FeedSimulation {
  readonly followers: readonly FeedClient[]
  readonly timers: ManualTimerService
  /** By router, time from the election to its first table, in ms; undefined if it has none. */
  readonly tableMs: readonly (number | undefined)[]
  /** By router, number of cached parts reported to it. */
  readonly cachedParts: readonly number[]
  /** Log lines of the routers. */
  readonly logLines: readonly string[]
  /** Longest backlog of the leader's processor, in ms; its heartbeats are delayed by as much. */
  longestLagMs(): number
  /** Number of requests that reached the leader. */
  countLeaderRequests(): number
  /** Installs a table with this many routes; control accepts it at once. */
  putTable(version: number, routes: number): void
  /** By router, time from the acceptance of a version until the router had it or a newer one, in ms. */
  listPropagationMs(version: number): readonly (number | undefined)[]
  /** Stores that the first `count` engines are draining. */
  departEngines(count: number): void
  /** By router, time from the departure until its view showed all of it, in ms. */
  readonly departureMs: readonly (number | undefined)[]
  /** Ends the leader; another instance leads after `downMs`. */
  loseLeader(downMs: number): void
  /** Suspends the first `count` routers for a while: they neither send nor read. */
  suspendRouters(count: number, ms: number): void
  /** Bytes of all replies of leaders. */
  countReplyBytes(): number
  run(duration: number): Promise<void>
  close(): Promise<void>
}

const TERM = 3
const INSTANCES = 6
const STEP_MS = 5
/** Event loop turns per step, so that pending promises settle. */
const TURNS_PER_STEP = 4
/** One-way latency between data halls, in ms. */
const NETWORK_DELAY_MS = 1
/** Processor time of a request apart from its bytes, in ms of a full core; as in docs/CAPACITY.md. */
const REQUEST_MS = 0.25
/** Time to write and read JSON, in ms of a full core per byte; measured with replies of 120 to 270 KB. */
const WRITE_MS_PER_BYTE = 1e-5
const READ_MS_PER_BYTE = 7e-6
/**
 * Slowdown of the first tasks of a newly started process: writing a reply of 140 KB took 2.2 ms, then 1.7 ms, and 0.8 ms
 * from then on.
 */
const WARM_UP_FACTORS = [2.8, 2.1]
const BITS_PER_BYTE = 8
const BITS_PER_MS_AND_MBPS = 1_000

/** A processor or link that serves requests in sequence. */
interface Resource {
  /** Occupies the resource for `ms` after all earlier requests; resolves at the end. */
  use(ms: number): Promise<void>
  /** Queued work, in ms. */
  backlogMs(): number
}

function createResource(timers: ManualTimerService): Resource {
  let freeAt = 0
  return {
    use: (ms) => {
      freeAt = Math.max(freeAt, timers.now()) + ms
      return new Promise((resolve) => {
        timers.after(freeAt - timers.now()).subscribe(() => resolve())
      })
    },
    backlogMs: () => Math.max(0, freeAt - timers.now()),
  }
}

/** An accepted table version, with the time each router took to receive it. */
interface AcceptedTable {
  readonly acceptedAt: number
  readonly propagationMs: (number | undefined)[]
}

interface Host {
  readonly processor: Resource
  /** Number of tasks done so far. */
  tasksDone: number
  readonly link: Resource
  readonly cores: number
  readonly mbps: number
}

/** Starts a simulation whose routers use the first three control instances as seeds. */
export function createFeedSimulation(options: FeedSimulationOptions): FeedSimulation {
  const timers = createManualTimerService()
  const machine = createMachine(options.engines)
  const directory = createDirectory(options)
  const urls = Array.from({ length: INSTANCES }, (_, index) => `http://control-${index}`)
  let leaderUrl = urls[INSTANCES - 1]
  let term = TERM
  let electedAt = options.electedAt
  const isElected = () => timers.now() >= electedAt
  const lines: string[] = []
  let leaderRequests = 0
  let replyBytes = 0
  /** Ended instances; nothing answers there. */
  const ended = new Set<string>()
  const suspendedUntil = new Map<Host, number>()
  const waitWhileSuspended = async (router: Host) => {
    const leftMs = (suspendedUntil.get(router) ?? 0) - timers.now()
    if (leftMs > 0) await new Promise<void>((done) => timers.after(leftMs).subscribe(() => done()))
  }
  let longestLagMs = 0

  const createMember = (url: string) =>
    ({
      status: () => ({
        role: url === leaderUrl && isElected() ? 'leader' : 'follower',
        term: isElected() ? term : term - 1,
        leader: isElected() ? leaderUrl : undefined,
        leaderUrl: isElected() ? leaderUrl : undefined,
        members: Object.fromEntries(urls.map((each) => [each, { url: each, kind: 'voter' }])),
      }),
      isCurrent: () => true,
      checkCurrent: () => {},
    }) as unknown as RaftMember
  /** Each turn of the simulated event loop lasts until its processor has finished the queued work. */
  const createTurns = ({ processor }: Host) =>
    createTurnQueue((run) => {
      timers.after(Math.max(STEP_MS, processor.backlogMs())).subscribe(run)
    })
  const tables = createTableHistory({
    current: machine.table.current,
    changes: machine.fleetChanges,
  })
  const tableSource = createTableSource({
    table: machine.table,
    tables,
    changes: machine.fleetChanges,
    timers,
    stopping: NEVER,
  })
  const createSource = (url: string, host: Host): FeedSource => {
    const { quarantine, quarantinedParts: parts } = machine
    const member = createMember(url)
    const logger = createQuietLogger()
    return createFeedSource({
      listVersionAges: () => ({}),
      member,
      quarantine: createQuarantineCoordinator({ member, quarantine, timers, logger }),
      parts: createQuietPartCoordinator({ member, parts, timers }),
      machine,
      timers,
      quotas: createUnlimitedQuotaBuckets(timers),
      tables,
      versionGate: { recordPoll: () => {}, isOpen: () => true },
      findConditions: () => ({ loading: [], expired: [], silent: [], stores: [] }),
      conditionChanges: NEVER,
      cacheDirectory: directory,
      waitForCacheDirectory: async () => {},
      stopping: NEVER,
      turns: createTurns(host),
    })
  }
  const createHost = (cores: number, mbps: number): Host => ({
    processor: createResource(timers),
    tasksDone: 0,
    link: createResource(timers),
    cores,
    mbps,
  })
  const instances = new Map(
    urls.map((url) => {
      const host = createHost(options.controlCores, options.controlMbps)
      return [url, { source: createSource(url, host), host }]
    }),
  )
  const runTask = (host: Host, ms: number) => {
    const factor = WARM_UP_FACTORS[host.tasksDone] ?? 1
    host.tasksDone += 1
    return host.processor.use((ms * factor) / host.cores)
  }
  const transfer = (host: Host, bytes: number) =>
    host.link.use((bytes * BITS_PER_BYTE) / (host.mbps * BITS_PER_MS_AND_MBPS))

  const answerAt = (
    source: FeedSource,
    path: string,
    requestText: string,
    response: ServerResponse,
  ) =>
    path === TABLE_PATH
      ? tableSource.answer(JSON.parse(requestText) as TableRequest, response)
      : source.answer(JSON.parse(requestText) as FeedRequest, response)
  const sendOver = async (
    router: Host,
    { origin: url, pathname }: URL,
    json: unknown,
    response: ServerResponse,
  ) => {
    const { source, host } = instances.get(url) as { source: FeedSource; host: Host }
    const requestText = JSON.stringify(json)
    await waitWhileSuspended(router)
    if (ended.has(url)) throw new ConnectionError('connection refused', true, true)
    await transfer(router, requestText.length)
    await new Promise<void>((resolve) => timers.after(NETWORK_DELAY_MS).subscribe(() => resolve()))
    await runTask(host, REQUEST_MS + requestText.length * READ_MS_PER_BYTE)
    if (url === leaderUrl) leaderRequests += 1
    const reply = JSON.stringify(await answerAt(source, pathname, requestText, response))
    // The reply is built even if the caller has aborted, but not sent.
    await runTask(host, REQUEST_MS + reply.length * WRITE_MS_PER_BYTE)
    if (url === leaderUrl) longestLagMs = Math.max(longestLagMs, host.processor.backlogMs())
    if (response.destroyed) throw new Error('the caller has aborted the request')
    if (ended.has(url)) throw new ConnectionError('connection reset', false, true)
    if (url === leaderUrl) replyBytes += reply.length
    await transfer(host, reply.length)
    await transfer(router, reply.length)
    await waitWhileSuspended(router)
    await runTask(router, REQUEST_MS + reply.length * READ_MS_PER_BYTE)
    return JSON.parse(reply) as never
  }
  const createClient = (router: Host): HttpClient => ({
    send: () => Promise.reject(new Error('the simulation has no raw requests')),
    sendJson: ({ url, json, signal }) =>
      new Promise((resolve, reject) => {
        const response = new EventEmitter() as ServerResponse
        const abort = () => {
          response.destroyed = true
          response.emit('close')
          reject(new ConnectionError('the caller aborted the request', false, true))
        }
        if (signal?.aborted) return abort()
        signal?.addEventListener('abort', abort, { once: true })
        void sendOver(router, new URL(url), json, response).then(resolve, reject)
      }),
    close: () => {},
  })

  timers.after(options.electedAt).subscribe(() => {
    void instances.get(leaderUrl)?.host.processor.use(options.listingMs)
  })
  const tableMs: (number | undefined)[] = []
  const accepted = new Map<number, AcceptedTable>()
  const cachedParts: number[] = []
  const departureMs: (number | undefined)[] = []
  let departure: { readonly at: number; readonly ids: readonly BackendServerId[] } | undefined
  const hosts: Host[] = []
  const followers = Array.from({ length: options.routers }, (_, index) => {
    const host = createHost(options.routerCores, options.routerMbps)
    hosts.push(host)
    cachedParts.push(0)
    departureMs.push(undefined)
    tableMs.push(undefined)
    const follower = createFeedClient({
      router: `router-${index}`,
      seeds: () => urls.slice(0, 3),
      client: createClient(host),
      timers,
      random: createRandomSource(index + 1),
      logger: createLogger({ write: (line) => void lines.push(line) }),
      decodeTable: (document) => {
        const { version } = JSON.parse(document) as { version: number }
        return { routes: [], groups: [], stores: [], version } as unknown as RoutingTable
      },
      listLoads: () => ({}),
      takePlacements: () => [],
      onPlacements: () => {},
      blame: createCrashReportBuffer(timers),
      onSuspects: () => {},
      onTrial: () => {},
      parts: NO_PARTS,
      limits: NO_LIMITS,
      quotas: NO_QUOTAS,
      onCacheChanges: (placements) => {
        for (const [, , ...pairs] of placements) cachedParts[index] += pairs.length / 2
      },
    })
    follower.changes.subscribe(({ index: { table }, servers }) => {
      if (departure?.ids.every((id) => servers.get(id)?.phase === 'draining'))
        departureMs[index] ??= timers.now() - departure.at
      tableMs[index] ??= timers.now() - options.electedAt
      for (const [version, { acceptedAt, propagationMs }] of accepted) {
        if (table.version >= version) propagationMs[index] ??= timers.now() - acceptedAt
      }
    })
    return follower
  })
  const settle = async () => {
    for (let turn = 0; turn < TURNS_PER_STEP; turn += 1) {
      await new Promise((resolve) => setImmediate(resolve))
    }
  }
  const run: FeedSimulation['run'] = async (duration) => {
    for (let spent = 0; spent < duration; spent += STEP_MS) {
      timers.advance(STEP_MS)
      await settle()
    }
  }
  return {
    followers,
    timers,
    tableMs,
    cachedParts,
    logLines: lines,
    longestLagMs: () => longestLagMs,
    countLeaderRequests: () => leaderRequests,
    putTable: (version, routes) => {
      const propagationMs = followers.map(() => undefined)
      accepted.set(version, { acceptedAt: timers.now(), propagationMs })
      machine.apply(
        { kind: 'table.put', version, document: buildDocument(version, routes) },
        version,
      )
    },
    departEngines: (count) => {
      const ids = machine.servers
        .list()
        .slice(0, count)
        .map(({ id }) => id)
      departure = { at: timers.now(), ids }
      for (const id of ids) machine.apply({ kind: 'server.retire', id, phase: 'draining' }, 1)
    },
    departureMs,
    loseLeader: (downMs) => {
      ended.add(leaderUrl)
      leaderUrl = urls[INSTANCES - 2]
      term += 1
      electedAt = timers.now() + downMs
      void instances.get(leaderUrl)?.host.processor.use(options.listingMs)
    },
    suspendRouters: (count, ms) => {
      for (const host of hosts.slice(0, count)) suspendedUntil.set(host, timers.now() + ms)
    },
    countReplyBytes: () => replyBytes,
    listPropagationMs: (version) => accepted.get(version)?.propagationMs ?? [],
    run,
    close: async () => {
      const closed = Promise.all(followers.map((follower) => follower.close()))
      await run(10_000)
      await closed
    },
  }
}
