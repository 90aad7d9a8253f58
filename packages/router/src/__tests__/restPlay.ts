/**
 * Servers that turn requests away and ask for rest, in virtual time and without a network: the real choice and the real
 * words of routers, on stand-in servers that shed in turn.
 */
import { buildServerIdentity, type FleetView, type RegisteredServer } from '@spoolgate/control'
import {
  createManualTimerService,
  createRandomSource,
  toServerName,
  type BackendServerId,
} from '@spoolgate/core'
import { createBackpressure, type Backpressure, type ServerGroup } from '@spoolgate/routing'
import { rankServers, type ChoiceParts } from '../direct/choice.js'
import { createPartMemory } from '../direct/partMemory.js'
import { createRetryShare, type RetryShare } from '../direct/retryShare.js'
import { createServerBoard } from '../direct/serverBoard.js'
import { createWorkSplit } from '../direct/workSplit.js'
import { createWorkTimes } from '../direct/workTimes.js'

/** What is played. */
export interface RestPlayOptions {
  readonly routers: number
  readonly servers: number
  readonly requestsPerSecond: number
  /** Part of the servers that shed at a time; then as many others do. */
  readonly sheddingPart: number
  /** How long they ask to be left alone, in ms. */
  readonly restMs: number
  readonly durationMs: number
  readonly seed: number
}

/** What a play showed. */
export interface RestPlayResult {
  readonly sent: number
  readonly answered: number
  /** Rests that were asked of one router each. */
  readonly rests: number
  /** Most requests of one router within one rest, from {@link HEARD_MS} on. */
  readonly mostInRest: number
  /** Largest part of the requests of a second after rests that one server of those got, over the even part. */
  readonly largestShare: number
}

/** Time within which a router must have heard a word, in ms. */
const HEARD_MS = 500
const ANSWER_MS = 5
const WORK_MS = 100
/** Time for which a part of the servers sheds before others do, in ms. */
const TURN_MS = 4_000
const STEP_MS = 5
const MAX_SENDS = 2
const BOUNDS = { ratio: 0.2, slack: 40, windowMs: 10_000 }
const GROUP: ServerGroup = { name: 'g' } as ServerGroup

interface PlayedRouter {
  readonly parts: ChoiceParts & {
    readonly backpressure: Backpressure
    readonly retries: RetryShare
  }
  /** Rests that were asked of it, and requests that it sent in each. */
  readonly rests: { server: BackendServerId; from: number; until: number; sends: number }[]
}

function createServer(_: unknown, index: number): RegisteredServer {
  const name = toServerName(`s${index}`)
  const facts = { group: 'g', address: `${name}:1`, hall: 'h', slots: 4, weights: [] }
  return { ...buildServerIdentity(name, 1), ...facts, phase: 'ready' }
}

/** Plays a load and tells what became of it. */
export async function runRestPlay(options: RestPlayOptions): Promise<RestPlayResult> {
  const { routers: routerCount, servers: serverCount, sheddingPart, restMs, seed } = options
  const timers = createManualTimerService()
  const random = createRandomSource(seed)
  const servers = Array.from({ length: serverCount }, createServer)
  const view = {
    servers: new Map(servers.map((server) => [server.id, server])),
    expired: new Set(),
    silent: new Set(),
    loading: new Set(),
    loads: {},
    index: { table: { stores: [] } },
  } as unknown as FleetView
  const createRouter = (_: unknown, index: number): PlayedRouter => ({
    parts: {
      board: createServerBoard(timers),
      backpressure: createBackpressure(),
      memory: createPartMemory({ findCacheTokens: () => 0 }),
      liveness: { isDead: () => false } as never,
      random: createRandomSource(seed + index),
      split: createWorkSplit(timers),
      times: createWorkTimes(),
      retries: createRetryShare({ timers, bounds: BOUNDS, countRouters: () => routerCount }),
    },
    rests: [],
  })
  const routers = Array.from({ length: routerCount }, createRouter)
  const shedding = Math.round(serverCount * sheddingPart)
  const turnAt = (at: number) => Math.floor(at / TURN_MS)
  /** Every second turn is calm, so that the time after rests shows. */
  const isShedding = (index: number) => {
    const turn = turnAt(timers.now())
    const first = (turn * shedding) % serverCount
    return turn % 2 === 0 && (index - first + serverCount) % serverCount < shedding
  }
  let sent = 0
  let answered = 0
  /** Requests that each server got in the first second of a calm turn. */
  const afterRests = new Map<BackendServerId, number>()

  const countSend = ({ rests }: PlayedRouter, server: BackendServerId) => {
    const now = timers.now()
    for (const rest of rests) {
      const isIn = rest.server === server && now >= rest.from + HEARD_MS && now < rest.until
      if (isIn) rest.sends += 1
    }
    const restsEndedAt = (turnAt(now) - 1) * TURN_MS + TURN_MS
    if (turnAt(now) % 2 === 1 && now < restsEndedAt + 1_000) {
      afterRests.set(server, (afterRests.get(server) ?? 0) + 1)
    }
  }
  const send = (router: PlayedRouter, sends: number, excluded: Set<BackendServerId>): void => {
    const { parts } = router
    const now = timers.now()
    const [best] = rankServers(parts, {
      view,
      group: GROUP,
      prompt: undefined,
      formatScope: () => '',
      excluded,
      hall: 'h',
      now,
    })
    if (!best) return
    const { id } = best.server
    const ticket = parts.board.open(id, 0)
    parts.backpressure.recordSend(id, now)
    countSend(router, id)
    if (sends === 0) parts.retries.recordFirst('g')
    if (!isShedding(servers.indexOf(best.server))) {
      timers.after(WORK_MS * (0.5 + random.next())).subscribe(() => {
        ticket.finish('ok')
        answered += 1
      })
      return
    }
    timers.after(ANSWER_MS).subscribe(() => {
      ticket.finish('none')
      const from = timers.now()
      parts.backpressure.recordRest(id, restMs, from)
      router.rests.push({ server: id, from, until: from + restMs, sends: 0 })
      excluded.add(id)
      if (sends + 1 < MAX_SENDS && parts.retries.take('g')) send(router, sends + 1, excluded)
    })
  }
  const endsAt = options.durationMs
  const perStep = (options.requestsPerSecond * STEP_MS) / 1_000
  let due = 0
  for (let now = 0; now < endsAt; now += STEP_MS) {
    for (due += perStep; due >= 1; due -= 1) {
      sent += 1
      send(random.choose(routers), 0, new Set())
    }
    timers.advance(STEP_MS)
  }
  timers.advance(2 * WORK_MS)
  const rests = routers.flatMap((router) => router.rests)
  const calm = [...afterRests.values()]
  const even = calm.reduce((sum, count) => sum + count, 0) / serverCount
  return {
    sent,
    answered,
    rests: rests.length,
    mostInRest: Math.max(0, ...rests.map(({ sends }) => sends)),
    largestShare: calm.length === 0 ? 0 : Math.max(...calm) / even,
  }
}
