/** Server selection on the path through sidecars: which backend servers the router tries, in which order, and why. */
import type { BackendServer, Fleet, PolicyName, TeamParameters } from '@spoolgate/config'
import {
  BODY_LIMITS,
  readJson,
  type BackendServerId,
  type HttpClient,
  type Logger,
  type Metrics,
  type RandomSource,
  type RequestId,
  type TeamId,
  type TimerService,
  type WeightsVersion,
} from '@spoolgate/core'
import {
  createHintTable,
  hashText,
  POLICIES,
  type OutlierEjection,
  type HintTable,
  type PolicyState,
  type PrefixChain,
  type RankedCandidate,
  type ReplyHints,
} from '@spoolgate/routing'
import type { DecisionLog } from './decisionLog.js'

/** Options of {@link createServerSelector}. */
export interface ServerSelectorOptions {
  readonly hall: string
  readonly region: string
  readonly state: PolicyState
  readonly ejection: OutlierEjection
  readonly client: HttpClient
  readonly timers: TimerService
  readonly random: RandomSource
  readonly logger: Logger
  readonly metrics: Metrics
  readonly decisions: DecisionLog
  /**
   * Returns the exact state of a backend server; used by the oracle arm of benchmarks.
   * @default undefined, which ranks by hints only
   */
  readonly findExactHints?: (server: BackendServerId, chain: PrefixChain) => ReplyHints | undefined
}

/** Input of a selection. */
export interface SelectionRequest {
  readonly request: RequestId
  readonly team: TeamId
  readonly parameters: TeamParameters
  readonly fleet: Fleet
  /** Name of the model or server group. */
  readonly target: string
  readonly chain: PrefixChain
  /** Version of the weights that must answer; undefined for plain services. */
  readonly weightsVersion: WeightsVersion | undefined
  /** Session key, which keeps the requests of one session on one policy. */
  readonly session: string
  readonly excluded: ReadonlySet<BackendServerId>
}

/** The selected server. */
export interface RoutingDecision {
  readonly chosen: RankedCandidate
  readonly policy: PolicyName
  /** Maximum time to the first token at which this choice remains the best, in ms; undefined for no limit. */
  readonly acceptMs: number | undefined
}

/** Selects backend servers; see {@link createServerSelector}. */
export interface ServerSelector {
  /** Chooses the backend server to try next; undefined when none is left. */
  choose(request: SelectionRequest): Promise<RoutingDecision | undefined>
  /** Returns the policy assigned to a session. */
  findPolicy(request: Pick<SelectionRequest, 'parameters' | 'session'>): PolicyName
}

/** One-way network latencies assumed by the score, in ms. */
const SAME_HALL_MS = 0.2
const SAME_REGION_MS = 1.2
const OTHER_REGION_MS = 25
const PROBE_TIMEOUT_MS = 500
/** Largest fleet per model in which uncertain choices are probed; above it probes would cost too much bandwidth. */
const MAX_PROBED_FLEET_SIZE = 24
/** Maximum number of candidates per log line. */
const LOGGED_CANDIDATES = 4
/** Levels of a hint table created for one decision; a table of the default size takes 20 ms to set up. */
const EXACT_HINT_LEVELS = 64
/** Estimation error within which forwarding a request to another server is not worthwhile, in ms. */
const ACCEPT_TOLERANCE_MS = 30
const MIN_TAIL_WEIGHT = 0.1
/** Steps into which the session hash is divided when sessions are assigned to the arms of an experiment. */
const ARM_RESOLUTION = 10_000

/**
 * Returns the time to the first token above which the second candidate is better than the first, in ms; undefined for
 * policies without an estimate.
 */
function findMaxFirstTokenMs(
  ranked: readonly RankedCandidate[],
  tailWeight: number,
): number | undefined {
  const [first, second] = ranked
  if (first?.firstTokenMs === undefined || !second) return undefined
  const margin = (second.score - first.score) / Math.max(tailWeight, MIN_TAIL_WEIGHT)
  return first.firstTokenMs + margin + ACCEPT_TOLERANCE_MS
}

