/**
 * Choosing a backend server for the direct path: of a few drawn at random and the ones that are
 * presumed to hold the prompt, the one with the least expected time. Routers see each other's calls
 * late; drawing keeps them from all choosing the same server at once.
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
import { LONG_PROMPT_TOKENS, type PromptLength, type EnginePartition } from './enginePartition.js'
import type { ServiceTimes } from './serviceTimes.js'
import {
  countSharedTokens,
  findPrefixLocations,
  findVersion,
  type PrefixLocations,
  type StoreTarget,
} from './prefixLocations.js'

/** What a choice is made for. */
export interface RankingInput {
  readonly view: FleetView
  readonly group: ServerGroup
  readonly prompt: PromptInfo | undefined
  /** Formats what cached parts must share, for a weights version. */
  readonly formatScope: (version: number) => string
  /** Servers that this request must not be sent to again. */
  readonly excluded: ReadonlySet<BackendServerId>
  readonly hall: string
  /** Now, on the monotonic clock that dates what the view holds, in ms. */
  readonly now: number
}

/** A server with the reasons for its rank. */
export interface Candidate {
  readonly server: RegisteredServer
  /** Expected time to the first part, or to the answer of a plain service, in ms. */
  readonly expectedMs: number
  /** The same with penalties, by which candidates are ranked. */
  readonly cost: number
  readonly matchedTokens: number
  /** Prompt tokens that it has to read itself: neither cached there nor fetched from elsewhere. */
  readonly uncachedTokens: number
  /** Address of another server to fetch shared parts of the prompt from. */
  readonly fetchFrom: string | undefined
  /** Store that should get the shared parts of the prompt. */
  readonly saveTo: StoreTarget | undefined
  /** Version of the weights that it holds; undefined for plain services. */
  readonly version: number | undefined
  /** Whether all routers prefer it for what nobody is known to hold. */
  readonly isPreferred: boolean
}

/** Parts that a choice reads. */
export interface RankingContext extends AvailabilityParts {
  readonly serverStats: ServerStats
  readonly prefixCache: PrefixCacheIndex
  readonly liveness: LivenessMonitor
  readonly random: RandomSource
  readonly enginePartition: EnginePartition
  readonly serviceTimes: ServiceTimes
}

/** Time that each running request adds to the first token of another, in ms. */
const RUNNING_REQUEST_MS = 0.4
/**
 * What reading a prompt costs the requests that run beside it, as a part of the reading time for
 * each: long prompts then gather where few answers are being generated.
 */
const PREFILL_INTERFERENCE_RATIO = 0.1
/** Cost of a server in another data hall, in ms: the round trip and the price of the bytes. */
const OTHER_HALL_MS = 30
/** Cost of weights that are older than the wanted ones: a fifth of what the answer is worth. */
const OUTDATED_WEIGHTS_MS = 100
/** Time after which weights count as old once newer ones are wanted, in ms; they do from 1.5 s on. */
const OUTDATED_AFTER_MS = 1_300
/** Cost of a server that loads weights, and least cost of one that cannot serve now. */
export const LOADING_MS = 5_000
/**
 * Cost of a server that asked other routers to back off, in ms. It binds only those routers, but a rejection here would
 * spend the retry budget.
 */
const SHEDDING_MS = 1_000
/**
 * Lower bound on the cost of an idle server while others of its group shed load, in ms: a server with calls in flight is
 * known to accept work. Up to twice that is drawn, so that routers do not all try the same one.
 */
const IDLE_WHILE_SHEDDING_MS = 100
/** Cost of a server that accepts no connections: it is used when there is no other. */
const UNREACHABLE_MS = 10_000
/** Cost of a server that fails every request, in ms; in proportion for one that fails some. */
const FAILING_MS = 400
/** Cost of a long prompt among short ones: it holds up the answers that are being generated. */
const LONG_AMONG_SHORT_MS = 300
/** Cost of a short prompt among long ones: each of its tokens waits for pieces of prompts. */
const SHORT_AMONG_LONG_MS = 120
/** Time of an engine for each token of an answer, among others, in ms. */
const GENERATED_TOKEN_MS = 0.3
/** Cost of a server that missed heartbeats; it may be cut off from control only. */
const MISSED_HEARTBEATS_MS = 400
/**
 * Cost of each shared token that is read again though it is kept elsewhere, beside the time it takes,
 * in ms: reading 6,000 again is worth as much as an answer that comes too late.
 */
const RECOMPUTE_MS_PER_TOKEN = 0.03
/**
 * Advantage of the server that all routers prefer for parts that nobody is known to hold, in ms,
 * beside the time to read them: read elsewhere, they would be read again by the next router.
 */
const PREFERRED_BONUS_MS = 15
/** Part of the servers that is drawn for one request, and the least number. */
const SAMPLED_RATIO = 0.34
const MIN_SAMPLED = 2

