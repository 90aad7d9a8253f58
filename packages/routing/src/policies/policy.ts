/** Interface of routing policies. */
import type { BackendServer, TeamParameters } from '@spoolgate/config'
import type { BackendServerId, RandomSource } from '@spoolgate/core'
import type { HintTable } from '../hints.js'
import type { PrefixChain } from '../prefixChain.js'
import type { RendezvousHash } from '../rendezvous.js'
import type { SubsetWidths } from '../subsetWidths.js'

/** State that the policies of one router share. */
export interface PolicyState {
  readonly hints: HintTable
  readonly rendezvous: RendezvousHash
  readonly subsetWidths: SubsetWidths
  /** Next position by model or group, for round-robin policies. */
  readonly nextTurns: Map<string, number>
}

/** Input of one routing decision. */
export interface PolicyInput {
  readonly chain: PrefixChain
  /** All backend servers of the model or group; the same array object while they are unchanged. */
  readonly servers: readonly BackendServer[]
  /** Whether a server may be chosen. */
  readonly isAllowed: (server: BackendServer) => boolean
  /** Network delay to a server, in ms. */
  readonly networkDelayMs: (server: BackendServer) => number
  /** Penalty for a server that has recently become available again, in ms. */
  readonly slowStartPenaltyMs: (server: BackendServerId) => number
  readonly parameters: TeamParameters
  /** Multiple of the mean load above which a candidate is penalized. */
  readonly boundedLoadFactor: number
  readonly state: PolicyState
  readonly random: RandomSource
  /** Monotonic time in ms. */
  readonly now: number
}

/** A candidate of a ranking. */
export interface RankedCandidate {
  readonly server: BackendServer
  /** Lower is better; the unit depends on the policy. */
  readonly score: number
  /** Reason for the score, for the decision log. */
  readonly reason: string
  /** Estimated time to the first token, in ms; undefined if the policy does not estimate it. */
  readonly firstTokenMs?: number
  /** Whether the number of cached tokens is estimated without hints. @default false */
  readonly isMatchEstimated?: boolean
}

/** A routing policy. */
export interface Policy {
  /** Candidates to probe before each choice; 0 for none. */
  readonly probes: number
  /** Candidates to probe in a small fleet if the match of the best one is estimated. @default 0 */
  readonly probesWhenUncertain?: number
  /** Ranks the allowed servers, best first. */
  rank(input: PolicyInput): RankedCandidate[]
}
