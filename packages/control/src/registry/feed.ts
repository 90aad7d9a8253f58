/**
 * The feed from the leader to routers: routing table, wanted weights, registered backend servers and
 * what other routers have in progress there. A router polls; the leader answers at once when there
 * is something new, and otherwise after a short wait. Each answer also proves that what the router
 * holds was the newest when it asked.
 */
import type { BackendServerId, RequestFingerprint } from '@spoolgate/core'
import type { CrashReport, SuspectedRequest } from '../quarantine/crashReport.js'
import type { ServersUpdate } from './serverChanges.js'
import type { TableUpdate } from '../table/tableUpdate.js'
import type { QuotaGrants, QuotaReport } from './quotaProtocol.js'

/** Path of the feed at a control instance. */
export const FEED_PATH = '/feed'
/** Path at any control instance of updates of the table that are too large for the feed. */
export const TABLE_PATH = '/table'

/** Work that a router has in progress at one backend server. */
export interface ServerLoad {
  readonly calls: number
  /** Prompt tokens whose first token has not come yet. */
  readonly promptTokens: number
  /** Routers that the server has asked for rest; missing for none. */
  readonly backoffs?: number
}

/** Loads by backend server. */
export type ServerLoads = Readonly<Record<string, ServerLoad>>

/** Rate limit of a server, as a router observed it. */
export interface LimitReport {
  readonly server: string
  /** Requests a second from all routers together; null once the server names none any more. */
  readonly perSecond: number | null
  /** Time since it was observed, in ms. */
  readonly ageMs: number
}

/** The same with the part of the rate that a router may use, 0 to 1; missing for none. */
export interface LimitNews extends LimitReport {
  readonly part?: number
}

/** Limits of all servers that named one lately. */
export interface LimitsUpdate {
  /** Whether parts are assigned; a router keeps its former ones otherwise. */
  readonly hasParts: boolean
  readonly servers: readonly LimitNews[]
}

/**
 * A prompt that a router sent to an engine: engine, weights version, then hash and tokens of each
 * prefix in turn. A flat list, since many of them travel.
 */
export type Placement = readonly [server: string, version: number, ...hashesAndTokens: number[]]

/**
 * What an engine or store keeps, in the same form: parts with 0 tokens are gone. It comes from their
 * own cache events, while a {@link Placement} of a router says what will be read there.
 */
export type KeptPlacement = Placement

/** Placements in one reply; at 60 bytes each they stay under 15 KB a second. */
export const MAX_PLACEMENTS_PER_REPLY = 100

/**
 * Where a router stands in the list of all that engines and stores keep. The list is sent place by
 * place in the order of their names, over several replies; the last name is followed by the first.
 */
export interface KeptPosition {
  /** Place that was sent last; empty before the first. */
  readonly after: string
  /** Places that are still to be sent; 0 once the router knows the list. */
  readonly left: number
}

/** A store of KV cache that answers. */
export interface StoreLife {
  readonly address: string
  /** Changes with each restart, after which the store is empty. */
  readonly epoch: number
}

/** What only the leader knows of servers now; none of it survives it. */
export interface ServerConditions {
  /** Servers that are loading weights, or about to. */
  readonly loading: readonly BackendServerId[]
  /** Servers whose weights are so old that nothing may begin on them any more. */
  readonly expired: readonly BackendServerId[]
  /** Servers that missed their last heartbeats. */
  readonly silent: readonly BackendServerId[]
  /** Stores of KV cache that answer. */
  readonly stores: readonly StoreLife[]
}

/** What a router asks. */
export interface FeedRequest {
  readonly router: string
  /** Version of the table that the router holds; -1 for none. */
  readonly tableVersion: number
  /** Newest version of the table that was reported to the router, and may be fetching; -1 for none. */
  readonly tableReported: number
  /** Revision of the rest that the router holds, with the term that counted it. */
  readonly term: number
  readonly revision: number
  readonly loads: ServerLoads
  /** Prompts that this router sent to engines since it last asked. */
  readonly placements: readonly Placement[]
  /** Number of the last placement that was reported to this router, as this term counts them. */
  readonly placementsSeen: number
  /** Number of the last change of what is kept that was reported to this router, in the same way. */
  readonly keptSeen: number
  /** Where this router stands in the list of all that is kept. */
  readonly keptPosition: KeptPosition
  /** What this router saw of requests under which servers end; missing before version 0.5. */
  readonly blame?: CrashReport
  /** Revision of the suspected requests that this router holds, as this term counts them. */
  readonly suspectsSeen?: number
  /** Limits that this router observed and no leader of the term has acknowledged. */
  readonly limits?: readonly LimitReport[]
  /** Revision of the limits that this router holds, as this term counts them. */
  readonly limitsSeen?: number
  /** How much of the teams' limits this router uses; missing before version 0.6. */
  readonly quotas?: QuotaReport
  /** Longest wait for something new, in ms. */
  readonly waitMs: number
}

/** What the leader answers. */
export interface FeedReply {
  readonly term: number
  readonly revision: number
  /** Newest version of the table; -1 for none. */
  readonly tableVersion: number
  /**
   * Leads from the version that the router holds to the newest. Left out where it is large: the router
   * then fetches it at {@link TABLE_PATH}, so that nothing else waits behind it.
   */
  readonly tableUpdate?: TableUpdate
  /** The rest is present when the router holds another revision. */
  readonly weights?: Readonly<Record<string, number>>
  readonly servers?: ServersUpdate
  readonly conditions?: ServerConditions
  /** URLs of the control instances. */
  readonly control?: readonly string[]
  /** Routers that polled lately. */
  readonly routers: number
  /** What all other routers have in progress. */
  readonly loads: ServerLoads
  /** Prompts that other routers sent to engines since the last reply; the newest of too many. */
  readonly placements: readonly Placement[]
  /** Number of the last placement so far. */
  readonly placementsSeen: number
  /** Changes of what is kept since the last reply, then a piece of the list of all that is kept. */
  readonly kept: readonly KeptPlacement[]
  readonly keptSeen: number
  /** All requests in quarantine or suspected; present when the router holds another revision of them. */
  readonly suspects?: readonly SuspectedRequest[]
  readonly suspectsSeen?: number
  /** Request in quarantine that this router, and no other, may send once. */
  readonly trial?: RequestFingerprint
  readonly keptPosition: KeptPosition
  /** Present when the router holds another revision of them. */
  readonly limits?: LimitsUpdate
  readonly limitsSeen?: number
  /** Credits of the teams' limits; present when the router reported its use. */
  readonly quotas?: QuotaGrants
}