/** Part of the shared prompt that makes a server worth considering beside those drawn. */
const HOLDER_RATIO = 0.6

/** Candidate fields of a plain service. */
const PLAIN_SERVICE_FIELDS = {
  matchedTokens: 0,
  uncachedTokens: 0,
  version: undefined,
  fetchFrom: undefined,
  saveTo: undefined,
  isPreferred: false,
} as const

function addLoad(a: ServerLoad, b: ServerLoad | undefined): ServerLoad {
  return b ? { calls: a.calls + b.calls, promptTokens: a.promptTokens + b.promptTokens } : a
}

/** Says what kind of work a prompt is. */
function findPromptLength(prompt: PromptInfo): PromptLength {
  return prompt.promptTokens >= LONG_PROMPT_TOKENS ? 'long' : 'short'
}

/**
 * Notes the work of a request that is sent to a candidate. What it fetches counts as if it were read:
 * it takes as much room, and engines for long prompts are short of room before they are of time.
 */
export function recordEngineWork(
  { enginePartition, serviceTimes }: Pick<RankingContext, 'enginePartition' | 'serviceTimes'>,
  group: string,
  prompt: PromptInfo,
  matchedTokens: number,
): void {
  const readMs = (prompt.promptTokens - matchedTokens) / serviceTimes.findPrefillTokensPerMs(group)
  enginePartition.recordWork(
    group,
    findPromptLength(prompt),
    readMs + prompt.maxTokens * GENERATED_TOKEN_MS,
  )
}

/** What it costs that a server is meant for prompts of the other kind. */
function findPartitionPenalty(
  { longPromptEngines: forLong }: PrefixLocations,
  prompt: PromptInfo,
  server: RegisteredServer,
): number {
  if (!forLong) return 0
  const isForLong = forLong.has(server.id)
  if (findPromptLength(prompt) === 'long') return isForLong ? 0 : LONG_AMONG_SHORT_MS
  return isForLong ? SHORT_AMONG_LONG_MS : 0
}

function hasOutdatedWeights({ view, now }: RankingInput, model: string, version: number): boolean {
  const isOlder = version < (view.weights[model] ?? 0)
  return isOlder && now - (view.weightsSince[model] ?? -Infinity) > OUTDATED_AFTER_MS
}

function estimateEngineCost(
  parts: RankingContext,
  input: RankingInput,
  prompt: PromptInfo,
  places: PrefixLocations,
  server: RegisteredServer,
  load: ServerLoad,
  tokensPerMs: number,
): Omit<Candidate, 'server'> {
  const version = findVersion(server, prompt.model, parts.serverStats)
  if (version === undefined)
    return { ...PLAIN_SERVICE_FIELDS, expectedMs: UNREACHABLE_MS, cost: UNREACHABLE_MS }
  const scope = input.formatScope(version)
  const matchedTokens = parts.prefixCache.countCachedTokens(server.id, version, scope, prompt.parts)
  const fetch = places.findFetchPlan(version, server, matchedTokens)
  const foundTokens = Math.max(matchedTokens, fetch?.foundTokens ?? 0)
  const unreadTokens = prompt.promptTokens - foundTokens
  const readMs = unreadTokens / tokensPerMs
  const queueMs = load.promptTokens / tokensPerMs + load.calls * RUNNING_REQUEST_MS
  const disturbanceMs = readMs * load.calls * PREFILL_INTERFERENCE_RATIO
  const expectedMs = queueMs + readMs + disturbanceMs + (fetch?.fetchMs ?? 0)
  let cost = expectedMs
  const rereadTokens = Math.max(0, places.countCachedAnywhere(version) - foundTokens)
  cost += rereadTokens * RECOMPUTE_MS_PER_TOKEN
  if (hasOutdatedWeights(input, prompt.model, version)) cost += OUTDATED_WEIGHTS_MS
  const isHome = server.id === places.findPreferredEngine(version)
  if (isHome) {
    const unknownTokens = Math.max(0, countSharedTokens(prompt) - foundTokens)
    cost -= PREFERRED_BONUS_MS + unknownTokens / tokensPerMs
  }
  cost += findPartitionPenalty(places, prompt, server)
  const saveTo = places.findSaveTarget(version)
  const fetchFrom = fetch?.address
  return {
    expectedMs,
    cost,
    matchedTokens,
    uncachedTokens: unreadTokens,
    version,
    fetchFrom,
    saveTo,
    isPreferred: isHome,
  }
}

function isShedding({ loads }: FleetView, id: BackendServerId): boolean {
  return (loads[id]?.backoffs ?? 0) > 0
}

