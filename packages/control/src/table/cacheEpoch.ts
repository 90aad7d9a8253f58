/**
 * Epochs of the cached prompt parts that teams share. Engines and stores do not say which team made a part, so the parts
 * of a team cannot be separated from those of others. A team therefore never changes between sharing and isolation
 * within an epoch: the table that changes it begins the next one, whose parts lie under another cache scope. Whatever
 * table a router holds, the parts of its epoch come from teams that share by that table as well.
 */
import { hashTeam, type TeamDigest, type TeamEntry } from '@spoolgate/routing'

/** An epoch, with the teams of all tables that were in force during it. */
export interface CacheEpoch {
  /** Version of the table that began the epoch, which names it. */
  readonly sharedSince: number
  readonly sharing: readonly TeamDigest[]
  readonly isolated: readonly TeamDigest[]
}

/** Isolation of a team in a table. */
export type TeamIsolation = Pick<TeamEntry, 'id' | 'isIsolated'>

/** Maximum number of teams, present and past, of an epoch; it bounds the state that is replicated. */
const MAX_TEAMS = 10_000

type TeamSets = Pick<CacheEpoch, 'sharing' | 'isolated'>

/** Splits the teams of a table; one that any of its entries isolates is isolated. */
function splitTeams(teams: readonly TeamIsolation[]): TeamSets {
  const isolated = new Set(
    teams.filter(({ isIsolated }) => isIsolated).map(({ id }) => hashTeam(id)),
  )
  const sharing = new Set(teams.map(({ id }) => hashTeam(id)).filter((team) => !isolated.has(team)))
  return { sharing: [...sharing], isolated: [...isolated] }
}

function mergeTeams(before: readonly TeamDigest[], added: readonly TeamDigest[]): TeamDigest[] {
  return [...new Set([...before, ...added])]
}

/**
 * Builds the epoch of a table from that of the table before it.
 * @param before undefined if it is unknown which teams shared parts under that table
 * @param teams teams of the table; undefined if they are unknown
 * @returns undefined if the teams are unknown: the epoch then consists of this table alone
 */
export function buildNextEpoch(
  before: CacheEpoch | undefined,
  version: number,
  teams: readonly TeamIsolation[] | undefined,
): CacheEpoch | undefined {
  if (!teams) return undefined
  const { sharing, isolated } = splitTeams(teams)
  const first: CacheEpoch = { sharedSince: version, sharing, isolated }
  if (!before) return first
  const hasShared = new Set(before.sharing)
  const wasIsolated = new Set(before.isolated)
  const isChanged =
    isolated.some((team) => hasShared.has(team)) || sharing.some((team) => wasIsolated.has(team))
  const next: CacheEpoch = {
    sharedSince: before.sharedSince,
    sharing: mergeTeams(before.sharing, sharing),
    isolated: mergeTeams(before.isolated, isolated),
  }
  const isFull = next.sharing.length + next.isolated.length > MAX_TEAMS
  return isChanged || isFull ? first : next
}
