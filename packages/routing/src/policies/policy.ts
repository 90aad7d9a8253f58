/** What every routing policy takes and gives. */
import type { BackendServer, TeamParameters } from '@spoolgate/config'
import type { BackendServerId, RandomSource } from '@spoolgate/core'
import type { HintTable } from '../hints.js'
import type { PrefixChain } from '../prefixChain.js'
import type { RendezvousHash } from '../rendezvous.js'
import type { SubsetWidths } from '../subsetWidths.js'

/** Memory that policies of one router share. */
export interface PolicyState {
  readonly hints: HintTable
  readonly rendezvous: RendezvousHash
  readonly widths: SubsetWidths
  /** Next turn by model or group, for policies that go round. */
  readonly turns: Map<string, number>
}

/** One decision to make. */
export interface PolicyInput {
  readonly chain: PrefixChain
  /** All backend servers of the model or group; the same object while it is unchanged. */
  readonly servers: readonly BackendServer[]
  /** Whether a server may be chosen at all. */
  readonly isAllowed: (server: BackendServer) => boolean
  /** Time that the distance to a server adds, in ms. */
  readonly distanceMs: (server: BackendServer) => number
  /** Penalty for a server that has just come back, in ms. */
  readonly slowStartMs: (server: BackendServerId) => number
  readonly parameters: TeamParameters
  /** Load over the mean at which a candidate is passed over. */
  readonly boundedLoadFactor: number
  readonly state: PolicyState
  readonly random: RandomSource
  /** Monotonic time in ms. */
  readonly now: number
}

/** A candidate in the order of preference. */
export interface RankedCandidate {
  readonly server: BackendServer
  /** Lower is better; its unit is the policy's own. */
  readonly score: number
  /** Why it stands where it does, for the log. */
  readonly reason: string
  /** Estimated time to the first token, in ms; undefined where the policy makes none. */
  readonly firstTokenMs?: number
  /** Whether what is cached there is only presumed. @default false */
  readonly isGuess?: boolean
}

/** A routing policy. */
export interface Policy {
  /** Candidates that are asked before the choice; 0 sends the request at once. */
  readonly probes: number
  /** Candidates that are asked when the best one rests on a guess, in a small fleet. @default 0 */
  readonly probesInDoubt?: number
  /** Ranks the allowed servers, best first. */
  rank(input: PolicyInput): RankedCandidate[]
}
