/**
 * Ranks the backend servers of a group for a request on the direct path. A random sample of the servers and those
 * presumed to have the prompt cached come first, ordered by estimated cost. Routers learn of each other's calls with
 * a delay; sampling keeps them from all selecting the same server at once.
 */
import type { FleetView, RegisteredServer, ServerLoad } from '@spoolgate/control'
import type { BackendServerId, RandomSource } from '@spoolgate/core'
import type { ServerGroup } from '@spoolgate/routing'
import type { PromptInfo } from './protocols.js'
import type { LivenessMonitor } from './livenessMonitor.js'
import type { PrefixCacheIndex } from './prefixCacheIndex.js'
import type { ServerStats } from './serverStats.js'
import {
  isSendAllowed,
  checkServerAvailability,
  type AvailabilityParts,
} from './serverAvailability.js'
import type { EnginePartition } from './enginePartition.js'
import type { ServiceTimes } from './serviceTimes.js'
import { countSharedTokens, findPrefixLocations, type StoreTarget } from './prefixLocations.js'
import {
  estimateEngineCost,
  PLAIN_SERVICE_FIELDS,
  resolvePrefillRates,
  UNREACHABLE_MS,
} from './engineCost.js'
import type { WeightsExpiry } from './weightsExpiry.js'
import type { ServerSpeeds } from '../speeds/serverSpeeds.js'

/** Input of {@link rankServers}. */
export interface RankingInput {
  readonly view: FleetView
  readonly group: ServerGroup
  readonly prompt: PromptInfo | undefined
  /** Formats the cache scope of the request for a weights version. */
  readonly formatScope: (version: number) => string
  /** Servers to which this request must not be sent again. */
  readonly excluded: ReadonlySet<BackendServerId>
  readonly hall: string
  /** Current time in ms, on the monotonic clock of the timestamps in the view. */
  readonly now: number
  /** Latency target of the route, in ms; 0 or undefined for none. */
  readonly targetMs?: number
  /** Speeds of the servers of the group; undefined if they are not estimated. */
  readonly serverSpeeds?: ServerSpeeds
}

/** A ranked server, with the estimates behind its rank. */
export interface Candidate {
  readonly server: RegisteredServer
  /** Expected time to the first chunk of the response, or to the whole response of a plain service, in ms. */
  readonly expectedMs: number
  /** Expected time plus penalties, in ms; candidates are ranked by it. */
  readonly cost: number
  readonly matchedTokens: number
  /** Prompt tokens that it has to prefill itself: neither cached there nor fetched from elsewhere. */
  readonly uncachedTokens: number
  /** Address of a server or store from which to fetch shared prompt parts. */
  readonly fetchFrom: string | undefined
  /** Store to which the shared prompt parts should be saved. */
  readonly saveTo: StoreTarget | undefined
  /** Weights version that it serves; undefined for plain services. */
  readonly version: number | undefined
  /** When a newer version became the target, in ms of the monotonic clock; undefined for none. */
  readonly supersededAt: number | undefined
  /** Whether all routers prefer it for prompt parts that are not known to be cached anywhere. */
  readonly isPreferred: boolean
  /** Part of the expected time that does not depend on the prefill rate, in ms; 0 without estimated server speeds. */
  readonly overheadMs: number
  /** Prompt tokens of other calls that are pending at the server. */
  readonly aheadTokens: number
}

/** State that the ranking reads. */
export interface RankingContext extends AvailabilityParts {
  readonly serverStats: ServerStats
  readonly prefixCache: PrefixCacheIndex
  readonly liveness: LivenessMonitor
  readonly random: RandomSource
  readonly enginePartition: EnginePartition
  readonly serviceTimes: ServiceTimes
  readonly weightsExpiry: Pick<WeightsExpiry, 'isExpired' | 'isStartInTime'>
}

/** Cost of a server in another data hall, in ms: the round trip and the cost of the traffic. */
const OTHER_HALL_MS = 30
/**
 * Cost of a server that is loading weights, or where a request would begin after its weights expire, in ms; a cost of at
 * least this means that it cannot serve now.
 */
export const LOADING_MS = 5_000
/**
 * Cost of a server that asked other routers to back off, in ms. The backoff binds only those routers, but a
 * rejection of a request of this router would use up retry budget.
 */
