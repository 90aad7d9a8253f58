/** Estimates the cost of sending a prompt to an engine: its expected start, and what the choice costs other requests. */
import { findSupersededAt, type RegisteredServer, type ServerLoad } from '@spoolgate/control'
import type { BackendServerId } from '@spoolgate/core'
import type { PromptInfo } from './protocols.js'
import { LONG_PROMPT_TOKENS, type PromptLength } from './enginePartition.js'
import { countSharedTokens, findVersion, type PrefixLocations } from './prefixLocations.js'
import type { Candidate, RankingContext, RankingInput } from './serverRanking.js'
import type { ServerSpeeds } from '../speeds/serverSpeeds.js'

/** Delay that each running request adds to the first token of another, in ms. */
const RUNNING_REQUEST_MS = 0.4
/**
 * Cost of a prefill to each request that runs beside it, as a ratio of the prefill time. It steers long prompts to
 * engines that are generating few responses.
 */
const PREFILL_INTERFERENCE_RATIO = 0.1
/** Time to the first token beside the prefill, in ms: one engine step and the round trip. */
const FIXED_OVERHEAD_MS = 10
/**
 * Fraction of its target within which a request must be expected to start for the slowness of an engine not to count;
 * the rest is for calls of other routers that this router does not know of yet.
 */
const AMPLE_TARGET_RATIO = 0.25
/** Cost of serving with outdated weights, in ms: a fifth of the value of a response. */
const OUTDATED_WEIGHTS_MS = 100
/** Time after a new weights version is wanted until older ones count as outdated, in ms; the requirement is 1.5 s. */
const OUTDATED_AFTER_MS = 1_300
/** Cost of a server that accepts no connections, in ms; it is used only when there is no other. */
export const UNREACHABLE_MS = 10_000
/** Cost of a long prompt at an engine for short ones, in ms: its prefill delays the responses being generated. */
const LONG_AMONG_SHORT_MS = 300
/** Cost of a short prompt at an engine for long ones, in ms: each generated token waits for prefill chunks. */
const SHORT_AMONG_LONG_MS = 120
/** Engine time for each generated token in a batch, in ms. */
const GENERATED_TOKEN_MS = 0.3
/**
 * Cost of recomputing each shared token that is cached elsewhere, on top of the prefill time, in ms: recomputing
 * 6,000 of them costs as much as a late response.
 */
const RECOMPUTE_MS_PER_TOKEN = 0.03
/**
 * Bonus of the engine that all routers prefer for parts not known to be cached, in ms, on top of the time to prefill
 * them: if another engine computed them, the next router would have them computed again.
 */
const PREFERRED_BONUS_MS = 15
/** Candidate fields of a plain service, and of a server that does not have the model of the prompt. */
export const PLAIN_SERVICE_FIELDS = {
  matchedTokens: 0,
  uncachedTokens: 0,
  version: undefined,
  supersededAt: undefined,
  fetchFrom: undefined,
  saveTo: undefined,
  isPreferred: false,
  overheadMs: 0,
  aheadTokens: 0,
} as const

/** Classifies a prompt by its length. */
function findPromptLength(prompt: PromptInfo): PromptLength {
  return prompt.promptTokens >= LONG_PROMPT_TOKENS ? 'long' : 'short'
}

/** Estimates the engine time of a request from the tokens that are prefilled and generated for it, in ms. */
export function estimateEngineWorkMs(
  tokensPerMs: number,
  prefillTokens: number,
  generatedTokens: number,
): number {
  return prefillTokens / tokensPerMs + generatedTokens * GENERATED_TOKEN_MS
}

/**
 * Records the engine time of a request that is sent to a candidate. Fetched tokens count like prefilled ones: they
 * occupy as much memory, and engines for long prompts run out of memory before they run out of time.
 */
export function recordEngineWork(
  { enginePartition, serviceTimes }: Pick<RankingContext, 'enginePartition' | 'serviceTimes'>,
  serverSpeeds: ServerSpeeds | undefined,
  group: string,
  prompt: PromptInfo,
  matchedTokens: number,
): void {
  const tokensPerMs = serverSpeeds
    ? serverSpeeds.findGroupTokensPerMs(group)
    : serviceTimes.findPrefillTokensPerMs(group)
  enginePartition.recordWork(
    group,
    findPromptLength(prompt),
    estimateEngineWorkMs(tokensPerMs, prompt.promptTokens - matchedTokens, prompt.maxTokens),
  )
}

/** Cost of sending a prompt to an engine of the other partition, in ms. */
function findPartitionPenalty(
  { longPromptEngines }: PrefixLocations,
  prompt: PromptInfo,
  server: RegisteredServer,
): number {
  if (!longPromptEngines) return 0
  const isLongPromptEngine = longPromptEngines.has(server.id)
  if (findPromptLength(prompt) === 'long') return isLongPromptEngine ? 0 : LONG_AMONG_SHORT_MS
  return isLongPromptEngine ? SHORT_AMONG_LONG_MS : 0
}

function isOutdated({ view, now }: RankingInput, model: string, version: number): boolean {
  const isOlder = version < (view.weights[model] ?? 0)
  return isOlder && now - (view.weightsSince[model] ?? -Infinity) > OUTDATED_AFTER_MS
}

/** Rates at which the engines of a group prefill, in prompt tokens per ms. */
export interface PrefillRates {
  /** Rate of an engine of average speed. */
  readonly group: number
  /** Finds the rate of an engine; the group's where speeds of single engines are not estimated. */
  readonly findRate: (id: BackendServerId) => number
}

