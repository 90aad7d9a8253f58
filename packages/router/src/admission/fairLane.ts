/**
 * Waiting requests of one band that are ordered by the same kind of time. Teams share the starts by start-time fair
 * queueing over engine time; within a team the request with the earliest time starts first.
 */
import type { TeamId } from '@spoolgate/core'
import { createIndexedHeap, type IndexedHeap } from './indexedHeap.js'
import type { AdmissionRequest } from './types.js'

/** See {@link createFairLane}. */
export interface FairLane<Entry extends AdmissionRequest> {
  add(entry: Entry, latestStart: number): void
  remove(entry: Entry): boolean
  /** Returns the request to start next. */
  peek(): Entry | undefined
  /** Returns the latest start of the request to start next. */
  findNextLatestStart(): number
  /** Removes a request that starts and counts its engine time against its team. */
  start(entry: Entry): void
  /** Engine time of all waiting requests, in ms. */
  workMs(): number
  /** Engine time of the waiting requests of each team, in ms. */
  listTeams(): readonly TeamWork[]
  /** Engine time of the requests that start before a new one of a team, in ms. */
  findWorkAheadMs(team: TeamId | undefined): number
}

/** Engine time that a team's waiting requests need. */
export interface TeamWork {
  readonly team: TeamId | undefined
  readonly teamShare: number
  readonly workMs: number
}

interface Team<Entry> {
  readonly entries: IndexedHeap<Entry>
  workMs: number
  teamShare: number
  /** Virtual time at which the team's next request starts. */
  startTag: number
}

/** Number of teams without waiting requests whose tags are kept before all of those that have passed are dropped. */
const MAX_IDLE_TEAMS = 256

/** Creates an empty lane. */
export function createFairLane<Entry extends AdmissionRequest>(): FairLane<Entry> {
  const teams = new Map<TeamId | undefined, Team<Entry>>()
  /** Teams with waiting requests, by start tag. */
  const active = createIndexedHeap<Team<Entry>>()
  let virtualTime = 0
  let workMs = 0

  const removePassedTeams = () => {
    for (const [id, team] of teams)
      if (team.entries.size() === 0 && team.startTag <= virtualTime) teams.delete(id)
  }
  const findTeam = (id: TeamId | undefined) => {
    const known = teams.get(id)
    if (known) return known
    if (teams.size >= active.size() + MAX_IDLE_TEAMS) removePassedTeams()
    const team = { entries: createIndexedHeap<Entry>(), workMs: 0, teamShare: 1, startTag: 0 }
    teams.set(id, team)
    return team
  }
  const removeEntry = (team: Team<Entry>, entry: Entry) => {
    if (!team.entries.remove(entry)) return false
    const isEmpty = team.entries.size() === 0
    team.workMs = isEmpty ? 0 : team.workMs - entry.workMs
    if (isEmpty) active.remove(team)
    workMs = active.size() === 0 ? 0 : workMs - entry.workMs
    return true
  }

  return {
    add: (entry, latestStart) => {
      const team = findTeam(entry.team)
      team.entries.add(entry, latestStart)
      team.workMs += entry.workMs
      team.teamShare = entry.teamShare ?? 1
      workMs += entry.workMs
      if (team.entries.size() > 1) return
      team.startTag = Math.max(team.startTag, virtualTime)
      active.add(team, team.startTag)
    },
    remove: (entry) => {
      const team = teams.get(entry.team)
      return team !== undefined && removeEntry(team, entry)
    },
    peek: () => active.peek()?.entries.peek(),
    findNextLatestStart: () => active.peek()?.entries.findLowestKey() ?? Infinity,
    start: (entry) => {
      const team = teams.get(entry.team)
      if (!team || !removeEntry(team, entry)) return
      virtualTime = Math.max(virtualTime, team.startTag)
      team.startTag += entry.workMs / (entry.teamShare ?? 1)
      if (team.entries.size() === 0) return
      active.remove(team)
      active.add(team, team.startTag)
    },
    workMs: () => workMs,
    listTeams: () => {
      const listed: TeamWork[] = []
      for (const [id, team] of teams)
        if (team.workMs > 0)
          listed.push({ team: id, teamShare: team.teamShare, workMs: team.workMs })
      return listed
    },
    findWorkAheadMs: (id) => {
      const ownMs = teams.get(id)?.workMs ?? 0
      let aheadMs = 0
      // A team that has more waiting than this one is served in turn with it.
      for (const team of teams.values()) aheadMs += Math.min(team.workMs, ownMs)
      return aheadMs
    },
  }
}