const SHEDDING_MS = 1_000
/**
 * Minimum extra cost of an idle server while others of its group shed load, in ms: a server with calls in flight is
 * known to accept work. Up to twice that is drawn at random, so that routers do not all try the same one.
 */
const IDLE_WHILE_SHEDDING_MS = 100
/** Cost of a server that fails every request, in ms; scaled by its failure rate. */
const FAILING_MS = 400
/** Cost of a server that missed heartbeats, in ms; it may only be cut off from control. */
const MISSED_HEARTBEATS_MS = 400
/** Fraction of the servers that are sampled for one request, and their minimum number. */
const SAMPLED_RATIO = 0.34
const MIN_SAMPLED = 2
/**
 * The same fraction where server speeds are known. All routers then agree on the fastest servers and learn of each
 * other's calls with a delay; with a larger sample they send several long prompts to the same server at once.
 */
const SAMPLED_RATIO_WITH_SPEEDS = 0.12
/** Fraction of the shared tokens that a server must have cached to be selected in addition to the sample. */
const HOLDER_RATIO = 0.6

function addLoad(a: ServerLoad, b: ServerLoad | undefined): ServerLoad {
  return b ? { calls: a.calls + b.calls, promptTokens: a.promptTokens + b.promptTokens } : a
}

function isShedding({ loads }: FleetView, id: BackendServerId): boolean {
  return (loads[id]?.backoffs ?? 0) > 0
}

/** Estimates the penalties that do not depend on the prompt, in ms. */
function estimateServerPenalty(
  context: RankingContext,
  input: RankingInput,
  server: RegisteredServer,
): number {
  const { view, hall } = input
  let cost = 0
  if (server.hall !== hall) cost += OTHER_HALL_MS
  if (view.silent.has(server.id)) cost += MISSED_HEARTBEATS_MS
  if (view.loading.has(server.id)) cost += LOADING_MS
  if (isShedding(view, server.id)) cost += SHEDDING_MS
  if (context.liveness.isUnreachable(server.id)) cost += UNREACHABLE_MS
  cost += context.serverStats.findFailureRate(server.id) * FAILING_MS
  return cost
}

/** Creates the estimate of a request to a plain service. */
function createPlainEstimate(
  { serviceTimes }: RankingContext,
  { group, now, serverSpeeds }: RankingInput,
): (server: RegisteredServer, load: ServerLoad) => Omit<Candidate, 'server'> {
  if (serverSpeeds) {
    return ({ id }, { calls }) => {
      const requestMs = serverSpeeds.findPlainMs(group.name, id, now)
      // The request itself counts, so that of two idle servers the faster one comes first.
      return {
        ...PLAIN_SERVICE_FIELDS,
        expectedMs: calls * requestMs,
        cost: (calls + 1) * requestMs,
      }
    }
  }
  const requestMs = serviceTimes.findPlainRequestMs(group.name)
  return (_server, { calls }) => {
    const expectedMs = calls * requestMs
    return { ...PLAIN_SERVICE_FIELDS, expectedMs, cost: expectedMs }
  }
}

/** Moves candidates to the front that are sampled for this request, preferred for it or have its prompt cached. */
function rankSampledFirst(
  ranked: readonly Candidate[],
  sharedTokens: number,
  random: RandomSource,
  sampledRatio: number,
): Candidate[] {
  const sampleSize = Math.max(MIN_SAMPLED, Math.ceil(ranked.length * sampledRatio))
  const isHolder = ({ matchedTokens }: Candidate) =>
    matchedTokens > 0 && matchedTokens >= sharedTokens * HOLDER_RATIO
  const isSelected = (candidate: Candidate, remainingPicks: number, index: number) =>
    candidate.isPreferred ||
    isHolder(candidate) ||
    random.next() < remainingPicks / (ranked.length - index)
  const selected: Candidate[] = []
  const rest: Candidate[] = []
  for (const [index, candidate] of ranked.entries()) {
    const isFirst = isSelected(candidate, Math.max(0, sampleSize - selected.length), index)
    if (isFirst && candidate.cost < LOADING_MS) selected.push(candidate)
    else rest.push(candidate)
  }
  return [...selected, ...rest]
}