/** Expected time to the first token of a request at an engine. */
interface StartEstimate {
  /** Prompt tokens that the engine has to prefill for the request. */
  readonly uncachedTokens: number
  readonly load: ServerLoad
  readonly fetchMs: number
  readonly rates: PrefillRates
}

/** Parts of the cost that follow from the expected start. */
type StartCost = Pick<Candidate, 'expectedMs' | 'overheadMs' | 'aheadTokens' | 'cost'>

/**
 * Estimates the start from the rate of the group. Waiting counts twice here: the rate comes from samples that include
 * the wait behind other calls, and the pending tokens are counted on top of it.
 */
function estimateGroupStart({ uncachedTokens, load, fetchMs, rates }: StartEstimate): StartCost {
  const prefillMs = uncachedTokens / rates.group
  const queueMs = load.promptTokens / rates.group + load.calls * RUNNING_REQUEST_MS
  const interferenceMs = prefillMs * load.calls * PREFILL_INTERFERENCE_RATIO
  const expectedMs = queueMs + prefillMs + interferenceMs + fetchMs
  return { expectedMs, cost: expectedMs, overheadMs: 0, aheadTokens: load.promptTokens }
}

/**
 * Estimates the start from the rate of the engine itself. The samples of that rate are divided by the same pending
 * tokens, so waiting counts once. Interference with other requests is part of the cost, not of the start.
 */
function estimateServerStart(
  { uncachedTokens, load, fetchMs, rates }: StartEstimate,
  id: BackendServerId,
  targetMs: number,
): StartCost {
  const rate = rates.findRate(id)
  const prefillMs = uncachedTokens / rate
  const overheadMs = FIXED_OVERHEAD_MS + load.calls * RUNNING_REQUEST_MS + fetchMs
  const expectedMs = overheadMs + load.promptTokens / rate + prefillMs
  const interferenceMs = prefillMs * load.calls * PREFILL_INTERFERENCE_RATIO
  // A request that meets its target at a slow engine leaves the fast ones to requests that would miss theirs there.
  const isAmplyOnTime = expectedMs <= targetMs * AMPLE_TARGET_RATIO
  const slownessMs = Math.max(0, prefillMs - uncachedTokens / rates.group)
  const cost = expectedMs + interferenceMs - (isAmplyOnTime ? slownessMs : 0)
  return { expectedMs, cost, overheadMs, aheadTokens: load.promptTokens }
}

/** Resolves the prefill rates for a request, from the speeds of single engines where they are estimated. */
export function resolvePrefillRates(
  { serviceTimes }: Pick<RankingContext, 'serviceTimes'>,
  { group, now, serverSpeeds }: Pick<RankingInput, 'group' | 'now' | 'serverSpeeds'>,
): PrefillRates {
  if (!serverSpeeds) {
    const rate = serviceTimes.findPrefillTokensPerMs(group.name)
    return { group: rate, findRate: () => rate }
  }
  return {
    group: serverSpeeds.findGroupTokensPerMs(group.name),
    findRate: (id) => serverSpeeds.findTokensPerMs(group.name, id, now),
  }
}

/** Estimates the cost of a prompt at an engine. */
export function estimateEngineCost(
  context: RankingContext,
  input: RankingInput,
  prompt: PromptInfo,
  locations: PrefixLocations,
  server: RegisteredServer,
  load: ServerLoad,
  rates: PrefillRates,
): Omit<Candidate, 'server'> {
  const version = findVersion(server, prompt.model, context.serverStats)
  if (version === undefined)
    return { ...PLAIN_SERVICE_FIELDS, expectedMs: UNREACHABLE_MS, cost: UNREACHABLE_MS }
  const scope = input.formatScope(version)
  const matchedTokens = context.prefixCache.countCachedTokens(
    server.id,
    version,
    scope,
    prompt.parts,
  )
  const fetch = locations.findFetchPlan(version, server, matchedTokens)
  const foundTokens = Math.max(matchedTokens, fetch?.foundTokens ?? 0)
  const uncachedTokens = prompt.promptTokens - foundTokens
  const estimate = { uncachedTokens, load, fetchMs: fetch?.fetchMs ?? 0, rates }
  const start = input.serverSpeeds
    ? estimateServerStart(estimate, server.id, input.targetMs ?? 0)
    : estimateGroupStart(estimate)
  let cost = start.cost
  const recomputedTokens = Math.max(0, locations.countCachedAnywhere(version) - foundTokens)
  cost += recomputedTokens * RECOMPUTE_MS_PER_TOKEN
  if (isOutdated(input, prompt.model, version)) cost += OUTDATED_WEIGHTS_MS
  const isPreferred = server.id === locations.findPreferredEngine(version)
  if (isPreferred) {
    const uncachedSharedTokens = Math.max(0, countSharedTokens(prompt) - foundTokens)
    cost -= PREFERRED_BONUS_MS + uncachedSharedTokens / rates.group
  }
  cost += findPartitionPenalty(locations, prompt, server)
  const saveTo = locations.findSaveTarget(version)
  const fetchFrom = fetch?.address
  // All fields are named: spreading an object takes most of the time of a ranking of 600 servers.
  return {
    expectedMs: start.expectedMs,
    overheadMs: start.overheadMs,
    aheadTokens: start.aheadTokens,
    cost,
    matchedTokens,
    uncachedTokens,
    version,
    supersededAt: findSupersededAt(input.view.versionTimes, prompt.model, version),
    fetchFrom,
    saveTo,
    isPreferred,
  }
}