/** Creates a server selector. */
export function createServerSelector(options: ServerSelectorOptions): ServerSelector {
  const { state, ejection, timers, random, client } = options
  const probeCounter = options.metrics.counter('probes', 'Probes sent before a choice')

  const findDistanceMs = (server: BackendServer) => {
    if (server.hall === options.hall && server.region === options.region) return SAME_HALL_MS
    return server.region === options.region ? SAME_REGION_MS : OTHER_REGION_MS
  }
  const findPolicy: ServerSelector['findPolicy'] = ({ parameters, session }) => {
    const { arms } = parameters
    if (arms.length === 1) return arms[0].policy
    const total = arms.reduce((sum, arm) => sum + arm.share, 0)
    let remaining = ((hashText(session) % ARM_RESOLUTION) / ARM_RESOLUTION) * total
    return (arms.find((arm) => (remaining -= arm.share) < 0) ?? arms[0]).policy
  }
  const createFilter = (request: SelectionRequest, servers: readonly BackendServer[]) => {
    const { parameters, excluded, weightsVersion } = request
    const ejected = ejection.listEjected(servers, timers.now())
    const isUsable = (server: BackendServer) => {
      if (server.leaving || excluded.has(server.id)) return false
      return parameters.region === undefined || server.region === parameters.region
    }
    const hasWeights = (server: BackendServer) => {
      const hints = state.hints.find(server.id)?.hints
      if (!hints || weightsVersion === undefined) return true
      return hints.weightsVersion === weightsVersion || hints.weightsVersion === ''
    }
    const isPreferred = (server: BackendServer) =>
      isUsable(server) && !ejected.has(server.id) && hasWeights(server)
    // The router's knowledge may be outdated: if no server seems suitable, an unsuitable one is tried rather than none,
    // since its sidecar decides again.
    return servers.some(isPreferred) ? isPreferred : isUsable
  }
  const rank = (
    request: SelectionRequest,
    policy: PolicyName,
    policyState: PolicyState = state,
  ) => {
    const servers = request.fleet.backendServersByTarget.get(request.target) ?? []
    return POLICIES[policy].rank({
      chain: request.chain,
      servers,
      isAllowed: createFilter(request, servers),
      networkDelayMs: findDistanceMs,
      slowStartPenaltyMs: (server) => ejection.findSlowStartPenaltyMs(server, timers.now()),
      parameters: request.parameters,
      boundedLoadFactor: request.fleet.routing.boundedLoadFactor,
      state: policyState,
      random,
      now: timers.now(),
    })
  }
  const recordHints = (table: HintTable, chain: PrefixChain, hints: ReplyHints) => {
    const now = timers.now()
    table.record(hints, now)
    table.recordCachedPrefix(chain, hints, hints.matchedTokens, now)
  }
  const probe = async (candidate: RankedCandidate, chain: PrefixChain) => {
    const { id, sidecarUrl } = candidate.server
    probeCounter.add(1)
    try {
      const message = await client.send({
        method: 'POST',
        url: `${sidecarUrl}/probe`,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(chain),
        timeoutMs: PROBE_TIMEOUT_MS,
      })
      const hints = (await readJson(message, BODY_LIMITS.message)) as ReplyHints
      if (message.statusCode === 200) recordHints(state.hints, chain, hints)
    } catch {
      ejection.record(id, 'failed', timers.now())
    }
  }
  const chooseAmongProbed = async (
    request: SelectionRequest,
    policy: PolicyName,
    count: number,
  ) => {
    const toProbe = rank(request, policy).slice(0, count)
    await Promise.all(toProbe.map((candidate) => probe(candidate, request.chain)))
    const probed = new Set(toProbe.map(({ server }) => server.id))
    return rank(request, policy).filter(({ server }) => probed.has(server.id))
  }
  /** Ranks with the exact state from `findExactHints` instead of the remembered hints. */
  const rankWithExactHints = (
    request: SelectionRequest,
    policy: PolicyName,
    findExactHints: NonNullable<ServerSelectorOptions['findExactHints']>,
  ) => {
    const hints = createHintTable({ isComplete: true, maxLevels: EXACT_HINT_LEVELS })
    for (const server of request.fleet.backendServersByTarget.get(request.target) ?? []) {
      const exactHints = findExactHints(server.id, request.chain)
      if (exactHints) recordHints(hints, request.chain, exactHints)
    }
    return rank(request, policy, { ...state, hints })
  }
  const rankCandidates = (request: SelectionRequest, policy: PolicyName) => {
    const { probes, probesWhenUncertain = 0 } = POLICIES[policy]
    if (probes > 0) return chooseAmongProbed(request, policy, probes)
    if (options.findExactHints) return rankWithExactHints(request, policy, options.findExactHints)
    const ranked = rank(request, policy)
    const fleetSize = request.fleet.backendServersByTarget.get(request.target)?.length ?? 0
    const isUncertain = ranked[0]?.isMatchEstimated === true && request.chain.levels.length > 0
    if (!isUncertain || probesWhenUncertain === 0 || fleetSize > MAX_PROBED_FLEET_SIZE)
      return ranked
    return chooseAmongProbed(request, policy, probesWhenUncertain)
  }

  return {
    findPolicy,
    choose: async (request) => {
      const policy = findPolicy(request)
      const ranked = await rankCandidates(request, policy)
      const chosen = ranked.at(0)
      if (!chosen) return undefined
      options.decisions.recordDecision(request.request, {
        team: request.team,
        policy,
        version: request.fleet.version,
        target: request.target,
        promptTokens: request.chain.totalTokens,
        chosen: chosen.server.id,
        candidates: ranked.slice(0, LOGGED_CANDIDATES).map(({ server, score, reason }) => ({
          server: server.id,
          score,
          reason,
        })),
      })
      const acceptMs = findMaxFirstTokenMs(ranked, request.parameters.tailWeight)
      return { chosen, policy, acceptMs }
    },
  }
}
