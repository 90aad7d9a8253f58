/**
 * Routers that all start at once, in virtual time: real followers and real sources of the feed on a
 * stand-in network, whose links carry so many bytes and whose processors do so much work.
 */
import {
  ConnectionError,
  createLogger,
  createManualTimerService,
  createQuietLogger,
  createRandomSource,
  createTurnQueue,
  toServerName,
  type HttpClient,
  type ManualTimerService,
} from '@spoolgate/core'
import { formatCacheScope, type RoutingTable } from '@spoolgate/routing'
import { EventEmitter } from 'node:events'
import type { ServerResponse } from 'node:http'
import { NEVER } from 'rxjs'
import { TABLE_PATH, type FeedRequest } from '../registry/feed.js'
import { createCrashReportBuffer } from '../quarantine/crashReportBuffer.js'
import { createQuarantineCoordinator } from '../quarantine/quarantineCoordinator.js'
import { createFeedFollower, type FeedFollower } from '../registry/feedFollower.js'
import { createFeedSource, type FeedSource } from '../registry/feedSource.js'
import { createTableSource, type TableRequest } from '../registry/tableSource.js'
import { createTableHistory } from '../table/tableHistory.js'
import { createKeptParts } from '../registry/keptParts.js'
import type { RaftMember } from '../raft/types.js'
import { createControlMachine } from '../state/controlMachine.js'
import { buildServerIdentity } from '../state/serverState.js'
import { createUnlimitedQuotaBuckets, NO_LIMITS, NO_QUOTAS } from './routerRecordStubs.js'

/** What starts, and on what. */
export interface HerdOptions {
  readonly routers: number
  readonly engines: number
  /** Prompt parts that each engine keeps. */
  readonly partsPerEngine: number
  /** Share of a core, and link, of a control instance. */
  readonly controlCores: number
  readonly controlMbps: number
  /** The same of a router. */
  readonly routerCores: number
  readonly routerMbps: number
  /** Ms after the start of the routers at which a leader is elected; it leads from then on. */
  readonly electedAt: number
  /** Ms for which the leader is busy from then on with the lists of what engines keep. */
  readonly listingMs: number
}

/** A herd. */
export interface Herd {
  readonly followers: readonly FeedFollower[]
  readonly timers: ManualTimerService
  /** By router, ms from the election to its first table; undefined for none yet. */
  readonly tableMs: readonly (number | undefined)[]
  /** By router, parts that were reported to it. */
  readonly keptParts: readonly number[]
  /** What the routers have logged. */
  readonly lines: readonly string[]
  /** Longest time that the work of the leader was late, in ms: its heartbeats wait as long. */
  longestLagMs(): number
  /** Requests that reached the leader. */
  asks(): number
  /** Puts a table with so many routes; control accepts it at once. */
  putTable(version: number, routes: number): void
  /** By router, ms from the acceptance of a version until the router had it, or a newer one. */
  listAges(version: number): readonly (number | undefined)[]
  run(duration: number): Promise<void>
  close(): Promise<void>
}

const TERM = 3
const INSTANCES = 6
const STEP_MS = 5
/** Turns of this process's event loop in one step, so that promises that are due settle. */
const TURNS_PER_STEP = 4
/** One way between data halls, in ms. */
const DELAY_MS = 1
/** Work of a request beside its bytes, in ms of a whole core; as docs/CAPACITY.md reckons. */
const REQUEST_MS = 0.25
/** Writing and reading of JSON, in ms of a whole core for a byte: measured on replies of 120 to 270 KB. */
const WRITE_MS_PER_BYTE = 1e-5
const READ_MS_PER_BYTE = 7e-6
/**
 * The first pieces of work of a process that has just started take longer: writing a reply of 140 KB
 * took 2.2, 1.7 and from then on 0.8 ms.
 */
const COLD_FACTORS = [2.8, 2.1]
const BITS_PER_BYTE = 8
const BITS_PER_MS_AND_MBPS = 1_000
const ROUTES = 44
const HOSTS = 80
const NAMES_PER_ROUTE = 2
const RULE_BYTES = 180
const TEAMS = 140

