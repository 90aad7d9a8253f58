/**
 * The default policy: for each backend server it estimates the time to the first token, and weighs
 * it against the prompt tokens that would be computed again. The outer levels of the prompt choose
 * a subset of the servers, the inner level chooses inside it.
 */
import type { BackendServer } from '@spoolgate/config'
import type { PrefixLevel } from '../prefixChain.js'
import type { Policy, PolicyInput, RankedCandidate } from './policy.js'

/** Level, from 1, up to which a prompt counts as outer: instructions, then chart or stock. */
const OUTER_LEVEL = 2
/** Level, from 1, of the trader or household. */
const INNER_LEVEL = 3
/** Assumed speed of a server without hints, in prompt tokens a millisecond. */
const DEFAULT_RATE = 10
/** Chance that a server of the subset holds the outer levels though this router has not seen it. */
const OUTER_PRIOR = 0.7
/** The same for the inner level at its home server. */
const INNER_PRIOR = 0.4
/** Part of the cost of storing the outer levels once more that a choice outside the subset pays. */
const SPREAD_PRICE = 1
/** Calls over the bound are dearer by this for each, in ms, so that order among them stays. */
const OVERLOAD_PENALTY_MS = 100_000
/** Most servers that are scored for one decision, random ones apart. */
const MAX_SCORED = 24
const RANDOM_CANDIDATES = 6

interface Placement {
  readonly outer: PrefixLevel | undefined
  readonly inner: PrefixLevel | undefined
  readonly subset: ReadonlySet<BackendServer>
  readonly home: BackendServer | undefined
}

/** Takes the first `count` allowed servers of a ranking, without walking the rest. */
function takeAllowed(
  ranked: readonly BackendServer[],
  count: number,
  input: PolicyInput,
): BackendServer[] {
  const taken: BackendServer[] = []
  for (const server of ranked) {
    if (taken.length >= count) break
    if (input.isAllowed(server)) taken.push(server)
  }
  return taken
}

/** Places a prompt: its subset by the outer levels, its home inside by the inner one. */
function findPlacement(input: PolicyInput): Placement {
  const { levels } = input.chain
  const { rendezvous, widths } = input.state
  const outer = levels[Math.min(OUTER_LEVEL, levels.length) - 1]
  const inner = levels[Math.min(INNER_LEVEL, levels.length) - 1]
  if (!outer || !inner) return { outer, inner, subset: new Set(), home: undefined }
  const ranked = rendezvous.rank(outer.hash, input.servers)
  const subset = takeAllowed(ranked, widths.find(outer.hash), input)
  const home = rendezvous.findBest(inner.hash, subset)
  return { outer, inner, subset: new Set(subset), home }
}

/**
 * Lists the servers worth scoring. A small fleet is scored whole; in a large one, those of the
 * subset, those known to hold a part of the prompt, and a few drawn at random, which is where load
 * finds its way to idle servers.
 */
function listCandidates(input: PolicyInput, place: Placement): BackendServer[] {
  const { servers, random, state } = input
  if (servers.length <= MAX_SCORED) return servers.filter(input.isAllowed)
  const holders = state.hints.listServersWithPrefix(input.chain)
  const listed = new Set(place.subset)
  for (const server of servers) {
    if (listed.size >= MAX_SCORED) break
    if (holders.has(server.id) && input.isAllowed(server)) listed.add(server)
  }
  for (let draw = 0; draw < RANDOM_CANDIDATES; draw += 1) {
    const server = servers[random.nextInt(servers.length)]
    if (input.isAllowed(server)) listed.add(server)
  }
  return listed.size > 0 ? [...listed] : servers.filter(input.isAllowed)
}

/** Expected wait at a server: what it last said, less the time since, plus what was sent there. */
function estimateQueueMs(input: PolicyInput, server: BackendServer, rate: number): number {
  const view = input.state.hints.find(server.id)
  if (!view) return 0
  const elapsed = input.now - view.at
  return Math.max(0, view.hints.queueMs - elapsed) + view.sentTokens / rate
}

/** Tokens that a server is presumed to hold of a prompt that this router has not seen there. */
function presumeMatched(server: BackendServer, place: Placement): number {
  if (!place.subset.has(server)) return 0
  const outerTokens = (place.outer?.tokens ?? 0) * OUTER_PRIOR
  if (server !== place.home) return outerTokens
  return Math.max(outerTokens, (place.inner?.tokens ?? 0) * INNER_PRIOR)
}

function findMeanCalls(input: PolicyInput, candidates: readonly BackendServer[]): number {
  const { hints } = input.state
  const total = candidates.reduce((sum, { id }) => sum + (hints.find(id)?.hints.calls ?? 0), 0)
  return total / Math.max(1, candidates.length)
}

function scoreServer(
  input: PolicyInput,
  server: BackendServer,
  place: Placement,
  meanCalls: number,
): RankedCandidate {
  const hints = input.state.hints.find(server.id)?.hints
  const rate = hints?.prefillTokensPerMs ?? DEFAULT_RATE
  const known = input.state.hints.estimateCachedTokens(input.chain, server.id, input.now)
  const matched = known ?? presumeMatched(server, place)
  const recomputeMs = (input.chain.totalTokens - matched) / rate
  const queueMs = estimateQueueMs(input, server, rate)
  const waitMs = queueMs + input.distanceMs(server) + input.slowStartMs(server.id)
  const firstTokenMs = waitMs + recomputeMs
  const { tailWeight } = input.parameters
  const isOutside = place.outer !== undefined && !place.subset.has(server) && matched === 0
  const spreadMs = isOutside ? ((place.outer?.tokens ?? 0) / rate) * SPREAD_PRICE : 0
  const calls = hints?.calls ?? 0
  const bound = input.boundedLoadFactor * (meanCalls + 1)
  const overload = Math.max(0, calls - bound) * OVERLOAD_PENALTY_MS
  const score = tailWeight * firstTokenMs + (1 - tailWeight) * (recomputeMs + spreadMs) + overload
  const reason = `queue=${queueMs.toFixed(0)}ms,matched=${Math.round(matched)},calls=${calls}`
  return { server, score, reason, firstTokenMs, isGuess: known === undefined }
}

function recordDemand(input: PolicyInput, place: Placement): void {
  if (!place.outer || place.subset.size === 0) return
  const waits = [...place.subset].map((server) => {
    const rate = input.state.hints.find(server.id)?.hints.prefillTokensPerMs ?? DEFAULT_RATE
    return { queueMs: estimateQueueMs(input, server, rate), rate }
  })
  const shortest = waits.reduce((best, wait) => (wait.queueMs < best.queueMs ? wait : best))
  const spreadMs = place.outer.tokens / shortest.rate
  input.state.widths.record(place.outer.hash, shortest.queueMs, spreadMs, input.now)
}

/** Candidates that are asked before a choice, or when it would rest on a guess. */
const PROBES = 3

/** Estimates the first token everywhere and takes the cheapest. */
export const expectedFirstToken: Policy = {
  probes: 0,
  probesInDoubt: PROBES,
  rank: (input) => {
    const place = findPlacement(input)
    recordDemand(input, place)
    const candidates = listCandidates(input, place)
    const meanCalls = findMeanCalls(input, candidates)
    const ranked = candidates.map((server) => scoreServer(input, server, place, meanCalls))
    return ranked.sort((a, b) => a.score - b.score)
  },
}

/** Asks the likeliest few for their queue and matched prefix before it chooses among them. */
export const probeFirst: Policy = {
  probes: PROBES,
  rank: expectedFirstToken.rank,
}