/** Moves servers first whose rate limit is due for a probe: only a response shows that it no longer applies. */
function rankProbesFirst(
  ranked: readonly Candidate[],
  isProbeDue: (id: BackendServerId) => boolean,
): Candidate[] {
  const isProbe = ({ server, cost }: Candidate) => cost < LOADING_MS && isProbeDue(server.id)
  return [...ranked.filter(isProbe), ...ranked.filter((candidate) => !isProbe(candidate))]
}

/** Builds a candidate with the final cost; all fields are named since spreading is slow for hundreds of servers. */
function buildCandidate(
  server: RegisteredServer,
  estimate: Omit<Candidate, 'server'>,
  cost: number,
): Candidate {
  return {
    server,
    expectedMs: estimate.expectedMs,
    cost,
    matchedTokens: estimate.matchedTokens,
    uncachedTokens: estimate.uncachedTokens,
    fetchFrom: estimate.fetchFrom,
    saveTo: estimate.saveTo,
    version: estimate.version,
    supersededAt: estimate.supersededAt,
    isPreferred: estimate.isPreferred,
    overheadMs: estimate.overheadMs,
    aheadTokens: estimate.aheadTokens,
  }
}

/** Ranks the servers of a group that may get the request, the best first. */
export function rankServers(context: RankingContext, input: RankingInput): Candidate[] {
  const { view, group, prompt, excluded, formatScope, now, serverSpeeds } = input
  const { serverStats, prefixCache, liveness, limits } = context
  const isOpen = (id: BackendServerId) => isSendAllowed(checkServerAvailability(context, id, now))
  const inGroup = [...view.servers.values()].filter(
    (server) => server.group === group.name && server.phase === 'ready',
  )
  const usable = inGroup.filter(
    (server) =>
      !excluded.has(server.id) &&
      !context.weightsExpiry.isExpired(view, server) &&
      isOpen(server.id),
  )
  const reachable = inGroup.filter(({ id }) => !liveness.isUnreachable(id) && !view.silent.has(id))
  const findCapacity = serverSpeeds && ((id: BackendServerId) => serverSpeeds.findCapacity(id, now))
  const longPromptEngines =
    prompt &&
    context.enginePartition.listLongPromptEngines(
      group.name,
      reachable.map(({ id }) => id),
      findCapacity,
    )
  const { engine } = group
  const isSheddingHereOrElsewhere = ({ id }: RegisteredServer) =>
    !isSendAllowed(context.backpressure.judgeSend(id, now)) || isShedding(view, id)
  const acceptsNewPrefixes = (id: BackendServerId) =>
    isOpen(id) && !isShedding(view, id) && !limits.isLimited(id)
  const locationsInput = {
    view,
    engine,
    servers: reachable,
    isOpen: acceptsNewPrefixes,
    formatScope,
    serverStats,
    prefixCache,
    longPromptEngines,
    findCapacity,
  }
  const locations = prompt && findPrefixLocations({ ...locationsInput, prompt })
  const rates = resolvePrefillRates(context, input)
  const isAnyShedding = inGroup.some(isSheddingHereOrElsewhere)
  const estimatePlainCost = createPlainEstimate(context, input)
  const ranked = usable.map((server): Candidate => {
    const load = addLoad(serverStats.findLoad(server.id), view.loads[server.id])
    const estimate =
      prompt && locations
        ? estimateEngineCost(context, input, prompt, locations, server, load, rates)
        : estimatePlainCost(server, load)
    const isIdleWhileShedding = isAnyShedding && load.calls === 0
    const idlePenaltyMs = isIdleWhileShedding
      ? IDLE_WHILE_SHEDDING_MS * (1 + context.random.next())
      : 0
    const latePenaltyMs = context.weightsExpiry.isStartInTime(estimate) ? 0 : LOADING_MS
    const penaltyMs = estimateServerPenalty(context, input, server) + idlePenaltyMs + latePenaltyMs
    const cost = estimate.cost + penaltyMs
    return buildCandidate(server, estimate, cost)
  })
  ranked.sort((a, b) => a.cost - b.cost || (a.server.id < b.server.id ? -1 : 1))
  const sampledRatio = serverSpeeds ? SAMPLED_RATIO_WITH_SPEEDS : SAMPLED_RATIO
  const sampled = prompt
    ? rankSampledFirst(ranked, countSharedTokens(prompt), context.random, sampledRatio)
    : ranked
  return rankProbesFirst(sampled, (id) => limits.isProbeDue(id, now))
}