/** Something that does one thing after the other. */
interface Resource {
  /** Waits until `ms` of it were spent, after all that was asked for before. */
  use(ms: number): Promise<void>
  /** Ms of work that wait. */
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

/** A version that was put, with when each router had it. */
interface AcceptedTable {
  readonly acceptedAt: number
  readonly ages: (number | undefined)[]
}

interface Place {
  readonly processor: Resource
  /** Pieces of work done so far. */
  workDone: number
  readonly link: Resource
  readonly cores: number
  readonly mbps: number
}

/** A routing table; with {@link ROUTES} it has the size that the users' sites have, about 30 KB. */
export function buildDocument(version: number, routeCount: number): string {
  const random = createRandomSource(routeCount)
  const routes = Array.from({ length: routeCount }, (_, index) => ({
    name: `r-${index}`,
    host: `host${index % HOSTS}.example`,
    prefix: `/prefix${index}/a/b/`,
    // As names are, no two alike: a table shrinks to a twelfth, and not to nothing.
    names: Array.from({ length: NAMES_PER_ROUTE }, () => random.next().toString(36).slice(2, 10)),
    rules: 'x'.repeat(RULE_BYTES),
  }))
  const teams = Array.from({ length: TEAMS }, (_, index) => ({
    name: `team${index}`,
    keys: ['k'.repeat(20), 'l'.repeat(20)],
  }))
  return JSON.stringify({ version, routes, teams })
}

function createMachine(engines: number) {
  const machine = createControlMachine()
  machine.apply({ kind: 'table.put', version: 7, document: buildDocument(7, ROUTES) }, 1)
  for (let index = 0; index < engines; index += 1) {
    const server = {
      ...buildServerIdentity(toServerName(`i-${1e9 + index}`), undefined),
      group: 'models',
      address: `10.0.${index}.9:8080`,
      hall: 'hall',
      phase: 'ready' as const,
      slots: 24,
      weights: [{ model: 'model', version: 4 }],
    }
    machine.apply({ kind: 'server.observe', server }, index + 2)
  }
  return machine
}

function createKept({ engines, partsPerEngine }: HerdOptions) {
  const kept = createKeptParts()
  const scope = formatCacheScope(undefined, 4)
  for (let index = 0; index < engines; index += 1) {
    const place = { kind: 'engine', id: `i-${1e9 + index}`, address: 'a' } as const
    const parts = Array.from({ length: partsPerEngine }, (_, part) => ({
      scope,
      id: `${index}/${part}`,
      tokens: 1_000 + part,
    }))
    kept.apply(place, parts)
  }
  return kept
}

/** Starts a herd whose routers know the first three control instances. */
export function createHerd(options: HerdOptions): Herd {
  const timers = createManualTimerService()
  const machine = createMachine(options.engines)
  const kept = createKept(options)
  const urls = Array.from({ length: INSTANCES }, (_, index) => `http://control-${index}`)
  const leaderUrl = urls[INSTANCES - 1]
  const isElected = () => timers.now() >= options.electedAt
  const lines: string[] = []
  let asks = 0
  let longestLagMs = 0

  const createMember = (url: string) =>
    ({
      status: () => ({
        role: url === leaderUrl && isElected() ? 'leader' : 'follower',
        term: isElected() ? TERM : TERM - 1,
        leader: isElected() ? leaderUrl : undefined,
        leaderUrl: isElected() ? leaderUrl : undefined,
        members: Object.fromEntries(urls.map((each) => [each, { url: each, kind: 'voter' }])),
      }),
      isCurrent: () => true,
      checkCurrent: () => {},
    }) as unknown as RaftMember
  /** A turn of an event loop lasts as long as the work that was begun in it. */
  const createTurns = ({ processor }: Place) =>
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
  const createSource = (url: string, place: Place): FeedSource =>
    createFeedSource({
      member: createMember(url),
      blame: createQuarantineCoordinator({
        member: createMember(url),
        quarantine: machine.quarantine,
        timers,
        logger: createQuietLogger(),
      }),
      machine,
      timers,
      quotas: createUnlimitedQuotaBuckets(timers),
      tables,
      findConditions: () => ({ loading: [], expired: [], silent: [], stores: [] }),
      conditionChanges: NEVER,
      kept,
      waitForKept: async () => {},
      stopping: NEVER,
      turns: createTurns(place),
    })
  const createPlace = (cores: number, mbps: number): Place => ({
    processor: createResource(timers),
    workDone: 0,
    link: createResource(timers),
    cores,
    mbps,
  })
  const instances = new Map(
    urls.map((url) => {
      const place = createPlace(options.controlCores, options.controlMbps)
      return [url, { source: createSource(url, place), place }]
    }),
  )
  const work = (place: Place, ms: number) => {
    const factor = COLD_FACTORS[place.workDone] ?? 1
    place.workDone += 1
    return place.processor.use((ms * factor) / place.cores)
  }
  const carry = (place: Place, bytes: number) =>
    place.link.use((bytes * BITS_PER_BYTE) / (place.mbps * BITS_PER_MS_AND_MBPS))

  const answerAt = (source: FeedSource, path: string, asked: string, response: ServerResponse) =>
    path === TABLE_PATH
      ? tableSource.answer(JSON.parse(asked) as TableRequest, response)
      : source.answer(JSON.parse(asked) as FeedRequest, response)
  const sendOver = async (
    router: Place,
    { origin: url, pathname }: URL,
    json: unknown,
    response: ServerResponse,
  ) => {
    const { source, place } = instances.get(url) as { source: FeedSource; place: Place }
    const asked = JSON.stringify(json)
    await carry(router, asked.length)
    await new Promise<void>((resolve) => timers.after(DELAY_MS).subscribe(() => resolve()))
    await work(place, REQUEST_MS + asked.length * READ_MS_PER_BYTE)
    if (url === leaderUrl) asks += 1
    const reply = JSON.stringify(await answerAt(source, pathname, asked, response))
    // What the caller no longer waits for was built all the same, but is not sent.
    await work(place, REQUEST_MS + reply.length * WRITE_MS_PER_BYTE)
    if (url === leaderUrl) longestLagMs = Math.max(longestLagMs, place.processor.backlogMs())
    if (response.destroyed) throw new Error('the caller has gone')
    await carry(place, reply.length)
    await carry(router, reply.length)
    await work(router, REQUEST_MS + reply.length * READ_MS_PER_BYTE)
    return JSON.parse(reply) as never
  }
  const createClient = (router: Place): HttpClient => ({
    send: () => Promise.reject(new Error('not used here')),
    sendJson: ({ url, json, signal }) =>
      new Promise((resolve, reject) => {
        const response = new EventEmitter() as ServerResponse
        const leave = () => {
          response.destroyed = true
          response.emit('close')
          reject(new ConnectionError('gave up', false, true))
        }
        if (signal?.aborted) return leave()
        signal?.addEventListener('abort', leave, { once: true })
        void sendOver(router, new URL(url), json, response).then(resolve, reject)
      }),
    close: () => {},
  })

  timers.after(options.electedAt).subscribe(() => {
    void instances.get(leaderUrl)?.place.processor.use(options.listingMs)
  })
  const tableMs: (number | undefined)[] = []
  const accepted = new Map<number, AcceptedTable>()
  const keptParts: number[] = []
  const followers = Array.from({ length: options.routers }, (_, index) => {
    const place = createPlace(options.routerCores, options.routerMbps)
    keptParts.push(0)
    tableMs.push(undefined)
    const follower = createFeedFollower({
      router: `router-${index}`,
      seeds: () => urls.slice(0, 3),
      client: createClient(place),
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
      limits: NO_LIMITS,
      quotas: NO_QUOTAS,
      onKept: (placements) => {
        for (const [, , ...pairs] of placements) keptParts[index] += pairs.length / 2
      },
    })
    follower.changes.subscribe(({ index: { table } }) => {
      tableMs[index] ??= timers.now() - options.electedAt
      for (const [version, { acceptedAt, ages }] of accepted) {
        if (table.version >= version) ages[index] ??= timers.now() - acceptedAt
      }
    })
    return follower
  })
  const settle = async () => {
    for (let turn = 0; turn < TURNS_PER_STEP; turn += 1) {
      await new Promise((resolve) => setImmediate(resolve))
    }
  }
  const run: Herd['run'] = async (duration) => {
    for (let spent = 0; spent < duration; spent += STEP_MS) {
      timers.advance(STEP_MS)
      await settle()
    }
  }
  return {
    followers,
    timers,
    tableMs,
    keptParts,
    lines,
    longestLagMs: () => longestLagMs,
    asks: () => asks,
    putTable: (version, routes) => {
      const ages = followers.map(() => undefined)
      accepted.set(version, { acceptedAt: timers.now(), ages })
      machine.apply(
        { kind: 'table.put', version, document: buildDocument(version, routes) },
        version,
      )
    },
    listAges: (version) => accepted.get(version)?.ages ?? [],
    run,
    close: async () => {
      const closed = Promise.all(followers.map((follower) => follower.close()))
      await run(10_000)
      await closed
    },
  }
}
