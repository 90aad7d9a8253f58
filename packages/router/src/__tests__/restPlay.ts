/**
 * Servers that turn requests away and ask for rest, in virtual time and without a network: the real choice and the real
 * words of routers, on stand-in servers that shed in turn.
 */
import {
  buildServerIdentity,
  createLoadSum,
  type FleetView,
  type RegisteredServer,
} from '@spoolgate/control'
import {
  createManualTimerService,
  createRandomSource,
  toServerName,
  type BackendServerId,
} from '@spoolgate/core'
import { createBackpressure, type Backpressure, type ServerGroup } from '@spoolgate/routing'
import { addRests } from '../direct/answerWords.js'
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
  /** After this time, and so on, a part sheds; in every second turn nobody does. */
  readonly turnMs: number
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
  /** Largest share that a server got of the requests of the second after its last rest, over the even one. */
  readonly largestShare: number
}

/** Time within which a router must have heard a word, in ms. */
const HEARD_MS = 500
const ANSWER_MS = 5
const WORK_MS = 100
const STEP_MS = 5
const MAX_SENDS = 2
const POLL_MS = 100
const POLL_MS_PER_ROUTER = 2
const ROUTER_LIFE_MS = 3_000
const BOUNDS = { ratio: 0.2, slack: 40, windowMs: 10_000 }
const GROUP: ServerGroup = { name: 'g' } as ServerGroup
const WEIGHTS = [{ model: 'm', version: 1 }]
/** Shares nothing with other requests. */
const PROMPT = {
  model: 'm',
  parts: [{ id: 'own', tokens: 500 }],
  promptTokens: 500,
  maxTokens: 20,
}

interface PlayedRouter {
  readonly name: string
  /** The fleet with what the leader last told of the others. */
  view: FleetView
  readonly parts: ChoiceParts & {
    readonly backpressure: Backpressure
    readonly retries: RetryShare
  }
  /** Rests that were asked of it, and requests that it sent in each. */
  readonly rests: { server: BackendServerId; from: number; until: number; sends: number }[]
}

function createServer(_: unknown, index: number): RegisteredServer {
  const name = toServerName(`s${index}`)
  const facts = { group: 'g', address: `${name}:1`, hall: 'h', slots: 4, weights: WEIGHTS }
  return { ...buildServerIdentity(name, 1), ...facts, phase: 'ready' }
}

/** Plays a load and tells what became of it. */
export async function runRestPlay(options: RestPlayOptions): Promise<RestPlayResult> {
  const { routers: routerCount, servers: serverCount, sheddingPart, restMs, turnMs, seed } = options
  const timers = createManualTimerService()
  const random = createRandomSource(seed)
  const servers = Array.from({ length: serverCount }, createServer)
  const view = {
    servers: new Map(servers.map((server) => [server.id, server])),
    expired: new Set(),
    silent: new Set(),
    loading: new Set(),
    loads: {},
    weights: {},
    weightsSince: {},
    stores: [],
    index: { table: { stores: [] } },
  } as unknown as FleetView
  const leader = createLoadSum({ timers, routerLifeMs: ROUTER_LIFE_MS })
  const createRouter = (_: unknown, index: number): PlayedRouter => ({
    name: `r${index}`,
    view,
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
  const turnAt = (at: number) => Math.floor(at / turnMs)
  const isShedding = (index: number) => {
    const turn = turnAt(timers.now())
    const first = (Math.floor(turn / 2) * shedding) % serverCount
    return turn % 2 === 1 && (index - first + serverCount) % serverCount < shedding
  }
  let sent = 0
  let answered = 0
  const sends: { server: BackendServerId; at: number }[] = []

  const countSend = ({ rests }: PlayedRouter, server: BackendServerId) => {
    const now = timers.now()
    for (const rest of rests) {
      const isIn = rest.server === server && now >= rest.from + HEARD_MS && now < rest.until
      if (isIn) rest.sends += 1
    }
    sends.push({ server, at: now })
  }
  const send = (router: PlayedRouter, turn: number, excluded: Set<BackendServerId>): void => {
    const { parts } = router
    const now = timers.now()
    const [best] = rankServers(parts, {
      view: router.view,
      group: GROUP,
      prompt: PROMPT,
      formatScope: () => '',
      excluded,
      hall: 'h',
      now,
    })
    if (!best) return
    const { id } = best.server
    const ticket = parts.board.open(id, best.unreadTokens)
    parts.backpressure.recordSend(id, now)
    countSend(router, id)
    if (turn === 0) parts.retries.recordFirst('g')
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
      if (turn + 1 < MAX_SENDS && parts.retries.take('g')) send(router, turn + 1, excluded)
    })
  }
  const poll = (router: PlayedRouter) => {
    const { board, backpressure } = router.parts
    leader.record(router.name, addRests(board.listLoads(), backpressure.listResting(timers.now())))
    router.view = { ...view, loads: leader.sumOthers(router.name) }
    const periodMs = Math.max(POLL_MS, routerCount * POLL_MS_PER_ROUTER)
    timers.after(periodMs * (0.5 + random.next())).subscribe(() => poll(router))
  }
  for (const router of routers) poll(router)
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
  /** Share of a server in the second after the last rest that it asked for, over the even one. */
  const findShare = ({ id }: RegisteredServer) => {
    const endedAt = Math.max(0, ...rests.filter((one) => one.server === id).map((one) => one.until))
    if (endedAt === 0 || endedAt + 1_000 > endsAt) return 0
    const inSecond = sends.filter(({ at }) => at >= endedAt && at < endedAt + 1_000)
    return (inSecond.filter(({ server }) => server === id).length * serverCount) / inSecond.length
  }
  return {
    sent,
    answered,
    rests: rests.length,
    mostInRest: Math.max(0, ...rests.map(({ sends }) => sends)),
    largestShare: Math.max(...servers.map(findShare)),
  }
}
