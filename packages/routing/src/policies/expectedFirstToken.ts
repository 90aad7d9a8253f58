/**
 * The default policy: for each backend server it estimates the time to the first token and weighs
 * it against the cost of recomputing prompt tokens that are not cached there. The outer levels of
 * the prompt select a subset of the servers, the inner level a home server within it.
 */
import type { BackendServer } from '@spoolgate/config'
import type { PrefixLevel } from '../prefixChain.js'
import type { Policy, PolicyInput, RankedCandidate } from './policy.js'

/** Last of the outer levels of a prompt, counted from 1: instructions, then chart or stock. */
const OUTER_LEVEL = 2
/** Inner level of a prompt, counted from 1: trader or household. */
const INNER_LEVEL = 3
/** Assumed prefill rate of a server without hints, in prompt tokens per millisecond. */
const DEFAULT_PREFILL_RATE = 10
/** Assumed probability that a server of the subset caches the outer levels when no hints show it. */
const OUTER_CACHED_PROBABILITY = 0.7
/** The same probability for the inner level on its home server. */
const INNER_CACHED_PROBABILITY = 0.4
/** Share of the cost of another copy of the outer levels that is charged outside the subset. */
const REPLICATION_COST_FACTOR = 1
/** Penalty for each call over the limit, in ms; per call, so that overloaded servers stay ordered by load. */
const OVERLOAD_PENALTY_MS = 100_000
/** Most servers that are scored for one decision, not counting random ones. */
const MAX_SCORED_SERVERS = 24
const RANDOM_CANDIDATES = 6

interface Placement {
  readonly outer: PrefixLevel | undefined
  readonly inner: PrefixLevel | undefined
  readonly subset: ReadonlySet<BackendServer>
  readonly home: BackendServer | undefined
}

/** Takes the first `count` allowed servers of a ranking, without checking the rest. */
function takeAllowed(
  ranked: readonly BackendServer[],
  count: number,
  input: PolicyInput,
): BackendServer[] {
  const allowedServers: BackendServer[] = []
  for (const server of ranked) {
    if (allowedServers.length >= count) break
    if (input.isAllowed(server)) allowedServers.push(server)
  }
  return allowedServers
}

/** Finds the subset of servers for the outer levels of a prompt, and the home server within it. */
function findPlacement(input: PolicyInput): Placement {
  const { levels } = input.chain
  const { rendezvous, subsetWidths: widths } = input.state
  const outer = levels[Math.min(OUTER_LEVEL, levels.length) - 1]
  const inner = levels[Math.min(INNER_LEVEL, levels.length) - 1]
  if (!outer || !inner) return { outer, inner, subset: new Set(), home: undefined }
  const ranked = rendezvous.rank(outer.hash, input.servers)
  const subset = takeAllowed(ranked, widths.find(outer.hash), input)
  const home = rendezvous.findBest(inner.hash, subset)
  return { outer, inner, subset: new Set(subset), home }
}

/**
 * Lists the servers to score: in a small fleet all of them; in a large one those of the subset,
 * those known to cache part of the prompt, and a few random ones, so that load reaches idle servers.
 */
function listCandidates(input: PolicyInput, placement: Placement): BackendServer[] {
  const { servers, random, state } = input
  if (servers.length <= MAX_SCORED_SERVERS) return servers.filter(input.isAllowed)
  const cachingServers = state.hints.listServersWithPrefix(input.chain)
  const candidates = new Set(placement.subset)
  for (const server of servers) {
    if (candidates.size >= MAX_SCORED_SERVERS) break
    if (cachingServers.has(server.id) && input.isAllowed(server)) candidates.add(server)
  }
  for (let draw = 0; draw < RANDOM_CANDIDATES; draw += 1) {
    const server = servers[random.nextInt(servers.length)]
    if (input.isAllowed(server)) candidates.add(server)
  }
  return candidates.size > 0 ? [...candidates] : servers.filter(input.isAllowed)
}

/**
 * Estimates the queueing time at a server: the time it last reported, minus the time since then,
 * plus the prefill time of the tokens sent there since.
 */
