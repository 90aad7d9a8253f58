/** Requests of the simulated callers, and what became of them. */
import { toRequestFingerprint, toTeamId, type RandomSource } from '@spoolgate/core'
import { ENGINE } from './simulatedEngines.js'

/** Kinds of requests; shares are of the engine time that is demanded. */
export const KINDS = [
  {
    name: 'page-copy',
    band: 0,
    promptTokens: 826,
    uncachedTokens: 628,
    outputTokens: 73,
    targetMs: 507,
    deadlineMs: 15_000,
    values: [2.7, 0.33],
    share: 0.35,
  },
  {
    name: 'categorize',
    band: 1,
    promptTokens: 9_190,
    uncachedTokens: 2_890,
    outputTokens: 9,
    targetMs: 620,
    deadlineMs: 5_200,
    values: [3.4, 1],
    share: 0.3,
  },
  {
    name: 'style-caption',
    band: 2,
    promptTokens: 9_190,
    uncachedTokens: 2_890,
    outputTokens: 13,
    targetMs: 1_515,
    deadlineMs: 6_000,
    values: [1.6, 0.68],
    share: 0.35,
  },
] as const

/** Load of each team; the last one sends 7.5 times as much as the others. */
export const TEAM_LOADS = [1, 1, 1, 7.5]

/** A caller's request, over all of its attempts. */
export interface CallerRequest {
  readonly kind: (typeof KINDS)[number]
  readonly team: number
  readonly fingerprint: ReturnType<typeof toRequestFingerprint>
  readonly startedAt: number
  attempts: number
  outcome: 'onTime' | 'late' | 'refused' | 'lost' | undefined
  /** Whether its first event came within the measured period. */
  isServedInPeriod: boolean
  /** Whether it waited for more than an eighth of its target and was not served. */
  isHeldInVain: boolean
}

/** Prefill time of a kind, in ms. */
export function findPrefillMs({ uncachedTokens }: { readonly uncachedTokens: number }): number {
  return uncachedTokens / ENGINE.tokensPerMs
}

export const TEAM_IDS = TEAM_LOADS.map((_, index) => toTeamId(`t${index}`))
const ALL_TEAMS = TEAM_LOADS.reduce((sum, load) => sum + load, 0)

/** Requests per ms of one kind at a load, as a multiple of what the engines can prefill. */
export function findRatePerMs(kind: (typeof KINDS)[number], engines: number, load: number): number {
  return (engines * load * kind.share) / findPrefillMs(kind)
}

/** Draws a request of a kind. */
export function createCallerRequest(
  kind: (typeof KINDS)[number],
  number: number,
  random: RandomSource,
  now: number,
): CallerRequest {
  let position = random.next() * ALL_TEAMS
  const team = TEAM_LOADS.findIndex((load) => (position -= load) < 0)
  return {
    kind,
    team,
    fingerprint: toRequestFingerprint(`t${team}.${number}`),
    startedAt: now,
    attempts: 0,
    outcome: undefined,
    isServedInPeriod: false,
    isHeldInVain: false,
  }
}

/** Results of one band. */
export interface BandResult {
  readonly onTime: number
  readonly late: number
  readonly refused: number
  /** Least engine time of a team, as a fraction of its fair share of what the band got in the period. */
  readonly minFairRatio: number
}

/** Returns the fair shares of teams with equal weights. */
function findFairShares(needs: readonly number[], capacity: number): number[] {
  let remaining = capacity
  const shares = needs.map(() => 0)
  const byNeed = needs.map((_, index) => index).sort((a, b) => needs[a] - needs[b])
  for (const [position, team] of byNeed.entries()) {
    shares[team] = Math.min(needs[team], remaining / (needs.length - position))
    remaining -= shares[team]
  }
  return shares
}

/** Computes the results of a band, as fractions of its requests. */
export function measureBand(requests: readonly CallerRequest[]): BandResult {
  const countOf = (outcome: CallerRequest['outcome']) =>
    requests.filter((request) => request.outcome === outcome).length
  const served = TEAM_LOADS.map(
    (_, team) => requests.filter((r) => r.team === team && r.isServedInPeriod).length,
  )
  const needs = TEAM_LOADS.map((_, team) => requests.filter((r) => r.team === team).length)
  const shares = findFairShares(
    needs,
    served.reduce((sum, count) => sum + count, 0),
  )
  const fairRatios = shares.map((share, team) => served[team] / Math.max(1, share))
  const total = requests.length
  return {
    onTime: countOf('onTime') / total,
    late: countOf('late') / total,
    refused: (countOf('refused') + countOf('lost')) / total,
    minFairRatio: Math.min(...fairRatios),
  }
}
