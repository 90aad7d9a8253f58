/**
 * Messages of the long-poll feed from the leader to routers: routing table, target weights, registered backend servers
 * and the load that other routers have in progress there. The leader replies at once when there is something new, and
 * otherwise after a short wait. Each reply also confirms that the router's state was current when it sent the poll.
 */
import type { BackendServerId, PromptPartId, RequestFingerprint, TeamId } from '@spoolgate/core'
import type { ListedPart, PartReport } from '../parts/partReport.js'
import type { CrashReport, SuspectedRequest } from '../quarantine/crashReport.js'
import type { LoadsCursor, LoadsUpdate } from './loadsUpdate.js'
import type { ServersUpdate } from './serverChanges.js'
import type { TableUpdate } from '../table/tableUpdate.js'
import type { VersionAges } from './weightsHistory.js'
import type { QueueReport } from './queueBoard.js'
import type { GroupVersions } from '../state/softwareVersionState.js'
import type { QuotaGrants, QuotaReport } from './quotaProtocol.js'

/** Path of the feed endpoint on a control instance. */
export const FEED_PATH = '/feed'
/** Path, on any control instance, for table updates that are too large for the feed. */
export const TABLE_PATH = '/table'

/** Load that a router has in progress on one backend server. */
export interface ServerLoad {
  readonly calls: number
  /** Prompt tokens of calls that have not returned their first token. */
  readonly promptTokens: number
  /** Number of routers that the server has asked to back off; absent if none. */
  readonly backoffs?: number
}

/** Loads by backend server. */
export type ServerLoads = Readonly<Record<string, ServerLoad>>

/** Rate limit of a server, as observed by a router. */
export interface LimitReport {
  readonly server: string
  /** Requests per second across all routers; null once the server no longer announces a limit. */
  readonly perSecond: number | null
  /** Time since the observation, in ms. */
  readonly ageMs: number
}

/** A rate limit with the fraction of it assigned to the receiving router, 0 to 1; absent if none. */
export interface AssignedLimit extends LimitReport {
  readonly part?: number
}

/** Limits of all servers that recently announced one. */
export interface LimitsUpdate {
  /** Whether fractions are assigned; otherwise a router keeps its previous ones. */
  readonly hasParts: boolean
  readonly servers: readonly AssignedLimit[]
}

/**
 * A prompt that a router sent to an engine: engine, weights version, then the hash and token count of each prefix.
 * A flat tuple keeps the messages small, since there are many of them.
 */
export type Placement = readonly [server: string, version: number, ...hashesAndTokens: number[]]

/**
 * Cache content of an engine or store in the same form; entries with 0 tokens were evicted. It comes from the cache
 * events of the engine or store, whereas a {@link Placement} from a router announces what will be prefilled there.
 */
export type CachedPlacement = Placement

/**
 * Speed of a server: its incarnation, the speed in percent of its group's, the weight of the evidence in hundreds of
 * prompt tokens, and the age of the last evidence in ms.
 */
export type SpeedEntry = readonly [server: string, percent: number, weight: number, ageMs: number]

/** Maximum speeds per message; at 40 bytes each, 2 KB. */
export const MAX_SPEEDS_PER_MESSAGE = 50

/** Maximum placements per reply; at 60 bytes each this stays below 15 KB per second. */
export const MAX_PLACEMENTS_PER_REPLY = 100

/**
 * Cursor of a router in the paginated list of all cached prefixes. Pages hold whole locations ordered by name and are
 * sent over several replies; the list wraps around after the last name.
 */
export interface CacheListCursor {
  /** Location that was sent last; empty before the first. */
  readonly after: string
  /** Number of locations still to be sent; 0 once the router has the full list. */
  readonly left: number
}

/** A KV cache store that responds. */
export interface ReachableStore {
  readonly address: string
  /** Changes with each restart, which empties the store. */
  readonly epoch: number
}

/** Server state that only the current leader knows; it is lost when the leader changes. */
export interface ServerConditions {
  /** Servers that are loading weights or about to load them. */
  readonly loading: readonly BackendServerId[]
  /** Servers whose weights are too old for new calls. */
  readonly expired: readonly BackendServerId[]
  /** Servers that missed their most recent heartbeats. */
  readonly silent: readonly BackendServerId[]
  /** KV cache stores that respond. */
  readonly stores: readonly ReachableStore[]
}

/** Software versions of all groups. */
export interface VersionsUpdate {
  /** Revision of the list, which does not depend on the term. */
  readonly revision: number
  readonly groups: GroupVersions
}

/** Addresses at which routers exchange the records of their streams. */
export interface PeersUpdate {
  /** Whether the leader has led for long enough to know all routers. */
  readonly isComplete: boolean
  readonly urls: readonly string[]
  /** Those of them that keep records on a disk; absent before version 0.10. */
  readonly durableUrls?: readonly string[]
}

/** Engine time that requests of a rank and team need soon; ranks and weights are those of the routers' admission. */
export type Demand = readonly [
  rank: number,
  team: TeamId | null,
  teamShare: number,
  /** In whole ms. */
  workMs: number,
]

/** Demands by group of engines. */
export type Demands = Readonly<Record<string, readonly Demand[]>>