/** What a server costs whatever the request. */
function estimateServerPenalty(
  parts: RankingContext,
  input: RankingInput,
  server: RegisteredServer,
): number {
  const { view, hall } = input
  let cost = 0
  if (server.hall !== hall) cost += OTHER_HALL_MS
  if (view.silent.has(server.id)) cost += MISSED_HEARTBEATS_MS
  if (view.loading.has(server.id)) cost += LOADING_MS
  if (isShedding(view, server.id)) cost += SHEDDING_MS
  if (parts.liveness.isUnreachable(server.id)) cost += UNREACHABLE_MS
  cost += parts.serverStats.findFailureRate(server.id) * FAILING_MS
  return cost
}

/** Moves the candidates that were drawn for this request, or hold its prompt, before the others. */
function rankSampledFirst(
  ranked: readonly Candidate[],
  sharedTokens: number,
  random: RandomSource,
): Candidate[] {
  const drawn = Math.max(MIN_SAMPLED, Math.ceil(ranked.length * SAMPLED_RATIO))
  const isHolder = ({ matchedTokens }: Candidate) =>
    matchedTokens > 0 && matchedTokens >= sharedTokens * HOLDER_RATIO
  const isTaken = (candidate: Candidate, left: number, index: number) =>
    candidate.isPreferred || isHolder(candidate) || random.next() < left / (ranked.length - index)
  const taken: Candidate[] = []
  const rest: Candidate[] = []
  for (const [index, candidate] of ranked.entries()) {
    const isDrawn = isTaken(candidate, Math.max(0, drawn - taken.length), index)
    if (isDrawn && candidate.cost < LOADING_MS) taken.push(candidate)
    else rest.push(candidate)
  }
  return [...taken, ...rest]
}

/** Moves limited servers first that may have no limit any more: only an answer shows it. */
function rankProbesFirst(
  ranked: readonly Candidate[],
  isProbeDue: (id: BackendServerId) => boolean,
): Candidate[] {
  const isProbe = ({ server, cost }: Candidate) => cost < LOADING_MS && isProbeDue(server.id)
  return [...ranked.filter(isProbe), ...ranked.filter((candidate) => !isProbe(candidate))]
}

/** Ranks the servers of a group that may take the request, the best first. */
export function rankServers(parts: RankingContext, input: RankingInput): Candidate[] {
  const { view, group, prompt, excluded, formatScope, now } = input
  const { serverStats, prefixCache, liveness, limits } = parts
  const isOpen = (id: BackendServerId) => isSendAllowed(checkServerAvailability(parts, id, now))
  const inGroup = [...view.servers.values()].filter(
    (server) => server.group === group.name && server.phase === 'ready',
  )
  const usable = inGroup.filter(
    ({ id }) => !excluded.has(id) && !view.expired.has(id) && isOpen(id),
  )
  const alive = inGroup.filter(({ id }) => !liveness.isUnreachable(id) && !view.silent.has(id))
  const longPromptEngines =
    prompt &&
    parts.enginePartition.listLongPromptEngines(
      group.name,
      alive.map(({ id }) => id),
    )
  const { engine } = group
  const isShed = ({ id }: RegisteredServer) =>
    !isSendAllowed(parts.backpressure.judgeSend(id, now)) || isShedding(view, id)
  const takesParts = (id: BackendServerId) =>
    isOpen(id) && !isShedding(view, id) && !limits.isLimited(id)
  const shares = {
    view,
    engine,
    servers: alive,
    isOpen: takesParts,
    formatScope,
    serverStats,
    prefixCache,
    longPromptEngines,
  }
  const places = prompt && findPrefixLocations({ ...shares, prompt })
  const tokensPerMs = parts.serviceTimes.findPrefillTokensPerMs(group.name)
  const isAnyShedding = inGroup.some(isShed)
  const plainWorkMs = parts.serviceTimes.findPlainRequestMs(group.name)
  const ranked = usable.map((server): Candidate => {
    const load = addLoad(serverStats.findLoad(server.id), view.loads[server.id])
    const plainMs = load.calls * plainWorkMs
    const found =
      prompt && places
        ? estimateEngineCost(parts, input, prompt, places, server, load, tokensPerMs)
        : { ...PLAIN_SERVICE_FIELDS, expectedMs: plainMs, cost: plainMs }
    const isUnproven = isAnyShedding && load.calls === 0
    const unprovenMs = isUnproven ? IDLE_WHILE_SHEDDING_MS * (1 + parts.random.next()) : 0
    const cost = found.cost + estimateServerPenalty(parts, input, server) + unprovenMs
    return { server, ...found, cost }
  })
  ranked.sort((a, b) => a.cost - b.cost || (a.server.id < b.server.id ? -1 : 1))
  const drawn = prompt ? rankSampledFirst(ranked, countSharedTokens(prompt), parts.random) : ranked
  return rankProbesFirst(drawn, (id) => limits.isProbeDue(id, now))
}
