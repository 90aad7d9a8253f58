/**
 * Speeds of backend servers, estimated from the calls of this router and from what the leader merged of all routers.
 * The group's figure is the time per unit of work over all its servers: per prompt token of an engine, or per request
 * of a plain service. Each server has a ratio to it.
 */
import type { BackendServerId } from '@spoolgate/core'
import { createSpeedEstimate, type SpeedEstimate, type SpeedSample } from '@spoolgate/routing'
import { LRUCache } from 'lru-cache'

/** A prefill, as observed from the send to the first chunk of the response. */
export interface PrefillSample {
  readonly group: string
  readonly server: BackendServerId
  /** Prompt tokens of the call that the server had to prefill. */
  readonly ownTokens: number
  /** Prompt tokens of other calls that were pending there at the send. */
  readonly aheadTokens: number
  /** Time from the send to the first chunk without the part that does not depend on the prefill rate, in ms. */
  readonly prefillMs: number
  /** When the first chunk arrived, in ms of the monotonic clock. */
  readonly at: number
}

/** A complete response of a plain service. */
export interface PlainSample {
  readonly group: string
  readonly server: BackendServerId
  readonly ms: number
  readonly at: number
}

/** See {@link createServerSpeeds}. All times are in ms of the monotonic clock. */
export interface ServerSpeeds {
  recordPrefill(sample: PrefillSample): void
  recordPlainRequest(sample: PlainSample): void
  /** Finds the prompt tokens that an engine prefills per ms. */
  findTokensPerMs(group: string, server: BackendServerId, now: number): number
  /** Finds the prompt tokens that an engine of average speed prefills per ms. */
  findGroupTokensPerMs(group: string): number
  /** Finds the time of one request at a plain service, in ms. */
  findPlainMs(group: string, server: BackendServerId, now: number): number
  /** Finds the speed of a server as a ratio to its group. */
  findRatio(server: BackendServerId, now: number): number
  /**
   * Finds the ratio in steps of a quarter. Routers whose estimates differ slightly then agree, and noise does not move
   * prompts to other engines.
   */
  findCapacity(server: BackendServerId, now: number): number
  /** Replaces the estimate of a server by the one that the leader merged of all routers. */
  adopt(server: BackendServerId, slowness: number, weight: number): void
}

/** Options of {@link createServerSpeeds}. */
export interface ServerSpeedsOptions {
  /** Called with each sample, relative to the group. */
  readonly onSample?: (server: BackendServerId, sample: SpeedSample) => void
}

/** Minimum number of own tokens in a sample; with fewer, engine steps dominate the time to the first chunk. */
const MIN_PREFILL_TOKENS = 500
/** Prefill rate assumed until there are samples; engines prefill from tens to hundreds of tokens per ms. */
const INITIAL_TOKENS_PER_MS = 50
/** Time of a plain request assumed until there are samples, in ms. */
const INITIAL_PLAIN_MS = 50
/** Weight of the initial figure of a group, in prompt tokens. */
const INITIAL_WEIGHT = 2_000
/** Weight of a plain request, in prompt tokens: three of them outweigh the initial figure. */
const PLAIN_WEIGHT = 2_000
/** Minimum weight of a sample; lighter ones mostly measure the calls ahead. */
const MIN_SAMPLE_WEIGHT = 200
/** Time constant of the group's figure, in ms. */
const GROUP_AVERAGING_MS = 20_000
/** Bounds of the ratio of a server to its group. */
const MAX_RATIO = 10
/** Ratio between two steps of the capacity; noise of the estimates is smaller. */
const CAPACITY_STEP = 1.25
/** Server incarnations that are tracked: several times the servers of a large fleet. */
const MAX_SERVERS = 5_000

/** Average time per unit of work in a group. */
interface GroupFigure {
  add(msPerUnit: number, weight: number, at: number): void
  msPerUnit(): number
}

/** Creates a weighted average that older samples leave with a time constant. */
function createGroupFigure(initialMs: number): GroupFigure {
  let figure = { msPerUnit: initialMs, weight: INITIAL_WEIGHT, at: -Infinity }
  return {
    add: (msPerUnit, weight, at) => {
      const ageMs = figure.at === -Infinity ? 0 : Math.max(0, at - figure.at)
      const previous = figure.weight * Math.exp(-ageMs / GROUP_AVERAGING_MS)
      const total = previous + weight
      figure = {
        msPerUnit: (figure.msPerUnit * previous + msPerUnit * weight) / total,
        weight: total,
        at: Math.max(figure.at, at),
      }
    },
    msPerUnit: () => figure.msPerUnit,
  }
}

function createFigures(initialMs: number) {
  const figures = new Map<string, GroupFigure>()
  return (group: string): GroupFigure => {
    const figure = figures.get(group) ?? createGroupFigure(initialMs)
    figures.set(group, figure)
    return figure
  }
}

/** Creates speeds without samples: every server has the speed of its group. */
export function createServerSpeeds({ onSample }: ServerSpeedsOptions = {}): ServerSpeeds {
  const findPrefillFigure = createFigures(1 / INITIAL_TOKENS_PER_MS)
  const findPlainFigure = createFigures(INITIAL_PLAIN_MS)
  const estimates = new LRUCache<BackendServerId, SpeedEstimate>({ max: MAX_SERVERS })

  const findEstimate = (server: BackendServerId) => {
    const estimate = estimates.get(server) ?? createSpeedEstimate()
    estimates.set(server, estimate)
    return estimate
  }
  const recordSample = (
    figure: GroupFigure,
    server: BackendServerId,
    msPerUnit: number,
    weight: number,
    at: number,
  ) => {
    figure.add(msPerUnit, weight, at)
    const sample = { slowness: msPerUnit / figure.msPerUnit(), weight, at }
    findEstimate(server).record(sample)
    onSample?.(server, sample)
  }
  const findSlowness = (server: BackendServerId, now: number) => {
    const slowness = estimates.get(server)?.findSlowness(now) ?? 1
    return Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, slowness))
  }
  return {
    recordPrefill: ({ group, server, ownTokens, aheadTokens, prefillMs, at }) => {
      const workTokens = ownTokens + aheadTokens
      // Urgent requests pass those ahead of them in the engine's queue, so a sample counts less the more are ahead.
      const weight = (ownTokens * ownTokens) / workTokens
      if (ownTokens < MIN_PREFILL_TOKENS || weight < MIN_SAMPLE_WEIGHT || prefillMs <= 0) return
      recordSample(findPrefillFigure(group), server, prefillMs / workTokens, weight, at)
    },
    recordPlainRequest: ({ group, server, ms, at }) => {
      if (ms > 0) recordSample(findPlainFigure(group), server, ms, PLAIN_WEIGHT, at)
    },
    findTokensPerMs: (group, server, now) =>
      1 / (findPrefillFigure(group).msPerUnit() * findSlowness(server, now)),
    findGroupTokensPerMs: (group) => 1 / findPrefillFigure(group).msPerUnit(),
    findPlainMs: (group, server, now) =>
      findPlainFigure(group).msPerUnit() * findSlowness(server, now),
    adopt: (server, slowness, weight) => findEstimate(server).adopt(slowness, weight),
    findRatio: (server, now) => 1 / findSlowness(server, now),
    findCapacity: (server, now) => {
      const steps = Math.round(-Math.log(findSlowness(server, now)) / Math.log(CAPACITY_STEP))
      return CAPACITY_STEP ** steps
    },
  }
}