function estimateQueueMs(input: PolicyInput, server: BackendServer, rate: number): number {
  const view = input.state.hints.find(server.id)
  if (!view) return 0
  const elapsed = input.now - view.at
  return Math.max(0, view.hints.queueMs - elapsed) + view.sentTokens / rate
}

/** Estimates how many tokens of a prompt a server caches when no hints show it. */
function estimateMatchedTokens(server: BackendServer, placement: Placement): number {
  if (!placement.subset.has(server)) return 0
  const outerTokens = (placement.outer?.tokens ?? 0) * OUTER_CACHED_PROBABILITY
  if (server !== placement.home) return outerTokens
  return Math.max(outerTokens, (placement.inner?.tokens ?? 0) * INNER_CACHED_PROBABILITY)
}

function findMeanCalls(input: PolicyInput, candidates: readonly BackendServer[]): number {
  const { hints } = input.state
  const total = candidates.reduce((sum, { id }) => sum + (hints.find(id)?.hints.calls ?? 0), 0)
  return total / Math.max(1, candidates.length)
}

function scoreServer(
  input: PolicyInput,
  server: BackendServer,
  placement: Placement,
  meanCalls: number,
): RankedCandidate {
  const hints = input.state.hints.find(server.id)?.hints
  const rate = hints?.prefillTokensPerMs ?? DEFAULT_PREFILL_RATE
  const known = input.state.hints.estimateCachedTokens(input.chain, server.id, input.now)
  const matched = known ?? estimateMatchedTokens(server, placement)
  const recomputeMs = (input.chain.totalTokens - matched) / rate
  const queueMs = estimateQueueMs(input, server, rate)
  const waitMs = queueMs + input.networkDelayMs(server) + input.slowStartPenaltyMs(server.id)
  const firstTokenMs = waitMs + recomputeMs
  const { tailWeight } = input.parameters
  const isOutsideSubset =
    placement.outer !== undefined && !placement.subset.has(server) && matched === 0
  const replicationMs = isOutsideSubset
    ? ((placement.outer?.tokens ?? 0) / rate) * REPLICATION_COST_FACTOR
    : 0
  const calls = hints?.calls ?? 0
  const callLimit = input.boundedLoadFactor * (meanCalls + 1)
  const overloadPenaltyMs = Math.max(0, calls - callLimit) * OVERLOAD_PENALTY_MS
  const score =
    tailWeight * firstTokenMs + (1 - tailWeight) * (recomputeMs + replicationMs) + overloadPenaltyMs
  const reason = `queue=${queueMs.toFixed(0)}ms,matched=${Math.round(matched)},calls=${calls}`
  return { server, score, reason, firstTokenMs, isMatchEstimated: known === undefined }
}

function recordSubsetDemand(input: PolicyInput, placement: Placement): void {
  if (!placement.outer || placement.subset.size === 0) return
  const estimates = [...placement.subset].map((server) => {
    const rate = input.state.hints.find(server.id)?.hints.prefillTokensPerMs ?? DEFAULT_PREFILL_RATE
    return { queueMs: estimateQueueMs(input, server, rate), rate }
  })
  const shortest = estimates.reduce((best, wait) => (wait.queueMs < best.queueMs ? wait : best))
  const replicationMs = placement.outer.tokens / shortest.rate
  input.state.subsetWidths.record(placement.outer.hash, shortest.queueMs, replicationMs, input.now)
}

/** Candidates to probe: always with `probeFirst`, otherwise when the best match is an estimate. */
const PROBED_CANDIDATES = 3

/** Estimates the time to the first token for each candidate and prefers the lowest score. */
export const expectedFirstToken: Policy = {
  probes: 0,
  probesWhenUncertain: PROBED_CANDIDATES,
  rank: (input) => {
    const placement = findPlacement(input)
    recordSubsetDemand(input, placement)
    const candidates = listCandidates(input, placement)
    const meanCalls = findMeanCalls(input, candidates)
    const ranked = candidates.map((server) => scoreServer(input, server, placement, meanCalls))
    return ranked.sort((a, b) => a.score - b.score)
  },
}

/** Probes the best few candidates for their queue and matched prefix before it chooses one. */
export const probeFirst: Policy = {
  probes: PROBED_CANDIDATES,
  rank: expectedFirstToken.rank,
}