/** Poll of a router. */
export interface FeedRequest {
  readonly router: string
  /** Version of the router's routing table; -1 for none. */
  readonly tableVersion: number
  /** Newest table version reported to the router, which may still be fetching it; -1 for none. */
  readonly tableReported: number
  /** Revision of the rest of the router's state, and the term in which it was counted. */
  readonly term: number
  readonly revision: number
  readonly loads: ServerLoads
  /** Position of this router in the loads; absent before version 0.7, whose routers get them in `loads`. */
  readonly loadsSeen?: LoadsCursor
  /** Prompts that this router sent to engines since its last poll. */
  readonly placements: readonly Placement[]
  /** Sequence number, within the term, of the last placement reported to this router. */
  readonly placementsSeen: number
  /** Sequence number, within the term, of the last cache change reported to this router. */
  readonly keptSeen: number
  /** Cursor of this router in the list of all cached prefixes. */
  readonly keptPosition: CacheListCursor
  /** Outcomes of requests that may crash servers; absent before version 0.5. */
  readonly blame?: CrashReport
  /** Revision, within the term, of this router's list of suspected requests. */
  readonly suspectsSeen?: number
  /** Evidence about parts of prompts that may crash engines; absent before version 0.10. */
  readonly parts?: PartReport
  /** Revision, within the term, of this router's list of suspected and quarantined parts. */
  readonly partsSeen?: number
  /** Limits observed by this router that the leader of the term has not acknowledged. */
  readonly limits?: readonly LimitReport[]
  /** Revision, within the term, of this router's limits. */
  readonly limitsSeen?: number
  /** This router's use of the team quotas; absent before version 0.6. */
  readonly quotas?: QuotaReport
  /** Requests that wait at this router and were refused lately; absent if there are none. */
  readonly queues?: QueueReport
  /** Speeds that this router observed since the last acknowledged report. */
  readonly speeds?: readonly SpeedEntry[]
  /** Revision, within the term, of this router's speeds; absent if it does not use them. */
  readonly speedsSeen?: number
  /** Engine time that this router needs soon; absent where it does not share scarce engines. */
  readonly demands?: Demands
  /** Revision of the software versions that this router holds; absent before version 0.9. */
  readonly versionsSeen?: number
  /** Address at which other routers reach this one; absent if they cannot. */
  readonly peerUrl?: string
  /** Whether this router keeps records of streams on a disk. */
  readonly isPeerDurable?: boolean
  /** Revision, within the term, of this router's list of peers. */
  readonly peersSeen?: number
  /** Maximum time that the leader may hold the poll, in ms. */
  readonly waitMs: number
}

/** Reply of the leader. */
export interface FeedReply {
  readonly term: number
  readonly revision: number
  /** Newest version of the table; -1 for none. */
  readonly tableVersion: number
  /**
   * Update from the router's version to the newest. Omitted if it is large: the router then fetches it from
   * {@link TABLE_PATH}, so that it does not delay the rest of the feed.
   */
  readonly tableUpdate?: TableUpdate
  /** This and the following fields are present if the router's revision differs. */
  readonly weights?: Readonly<Record<string, number>>
  /** Ages of the target weights and of those before them; absent before version 0.8. */
  readonly weightAges?: VersionAges
  /** Time for which the leader held the poll, in ms; absent before version 0.8. */
  readonly heldMs?: number
  readonly servers?: ServersUpdate
  readonly conditions?: ServerConditions
  /** URLs of the control instances. */
  readonly control?: readonly string[]
  /** Number of routers that polled recently. */
  readonly routers: number
  /** Load that all other routers have in progress; empty if the router sent its position in the loads. */
  readonly loads: ServerLoads
  /** Changed loads of all routers, including the receiver; present if the router sent its position in them. */
  readonly loadsUpdate?: LoadsUpdate
  /** Prompts that other routers sent to engines since the last reply; only the newest if there are too many. */
  readonly placements: readonly Placement[]
  /** Sequence number of the last placement. */
  readonly placementsSeen: number
  /** Cache changes since the last reply, followed by a page of the list of all cached prefixes. */
  readonly kept: readonly CachedPlacement[]
  readonly keptSeen: number
  /** All quarantined or suspected requests; present if the router's revision of them differs. */
  readonly suspects?: readonly SuspectedRequest[]
  readonly suspectsSeen?: number
  /** Quarantined request that this router alone may send once as a trial. */
  readonly trial?: RequestFingerprint
  /** All quarantined or suspected parts of prompts; present if the router's revision of them differs. */
  readonly parts?: readonly ListedPart[]
  readonly partsSeen?: number
  /** Quarantined part that this router alone may send once as a trial. */
  readonly partTrial?: PromptPartId
  readonly keptPosition: CacheListCursor
  /** Present if the router's revision of the limits differs. */
  readonly limits?: LimitsUpdate
  readonly limitsSeen?: number
  /** Speeds that changed since the router's revision; absent if none did. */
  readonly speeds?: readonly SpeedEntry[]
  readonly speedsSeen?: number
  /** Engine time that all other routers need soon; present if the router reported its own. */
  readonly demands?: Demands
  /** Present if the router's revision of the software versions differs. */
  readonly versions?: VersionsUpdate
  /** Present if the router's revision differs and a group has several software versions. */
  readonly peers?: PeersUpdate
  readonly peersSeen?: number
  /** Quota credits of the teams; present if the router reported its use. */
  readonly quotas?: QuotaGrants
}
