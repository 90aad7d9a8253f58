/** The leader's side of the feed to routers. */
import { SpoolgateError, type TimerService } from '@spoolgate/core'
import { firstValueFrom, fromEvent, merge, race, type Observable } from 'rxjs'
import type { ServerResponse } from 'node:http'
import type { RaftMember } from '../raft/types.js'
import type { ControlMachine } from '../state/controlMachine.js'
import {
  MAX_PLACEMENTS_PER_REPLY,
  type FeedReply,
  type FeedRequest,
  type KeptPlacement,
  type ServerConditions,
  type ServerLoad,
  type ServerLoads,
} from './feed.js'
import { createPlacementLog } from './placementLog.js'

/** Options of {@link createFeedSource}. */
export interface FeedSourceOptions {
  readonly member: RaftMember
  readonly machine: ControlMachine
  readonly timers: TimerService
  readonly findConditions: () => ServerConditions
  /** Emits when the conditions changed. */
  readonly conditionChanges: Observable<void>
  /** Lists all that engines and stores keep, for a router that knows nothing. */
  readonly listKept: () => KeptPlacement[]
  /** Waits until what engines and stores keep is known, for a little while. */
  readonly waitForKept: () => Promise<void>
  /** Emits when the instance stops: waiting polls are answered at once. */
  readonly stopping: Observable<unknown>
}

/** Answers polls; see {@link createFeedSource}. */
export interface FeedSource {
  /**
   * Waits for something new, or for the wait that the router asked for.
   * @throws SpoolgateError unless this instance leads and holds its lease.
   */
  answer(request: FeedRequest, response: ServerResponse): Promise<FeedReply>
  /** Notes what engines and stores keep now, for all routers. */
  addKept(placements: readonly KeptPlacement[]): void
  /** Sums up what all routers have in progress. */
  sumLoads(): ServerLoads
}

/** Time after which a router that does not ask is no longer counted, in ms; six polls. */
const ROUTER_LIFE_MS = 3_000
/** Longest wait that a router may ask for, in ms. */
const MAX_WAIT_MS = 1_000
/** Sender of what comes from no router. */
const NOBODY = 'nobody'

interface RouterView {
  readonly loads: ServerLoads
  readonly at: number
}

function addLoads(total: Map<string, ServerLoad>, loads: ServerLoads): void {
  for (const [server, { calls, promptTokens }] of Object.entries(loads)) {
    const sum = total.get(server) ?? { calls: 0, promptTokens: 0 }
    total.set(server, {
      calls: sum.calls + calls,
      promptTokens: sum.promptTokens + promptTokens,
    })
  }
}

/** Creates the source. */
export function createFeedSource(options: FeedSourceOptions): FeedSource {
  const { member, machine, timers } = options
  const routers = new Map<string, RouterView>()
  const placements = createPlacementLog()
  const kept = createPlacementLog()
  let placementsTerm: number | undefined
  let revision = 0
  const changes = merge(machine.fleetChanges, options.conditionChanges)
  changes.subscribe(() => {
    revision += 1
  })

  const listRouters = () => {
    const oldest = timers.now() - ROUTER_LIFE_MS
    for (const [name, { at }] of routers) if (at < oldest) routers.delete(name)
    return [...routers]
  }
  const sumOthers = (router: string | undefined): ServerLoads => {
    const total = new Map<string, ServerLoad>()
    for (const [name, { loads }] of listRouters()) if (name !== router) addLoads(total, loads)
    return Object.fromEntries(total)
  }
  /** A router that heard another leader last has heard nothing of this one's numbers. */
  const findSeen = (request: FeedRequest, field: 'placementsSeen' | 'keptSeen') =>
    request.term === member.status().term ? request[field] : 0
  const listKeptSince = (request: FeedRequest): KeptPlacement[] => {
    const seen = findSeen(request, 'keptSeen')
    const isTooMuch = seen === 0 || kept.last() - seen > MAX_PLACEMENTS_PER_REPLY
    return isTooMuch ? options.listKept() : kept.listSince(NOBODY, seen)
  }
  const addPlacements = (request: FeedRequest) => {
    const { term } = member.status()
    if (term !== placementsTerm) placements.reset()
    placementsTerm = term
    placements.add(request.router, request.placements)
  }
  const isNews = (request: FeedRequest) => {
    const isOtherTable = (machine.table.current()?.version ?? -1) !== request.tableVersion
    return isOtherTable || request.term !== member.status().term || request.revision !== revision
  }
  const waitForNews = async (waitMs: number, response: ServerResponse) => {
    const late = timers.after(Math.min(waitMs, MAX_WAIT_MS))
    const isOver = race(changes, late, fromEvent(response, 'close'), options.stopping)
    await firstValueFrom(isOver, { defaultValue: undefined })
  }
  const buildReply = (request: FeedRequest): FeedReply => {
    const { term, members } = member.status()
    const table = machine.table.current()
    const isOtherTable = table !== undefined && table.version > request.tableVersion
    const common = {
      term,
      revision,
      ...(isOtherTable ? { table } : {}),
      routers: listRouters().length,
      loads: sumOthers(request.router),
      placements: placements.listSince(request.router, findSeen(request, 'placementsSeen')),
      placementsSeen: placements.last(),
      kept: listKeptSince(request),
      keptSeen: kept.last(),
    }
    if (request.term === term && request.revision === revision) return common
    return {
      ...common,
      weights: machine.weights.list(),
      servers: machine.servers.list(),
      conditions: options.findConditions(),
      control: Object.values(members).map(({ url }) => url),
    }
  }
  const checkLeading = () => {
    const { role, leader, leaderUrl } = member.status()
    if (role !== 'leader') {
      throw new SpoolgateError('notLeader', 'ask the leader', { details: { leader, leaderUrl } })
    }
    member.checkCurrent()
  }
  return {
    answer: async (request, response) => {
      addPlacements(request)
      routers.set(request.router, { loads: request.loads, at: timers.now() })
      if (member.status().role === 'leader' && !isNews(request)) {
        await waitForNews(request.waitMs, response)
      }
      checkLeading()
      if (findSeen(request, 'keptSeen') === 0) {
        await options.waitForKept()
        checkLeading()
      }
      return buildReply(request)
    },
    addKept: (changes) => kept.add(NOBODY, changes),
    sumLoads: () => sumOthers(undefined),
  }
}
